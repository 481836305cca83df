/** How the share of a shift moves, one case each. */
import {describe, expect, test} from 'vitest';
import {
	type ShiftRow, changeShift, getCallerPlace, getShiftedShare, renewShift, startShift,
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
	const places = Array.from({length: 2000}, (_, index) => getCallerPlace('west', `10.0.${Math.floor(index / 250)}.${index % 250}`));
	expect(places.filter(place => place < 0.25).length / places.length).toBeCloseTo(0.25, 1);
});
