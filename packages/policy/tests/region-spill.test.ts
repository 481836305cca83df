import {expect, test} from 'vitest';
import {
	createRegionSpill, getSpillLimit, recordSpillLimitReached, recordSpill, updateRegionSpill,
} from '@catkindale/policy';

const cases = [
	{
		title: 'a reached limit doubles while the remote region is healthy', wasReached: true, usedAt: 2000, failureFraction: 0, now: 2000, limit: 4,
	},
	{
		title: 'a reached limit doesn\'t change within a window', wasReached: true, usedAt: 1999, failureFraction: 0, now: 1999, limit: 2,
	},
	{
		title: 'a reached limit doesn\'t change while some requests fail', wasReached: true, usedAt: 2000, failureFraction: 0.2, now: 2000, limit: 2,
	},
	{
		title: 'a limit in use is kept', wasReached: false, usedAt: 90_000, failureFraction: 0, now: 90_000, limit: 2,
	},
	{
		title: 'an unused limit is reset', wasReached: false, usedAt: 0, failureFraction: 0, now: 90_000, limit: 1,
	},
	{
		title: 'the limit is halved when the remote region fails', wasReached: true, usedAt: 2000, failureFraction: 0.5, now: 2000, limit: 1,
	},
];

test.each(cases)('$title', ({wasReached, usedAt, failureFraction, now, limit}) => {
	const raised = {...createRegionSpill(0), fraction: 0.2};
	const used = recordSpill(wasReached ? recordSpillLimitReached(raised) : raised, usedAt);
	expect(getSpillLimit(updateRegionSpill(used, failureFraction, now), 10)).toBe(limit);
});

test.each([
	{held: 0, limit: 0},
	{held: 1, limit: 1},
	{held: 100, limit: 10},
])('with $held slots held, the initial limit is $limit', ({held, limit}) => {
	expect(getSpillLimit(createRegionSpill(0), held)).toBe(limit);
});
