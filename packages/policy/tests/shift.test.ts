/** How the share of a shift moves, one case each. */
import {describe, expect, test} from 'vitest';
import {
	type ShiftRow, changeShift, getCallerPosition, getShiftedShare, renewShift, startShift, advanceAppliedShare,
} from '../src/index.js';

const shift = {
	name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: 0.5, cap: 0.2, windowSeconds: 60,
};
/** Window 60 s, time to live 30 s and twice the skew of 5 s: the cap in 100 s. */
const spread = 100_000;
const row: ShiftRow = startShift(shift, {configurationVersion: 1, timeToLiveMilliseconds: 30_000}, 0);

describe('the shifted share', () => {
	test.each([
		{
			name: 'starts at nothing', fields: {}, now: 0, expected: 0,
		},
		{
			name: 'moves by the cap in a window with all that may show in it', fields: {}, now: 10_000, expected: 0.02,
		},
		{
			name: 'stands still when the row isn\'t renewed', fields: {}, now: spread, expected: 0.02,
		},
		{
			name: 'stops at the wanted share', fields: {baseShare: 0.49}, now: 10_000, expected: 0.5,
		},
		{
			name: 'goes back at the same pace', fields: {baseShare: 0.5, wantedShare: 0}, now: 10_000, expected: 0.48,
		},
	])('$name', ({fields, now, expected}) => {
		expect(getShiftedShare({...row, ...fields}, now)).toBeCloseTo(expected);
	});

	test.each([
		{
			name: 'isn\'t renewed at once', fields: {}, now: 4000, expected: undefined,
		},
		{
			name: 'is renewed from where it is', fields: {}, now: 5000, expected: {baseShare: expect.closeTo(0.01) as number, movedAt: 5000},
		},
		{
			name: 'goes on from where it stood after an outage', fields: {}, now: spread, expected: {baseShare: expect.closeTo(0.02) as number, movedAt: spread},
		},
		{
			name: 'isn\'t renewed once it is there', fields: {baseShare: 0.5}, now: spread, expected: undefined,
		},
	])('a row $name', ({fields, now, expected}) => {
		const renewed = renewShift({...row, ...fields}, now);
		expect(renewed === undefined).toBe(expected === undefined);
		expect(renewed ?? {}).toMatchObject(expected ?? {});
	});
});

describe('a changed wish', () => {
	test.each([
		{name: 'withdrawn goes back from where it is', wanted: undefined, expected: {wantedShare: 0, baseShare: expect.closeTo(0.2) as number}},
		{name: 'larger goes on from where it is', wanted: {...shift, share: 0.9}, expected: {wantedShare: 0.9, baseShare: expect.closeTo(0.2) as number}},
		{name: 'to another region goes back first', wanted: {...shift, to: 'tromso'}, expected: {to: 'bergen', wantedShare: 0, configurationVersion: 1}},
	])('$name', ({wanted, expected}) => {
		expect(changeShift({...row, baseShare: 0.18}, wanted, 2, 10_000)).toMatchObject(expected);
	});

	test('to another region starts once the first is back', () => {
		expect(changeShift({...row, wantedShare: 0}, {...shift, to: 'tromso'}, 2, spread)).toMatchObject({to: 'tromso', baseShare: 0, wantedShare: 0.5});
	});

	test('that is the same changes nothing', () => {
		expect(changeShift(row, shift, 2, spread)).toBeUndefined();
	});
});

test('callers spread evenly over the shift', () => {
	const places = Array.from({length: 2000}, (_, index) => getCallerPosition('west', `10.0.${Math.floor(index / 250)}.${index % 250}`));
	expect(places.filter(place => place < 0.25).length / places.length).toBeCloseTo(0.25, 1);
});

describe('a directory that was cut off', () => {
	const windowSeconds = 60;
	const row = startShift({
		name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: 1, cap: 0.2, windowSeconds,
	}, {configurationVersion: 1, timeToLiveMilliseconds: 10_000}, 0);
	const movedRow = {
		...row, baseShare: 0.8, wantedShare: 0.8, movedAt: 600_000,
	};

	test.each([
		{name: 'that just started takes the share of the row', shown: undefined, expected: 0.8},
		{name: 'that kept up hands out the share of the row', shown: {share: 0.8, at: 600_000}, expected: 0.8},
		{name: 'that lags doesn\'t jump', shown: {share: 0.1, at: 600_000}, expected: 0.1},
		{name: 'that is ahead doesn\'t jump back', shown: {share: 1, at: 600_000}, expected: 1},
	])('$name', ({shown, expected}) => {
		expect(advanceAppliedShare(movedRow, shown, 600_000).share).toBeCloseTo(expected);
	});

	test('catches up by at most the cap in a window', () => {
		let shown = {share: 0.1, at: 600_000};
		for (let second = 1; second <= windowSeconds; second++) {
			shown = advanceAppliedShare(movedRow, shown, 600_000 + (second * 1000));
		}

		expect(shown.share).toBeGreaterThan(0.1);
		expect(shown.share).toBeLessThanOrEqual(0.1 + movedRow.cap);
	});
});
