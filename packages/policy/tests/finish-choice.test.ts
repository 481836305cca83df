/** The choice of a target by its expected finish: each case names the load that its rule answers. */
import {describe, expect, it} from 'vitest';
import {
	type FinishCandidate, type FinishRequest, chooseByFinish, getSlotPrice, getUse,
} from '@catkindale/policy';

const request: FinishRequest = {
	runTime: {coldMilliseconds: 480, warmMilliseconds: 144}, leftMilliseconds: 800, foreignPenaltyMilliseconds: 15, homeRegion: 'home',
};

function createCandidate(id: string, fields: Partial<FinishCandidate> = {}): FinishCandidate {
	return {
		id, region: 'home', slots: 4, expectedRunning: 0, slowness: 1, isKept: true, rank: undefined, isKnownWarm: false, isStarting: false, wayMilliseconds: 1, ...fields,
	};
}

const foreign = {region: 'away', wayMilliseconds: 24};

type Case = {readonly load: string; readonly candidates: readonly FinishCandidate[]; readonly left?: number; readonly chosen: string};

const cases: readonly Case[] = [
	{
		load: 'all cold at the start: the first of the object\'s order',
		candidates: [
			createCandidate('other'),
			createCandidate('second', {rank: 1}),
			createCandidate('first', {rank: 0}),
		],
		chosen: 'first',
	},
	{load: 'an object cached away, not at home', candidates: [createCandidate('home'), createCandidate('away', {...foreign, isKnownWarm: true})], chosen: 'away'},
	{
		load: 'an object cached at home and away',
		candidates: [
			createCandidate('away', {...foreign, isKnownWarm: true}),
			createCandidate('home', {isKnownWarm: true}),
		],
		chosen: 'home',
	},
	{
		load: 'a hot object: its full target gives way to the second of its order',
		candidates: [
			createCandidate('first', {rank: 0, isKnownWarm: true, expectedRunning: 9}),
			createCandidate('second', {rank: 1}),
		],
		chosen: 'second',
	},
	{load: 'one target slow', candidates: [createCandidate('slow', {rank: 0, isKnownWarm: true, slowness: 5}), createCandidate('sound', {rank: 1})], chosen: 'sound'},
	{
		load: 'one region with few targets, all full',
		candidates: [
			createCandidate('home', {expectedRunning: 10, rank: 0}),
			createCandidate('away', {...foreign, rank: 0}),
		],
		chosen: 'away',
	},
	{load: 'a target that has just started', candidates: [createCandidate('started', {isStarting: true}), createCandidate('running')], chosen: 'running'},
	{
		load: 'an object that its target has no room for',
		candidates: [
			createCandidate('full', {rank: 0, isKept: false}),
			createCandidate('away', {...foreign, rank: 0}),
		],
		chosen: 'away',
	},
	{
		load: 'a nearly full fleet: an object waits for its cache',
		candidates: [
			createCandidate('cached', {isKnownWarm: true, expectedRunning: 5}),
			createCandidate('uncached', {expectedRunning: 3}),
		],
		chosen: 'cached',
	},
	{
		load: 'bound to homes that are full: the wait outlasts the request',
		candidates: [
			createCandidate('home', {isKnownWarm: true, expectedRunning: 20}),
		],
		chosen: 'too-late',
	},
	{
		load: 'little time left, but the object may be cached', candidates: [createCandidate('home')], left: 200, chosen: 'home',
	},
	{
		load: 'less time left than any run takes', candidates: [createCandidate('home')], left: 100, chosen: 'too-late',
	},
	{load: 'no target that may serve', candidates: [], chosen: 'no-target'},
];

describe('the choice by expected finish', () => {
	it.each(cases)('$load', ({candidates, left = request.leftMilliseconds, chosen}) => {
		const choice = chooseByFinish(candidates, {...request, leftMilliseconds: left});
		expect(choice.kind === 'chosen' ? choice.id : choice.kind).toBe(chosen);
	});

	it('asks a caller back when the wait will have passed', () => {
		const choice = chooseByFinish([createCandidate('home', {isKnownWarm: true, expectedRunning: 20})], request);
		expect(choice).toMatchObject({kind: 'too-late'});
		expect(choice.kind === 'too-late' && choice.expectedMilliseconds).toBeGreaterThan(request.leftMilliseconds);
	});

	const uses = [{running: 0, use: 0, price: 0}, {running: 1, use: 0.25, price: 0}, {running: 4, use: 1, price: 3}, {running: 9, use: 1, price: 3}];
	it.each(uses)('with $running running at each target a slot costs $price', ({running, use, price}) => {
		const measured = getUse([createCandidate('a', {expectedRunning: running}), createCandidate('b', {expectedRunning: running})]);
		expect(measured).toBe(use);
		expect(getSlotPrice(measured)).toBe(price);
	});
});
