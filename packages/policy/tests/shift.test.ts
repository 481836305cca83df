/** Movement of the share of a shift. */
import {describe, expect, test} from 'vitest';
import {
	type ShiftRow, changeShift, getCallerPosition, getShiftedShare, renewShift, startShift, advanceAppliedShare,
} from '../src/index.js';

const shift = {
	name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: 0.5, cap: 0.2, windowSeconds: 60,
};
/** The share moves by the cap in 100 s: the window of 60 s, the time to live of 30 s and twice the skew of 5 s. */
const spreadMilliseconds = 100_000;
const row: ShiftRow = startShift(shift, {configurationVersion: 1, timeToLiveMilliseconds: 30_000}, 0);

describe('the shifted share', () => {
	test.each([
		{
			name: 'starts at 0', fields: {}, now: 0, expected: 0,
		},
		{
			name: 'moves slowly enough for the window, the time to live and the skew', fields: {}, now: 10_000, expected: 0.02,
		},
		{
			name: 'stops when the row isn\'t renewed', fields: {}, now: spreadMilliseconds, expected: 0.02,
		},
		{
			name: 'stops at the desired share', fields: {baseShare: 0.49}, now: 10_000, expected: 0.5,
		},
		{
			name: 'moves back at the same pace', fields: {baseShare: 0.5, wantedShare: 0}, now: 10_000, expected: 0.48,
		},
	])('$name', ({fields, now, expected}) => {
		expect(getShiftedShare({...row, ...fields}, now)).toBeCloseTo(expected);
	});

	test.each([
		{
			name: 'isn\'t renewed immediately', fields: {}, now: 4000, expected: undefined,
		},
		{
			name: 'is renewed from the current share', fields: {}, now: 5000, expected: {baseShare: expect.closeTo(0.01) as number, movedAt: 5000},
		},
		{
			name: 'continues from where it stopped after an outage', fields: {}, now: spreadMilliseconds, expected: {baseShare: expect.closeTo(0.02) as number, movedAt: spreadMilliseconds},
		},
		{
			name: 'isn\'t renewed once the share is reached', fields: {baseShare: 0.5}, now: spreadMilliseconds, expected: undefined,
		},
	])('a row $name', ({fields, now, expected}) => {
		const renewed = renewShift({...row, ...fields}, now);
		expect(renewed === undefined).toBe(expected === undefined);
		expect(renewed ?? {}).toMatchObject(expected ?? {});
	});
});

describe('a changed shift', () => {
	test.each([
		{name: 'that is withdrawn moves back from the current share', changedShift: undefined, expected: {wantedShare: 0, baseShare: expect.closeTo(0.2) as number}},
		{name: 'that is larger continues from the current share', changedShift: {...shift, share: 0.9}, expected: {wantedShare: 0.9, baseShare: expect.closeTo(0.2) as number}},
		{name: 'to another region moves back first', changedShift: {...shift, to: 'tromso'}, expected: {to: 'bergen', wantedShare: 0, configurationVersion: 1}},
	])('$name', ({changedShift, expected}) => {
		expect(changeShift({...row, baseShare: 0.18}, changedShift, 2, 10_000)).toMatchObject(expected);
	});

	test('to another region starts once the first one has moved back', () => {
		expect(changeShift({...row, wantedShare: 0}, {...shift, to: 'tromso'}, 2, spreadMilliseconds)).toMatchObject({to: 'tromso', baseShare: 0, wantedShare: 0.5});
	});

	test('that is the same has no effect', () => {
		expect(changeShift(row, shift, 2, spreadMilliseconds)).toBeUndefined();
	});
});

test('callers are distributed evenly over the shift', () => {
	const positions = Array.from({length: 2000}, (_, index) => getCallerPosition('west', `10.0.${Math.floor(index / 250)}.${index % 250}`));
	expect(positions.filter(position => position < 0.25).length / positions.length).toBeCloseTo(0.25, 1);
});

describe('a directory that couldn\'t read the row', () => {
	const windowSeconds = 60;
	const row = startShift({
		name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: 1, cap: 0.2, windowSeconds,
	}, {configurationVersion: 1, timeToLiveMilliseconds: 10_000}, 0);
	const movedRow = {
		...row, baseShare: 0.8, wantedShare: 0.8, movedAt: 600_000,
	};

	test.each([
		{name: 'and has just started applies the share of the row', applied: undefined, expected: 0.8},
		{name: 'but is up to date applies the share of the row', applied: {share: 0.8, at: 600_000}, expected: 0.8},
		{name: 'and is behind doesn\'t jump forward', applied: {share: 0.1, at: 600_000}, expected: 0.1},
		{name: 'and is ahead doesn\'t jump back', applied: {share: 1, at: 600_000}, expected: 1},
	])('$name', ({applied, expected}) => {
		expect(advanceAppliedShare(movedRow, applied, 600_000).share).toBeCloseTo(expected);
	});

	test('catches up by at most the cap within a window', () => {
		let applied = {share: 0.1, at: 600_000};
		for (let second = 1; second <= windowSeconds; second++) {
			applied = advanceAppliedShare(movedRow, applied, 600_000 + (second * 1000));
		}

		expect(applied.share).toBeGreaterThan(0.1);
		expect(applied.share).toBeLessThanOrEqual(0.1 + movedRow.cap);
	});
});
