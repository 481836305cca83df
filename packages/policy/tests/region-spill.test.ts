import {expect, test} from 'vitest';
import {
	createRegionSpill, getSpillLimit, recordSpillLimitReached, recordSpill, updateRegionSpill,
} from '@catkindale/policy';

const cases = [
	{
		title: 'a reached limit doubles while the region is well', wasReached: true, usedAt: 2000, failureShare: 0, now: 2000, limit: 4,
	},
	{
		title: 'a reached limit stays within a window', wasReached: true, usedAt: 1999, failureShare: 0, now: 1999, limit: 2,
	},
	{
		title: 'a reached limit stays while some requests fail', wasReached: true, usedAt: 2000, failureShare: 0.2, now: 2000, limit: 2,
	},
	{
		title: 'a limit in use is kept for long', wasReached: false, usedAt: 90_000, failureShare: 0, now: 90_000, limit: 2,
	},
	{
		title: 'an unused limit falls back', wasReached: false, usedAt: 0, failureShare: 0, now: 90_000, limit: 1,
	},
	{
		title: 'the limit falls when the region fails too', wasReached: true, usedAt: 2000, failureShare: 0.5, now: 2000, limit: 1,
	},
];

test.each(cases)('$title', ({wasReached, usedAt, failureShare, now, limit}) => {
	const grown = {...createRegionSpill(0), fraction: 0.2};
	const used = recordSpill(wasReached ? recordSpillLimitReached(grown) : grown, usedAt);
	expect(getSpillLimit(updateRegionSpill(used, failureShare, now), 10)).toBe(limit);
});

test.each([
	{held: 0, limit: 0},
	{held: 1, limit: 1},
	{held: 100, limit: 10},
])('with $held slots held, $limit are used at first', ({held, limit}) => {
	expect(getSpillLimit(createRegionSpill(0), held)).toBe(limit);
});
