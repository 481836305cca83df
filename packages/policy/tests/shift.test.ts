/** How the share of a shift moves, one case each. */
import {describe, expect, test} from 'vitest';
import {
	type ShiftRow, changeShift, followShift, getCallerPlace, getShiftedShare, resumeShift, startShift,
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
			name: 'starts at nothing', now: 0, confirmedAt: 0, expected: 0,
		},
		{
			name: 'moves by the cap in a window with all that may show in it', now: spread, confirmedAt: spread, expected: 0.2,
		},
		{
			name: 'stops at the wanted share', now: 10 * spread, confirmedAt: 10 * spread, expected: 0.5,
		},
		{
			name: 'stands still when the row may be old', now: spread, confirmedAt: 45_000, expected: 0.1,
		},
	])('$name', ({now, confirmedAt, expected}) => {
		expect(getShiftedShare(row, confirmedAt, now)).toBeCloseTo(expected);
	});

	test('doesn\'t jump after a standstill', () => {
		const held = followShift({share: 0.1, at: 50_000}, row, 2 * spread, 51_000);
		expect(held.share).toBeCloseTo(0.102);
		expect(resumeShift(row, held, 2 * spread)).toMatchObject({baseShare: held.share, movedAt: 2 * spread});
		expect(resumeShift(row, {share: 0.2, at: 0}, spread)).toBeUndefined();
	});
});

describe('a changed wish', () => {
	test.each([
		{name: 'withdrawn goes back from where it is', wanted: undefined, expected: {wantedShare: 0, baseShare: expect.closeTo(0.2) as number}},
		{name: 'larger goes on from where it is', wanted: {...shift, share: 0.9}, expected: {wantedShare: 0.9, baseShare: expect.closeTo(0.2) as number}},
		{name: 'to another region goes back first', wanted: {...shift, to: 'tromso'}, expected: {to: 'bergen', wantedShare: 0, configurationVersion: 1}},
	])('$name', ({wanted, expected}) => {
		expect(changeShift(row, wanted, 2, spread)).toMatchObject(expected);
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
