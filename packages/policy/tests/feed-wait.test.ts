/** Nodes that all wait equally long would all notice a silent source equally late. */
import {describe, expect, it} from 'vitest';
import {getFeedRetryDelay, getFeedWait} from '@catkindale/policy';

const checkIntervalMilliseconds = 750;
const maximumMilliseconds = 10_000;

const cases = [
	{
		name: 'a node alone', ownId: 'a', nodeIds: [], isAligned: false, expected: 750,
	},
	{
		name: 'a node that the others don\'t list', ownId: 'b', nodeIds: ['a', 'c'], isAligned: true, expected: 1500,
	},
	{
		name: 'the first of three after a change', ownId: 'a', nodeIds: ['c', 'a', 'b'], isAligned: true, expected: 750,
	},
	{
		name: 'the last of three after a change', ownId: 'c', nodeIds: ['c', 'a', 'b'], isAligned: true, expected: 2250,
	},
	{
		name: 'the first of three without a change', ownId: 'a', nodeIds: ['c', 'a', 'b'], isAligned: false, expected: 2250,
	},
	{
		name: 'one of many', ownId: 'n0', nodeIds: Array.from({length: 76}, (_, index) => `n${index}`), isAligned: false, expected: 10_000,
	},
];

describe('the wait of a feed', () => {
	it.each(cases)('of $name', ({expected, ...input}) => {
		expect(getFeedWait({...input, checkIntervalMilliseconds, maximumMilliseconds})).toBe(expected);
	});

	it.each([1, 2, 11, 76])('ends at every check interval on one of %i nodes after a change', count => {
		const nodeIds = Array.from({length: count}, (_, index) => `node-${index}`);
		const ends = nodeIds.map(ownId => getFeedWait({
			ownId, nodeIds, checkIntervalMilliseconds, maximumMilliseconds, isAligned: true,
		})).toSorted((left, right) => left - right);
		const gaps = ends.map((end, index) => end - (ends[index - 1] ?? 0));
		expect(ends.every(end => Number.isInteger(end))).toBe(true);
		expect(Math.max(...gaps)).toBeLessThanOrEqual(checkIntervalMilliseconds);
	});
});

describe('the delay of a feed after failures', () => {
	it.each([
		{recovery: 3000, delays: [250, 500, 1000, 1000]},
		{recovery: 2000, delays: [250, 500, 667, 667]},
		{recovery: 4000, delays: [250, 500, 1000, 1000]},
	])('with $recovery ms to recover', ({recovery, delays}) => {
		expect(delays.map((_, index) => getFeedRetryDelay(index + 1, recovery))).toEqual(delays);
		const callTimeoutMilliseconds = 1000;
		expect(callTimeoutMilliseconds + Math.max(...delays)).toBeLessThan(recovery);
	});
});
