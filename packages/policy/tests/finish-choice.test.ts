/** The choice of a target by its expected finish: each case names the load that its rule answers. */
import {describe, expect, it} from 'vitest';
import {
	type FinishCandidate, type FinishRequest, chooseByFinishTime, getRemotePenalty, getSlotPrice, getUtilization,
} from '@catkindale/policy';

const request: FinishRequest = {
	serviceTimes: {uncachedMilliseconds: 480, cachedMilliseconds: 144}, remainingMilliseconds: 800, targetLatencyMilliseconds: undefined, remotePenaltyMilliseconds: 15, localRegion: 'home',
};

function createCandidate(id: string, fields: Partial<FinishCandidate> = {}): FinishCandidate {
	return {
		id, region: 'home', slots: 4, expectedRunning: 0, slowness: 1, fitsInCache: true, rank: undefined, isKnownWarm: false, isStarting: false, roundTripMilliseconds: 1, ...fields,
	};
}

const foreign = {region: 'away', wayMilliseconds: 24};

type Case = {readonly load: string; readonly candidates: readonly FinishCandidate[]; readonly left?: number; readonly targetLatency?: number; readonly chosen: string};

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
			createCandidate('full', {rank: 0, fitsInCache: false}),
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
	{
		load: 'more than the fleet can serve: a queue that would make all of them late',
		candidates: [createCandidate('cached', {isKnownWarm: true, expectedRunning: 10}), createCandidate('other', {expectedRunning: 10})],
		targetLatency: 400,
		chosen: 'queue-full',
	},
	{
		load: 'more than the fleet can serve: an object isn\'t sent past the queue of its cache to spoil another',
		candidates: [createCandidate('cached', {isKnownWarm: true, expectedRunning: 10}), createCandidate('shorter', {expectedRunning: 8})],
		targetLatency: 400,
		chosen: 'queue-full',
	},
	{
		load: 'a short queue, after which an answer has its full value',
		candidates: [createCandidate('cached', {isKnownWarm: true, expectedRunning: 5}), createCandidate('other', {expectedRunning: 5})],
		targetLatency: 400,
		chosen: 'cached',
	},
	{
		load: 'no target latency: all that may end in time waits',
		candidates: [createCandidate('cached', {isKnownWarm: true, expectedRunning: 8})],
		chosen: 'cached',
	},
	{load: 'no target that may serve', candidates: [], chosen: 'no-target'},
];

describe('the choice by expected finish', () => {
	it.each(cases)('$load', ({candidates, left = request.remainingMilliseconds, targetLatency, chosen}) => {
		const choice = chooseByFinishTime(candidates, {...request, remainingMilliseconds: left, targetLatencyMilliseconds: targetLatency});
		expect(choice.kind === 'chosen' ? choice.id : choice.kind).toBe(chosen);
	});

	it('asks a caller back when the wait will have passed', () => {
		const choice = chooseByFinishTime([createCandidate('home', {isKnownWarm: true, expectedRunning: 20})], request);
		expect(choice).toMatchObject({kind: 'too-late'});
		expect(choice.kind === 'too-late' && choice.expectedMilliseconds).toBeGreaterThan(request.remainingMilliseconds);
	});

	it('asks a caller back when the queue will be short', () => {
		const full = createCandidate('cached', {isKnownWarm: true, expectedRunning: 10});
		const choice = chooseByFinishTime([full], {...request, targetLatencyMilliseconds: 400});
		const later = chooseByFinishTime([{...full, expectedRunning: 5}], {...request, targetLatencyMilliseconds: 400});
		expect(choice).toMatchObject({kind: 'queue-full'});
		expect(later).toMatchObject({kind: 'chosen'});
		expect(choice.kind === 'queue-full' && choice.waitMilliseconds).toBeGreaterThan(0);
	});

	const bodies = [{bytes: 0, chosen: 'away'}, {bytes: 60_000, chosen: 'home'}];
	it.each(bodies)('a full home region: a body of $bytes bytes goes $chosen', ({bytes, chosen}) => {
		const candidates = [createCandidate('home', {expectedRunning: 7}), createCandidate('away', foreign)];
		expect(chooseByFinishTime(candidates, {...request, remotePenaltyMilliseconds: getRemotePenalty(bytes)})).toMatchObject({kind: 'chosen', id: chosen});
	});

	const uses = [{running: 0, use: 0, price: 0}, {running: 1, use: 0.25, price: 0}, {running: 4, use: 1, price: 3}, {running: 9, use: 1, price: 3}];
	it.each(uses)('with $running running at each target a slot costs $price', ({running, use, price}) => {
		const measured = getUtilization([createCandidate('a', {expectedRunning: running}), createCandidate('b', {expectedRunning: running})]);
		expect(measured).toBe(use);
		expect(getSlotPrice(measured)).toBe(price);
	});
});
