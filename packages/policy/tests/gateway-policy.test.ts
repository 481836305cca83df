/** The gateway's decisions about objects, quotas, cold targets, splits, repeats and moves to new versions. */
import {describe, expect, it} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type ObjectAdmission, type TrafficCustomer, type TrafficRoute, type TrialEvidence, type WarmupBucket, addVersionCounts, chooseGateways, classifyServiceTime, createAttemptBudget,
	createDestinationRoundRobin, createWarmObjects, createServiceTimes, createTargetCondition, createTokenBucket, createWarmupBucket, addRequestCredit, fillTokenBucket, fullAdmission, getAllowedRegions,
	getCustomerRateFraction, getExpectedRunning, getObjectPosition, getTokenDelay, getTrialStage, getRotatedPosition, getWarmupNodeRate, shouldShedOnLag, isUnresponsive, evaluateTrial, mergeCacheableShare, emptyVersionCounts,
	recordSuccess, recordRequestEnded, recordFailure, recordRequestSent, recordResponse, recordUnresponsive, recordReportedLoad, takeToken,
	takeWarmupToken, updateAdmittedShare, updateCacheableShareByHit, updateCacheableShareByLoad, updateServiceTimes,
} from '@catkindale/policy';

describe('objects', () => {
	const queues = [
		{
			told: 'a long queue shrinks the admitted part', waiting: 3, before: 0.8, isLess: true,
		},
		{
			told: 'a refusal shrinks it', waiting: Number.POSITIVE_INFINITY, before: 0.8, isLess: true,
		},
		{
			told: 'no queue lets it grow', waiting: 0, before: 0.8, isLess: false,
		},
	];
	it.each(queues)('$told', ({waiting, before, isLess}) => {
		const admission = updateAdmittedShare({...fullAdmission, admittedShare: before}, {waiting, slots: 4}, 1000);
		expect(admission.admittedShare < before).toBe(isLess);
		expect(admission.admittedShare > before).toBe(!isLess);
	});

	it('a full target that is asked for more objects than it caches settles near what it caches', () => {
		const random = createRandom(7);
		const [objects, room] = [77, 35];
		const cached: number[] = [];
		let admission: ObjectAdmission = fullAdmission;
		let hits = 0;
		let late = 0;
		for (let count = 0; count < 20_000; count++) {
			const object = random.integer(0, objects - 1);
			if (getObjectPosition(`object-${object}`, 'target') >= admission.cacheableShare) {
				continue;
			}

			const place = cached.indexOf(object);
			const isHit = place !== -1;
			if (isHit) {
				cached.splice(place, 1);
			}

			cached.push(object);
			if (cached.length > room) {
				cached.shift();
			}

			admission = updateCacheableShareByHit(admission, isHit);
			if (count > 10_000) {
				late += 1;
				hits += isHit ? 1 : 0;
			}
		}

		expect(hits / late).toBeGreaterThan(0.8);
		expect(admission.cacheableShare).toBeGreaterThan(0.7 * room / objects);
		expect(admission.cacheableShare).toBeLessThan(1.5 * room / objects);
	});

	const loads = [{running: 4, waiting: 0, isLess: true}, {running: 4, waiting: 5, isLess: true}, {running: 1, waiting: 0, isLess: false}];
	it.each(loads)('$running running and $waiting waiting of 4 slots: the kept part shrinks: $isLess', load => {
		const admission = updateCacheableShareByLoad({...fullAdmission, cacheableShare: 0.5}, {...load, slots: 4});
		expect(admission.cacheableShare < 0.5).toBe(load.isLess);
	});

	it('gateways of a region agree on a part bit by bit', () => {
		expect(mergeCacheableShare({...fullAdmission, cacheableShare: 0.4}, 0.8).cacheableShare).toBeCloseTo(0.6);
	});

	it('each object has its time: the admitted part passes over all of them', () => {
		const position = getObjectPosition('object', 'target');
		const times = Array.from({length: 90}, (_, second) => getRotatedPosition(position, second * 1000));
		expect(times.filter(turned => turned < 0.3).length).toBeGreaterThan(20);
		expect(times.filter(turned => turned >= 0.3).length).toBeGreaterThan(50);
	});

	it('are remembered for a while, and as far as memory goes', () => {
		const memory = createWarmObjects();
		expect(memory.record('a', 'target', 0)).toBe(true);
		expect(memory.record('a', 'target', 1000)).toBe(false);
		expect(memory.isWarm('a', 'target', 15_000)).toBe(true);
		expect(memory.isWarm('a', 'target', 40_000)).toBe(false);
		for (let index = 0; index < 30_000; index++) {
			memory.record(`object-${index}`, 'target', 50_000);
		}

		expect(memory.getSize()).toBe(20_000);
		memory.removeTarget('target');
		expect(memory.isWarm('object-29999', 'target', 50_000)).toBe(false);
	});
});

describe('run times', () => {
	const runs = [{milliseconds: 150, kind: 'cached'}, {milliseconds: 470, kind: 'uncached'}, {milliseconds: 2000, kind: 'slow'}];
	it.each(runs)('$milliseconds ms is $kind', ({milliseconds, kind}) => {
		expect(classifyServiceTime({uncachedMilliseconds: 480, cachedMilliseconds: 144}, milliseconds)).toBe(kind);
	});

	it('follow short answers quickly and long ones slowly', () => {
		const start = createServiceTimes(300);
		expect(start.uncachedMilliseconds).toBe(480);
		const shorter = updateServiceTimes(start, false, 280);
		const longer = updateServiceTimes(start, false, 680);
		expect(start.uncachedMilliseconds - shorter.uncachedMilliseconds).toBeGreaterThan(5 * (longer.uncachedMilliseconds - start.uncachedMilliseconds));
	});
});

describe('a target\'s condition', () => {
	it('counts own requests exactly and others\' as told, fading', () => {
		const told = recordReportedLoad(recordRequestSent(createTargetCondition(0), 1000), {running: 4, waiting: 2, slots: 4}, 0);
		expect(getExpectedRunning(told, 0)).toBeCloseTo(6);
		expect(getExpectedRunning(told, 1000)).toBeLessThan(4);
		expect(getExpectedRunning(told, 60_000)).toBeCloseTo(1);
	});

	const silences = [
		{
			told: 'no answer in the time in which one was due', steps: ['send', 'send'], at: 1001, silent: true,
		},
		{
			told: 'a request that isn\'t due yet', steps: ['send'], at: 999, silent: false,
		},
		{
			told: 'an answer to one of several', steps: ['send', 'send', 'answer'], at: 1001, silent: false,
		},
		{
			told: 'an answer to one of several, and nothing for as long again', steps: ['send', 'send', 'answer'], at: 1501, silent: true,
		},
		{
			told: 'nothing awaited any more', steps: ['send', 'give up'], at: 5000, silent: false,
		},
	];
	it.each(silences)('is silent: $silent after $told', ({steps, at, silent}) => {
		let condition = createTargetCondition(0);
		for (const step of steps) {
			switch (step) {
				case 'send': {
					condition = recordRequestSent(condition, 1000);
					break;
				}

				case 'answer': {
					condition = recordResponse(recordRequestEnded(condition), 500 + 1000);
					break;
				}

				default: {
					condition = recordRequestEnded(condition);
				}
			}
		}

		expect(isUnresponsive(condition, at)).toBe(silent);
	});

	it('that swallows requests is kept away from after the first that ends so, once for all of them', () => {
		const first = recordUnresponsive(createTargetCondition(0), 1000);
		expect(first.avoidedUntil).toBe(1250);
		expect(recordUnresponsive(first, 1100)).toBe(first);
		expect(recordUnresponsive(first, 1300).avoidedUntil).toBe(1800);
	});

	it('keeps requests away for longer with each failure in a row, until an answer', () => {
		const first = recordFailure(createTargetCondition(0), 0);
		const second = recordFailure(first, 0);
		const third = recordFailure(second, 0);
		expect([first, second, third].map(({avoidedUntil}) => Math.max(0, avoidedUntil))).toEqual([0, 250, 500]);
		expect(recordSuccess(third, 1)).toMatchObject({consecutiveFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY});
	});
});

describe('customers\' quotas', () => {
	const fleets = [
		{fleet: 'even demand', demands: [10, 10, 10, 10]},
		{fleet: 'all at one node', demands: [40, 0, 0, 0]},
		{fleet: 'none yet', demands: [0, 0, 0, 0]},
		{fleet: 'mixed', demands: [1, 7, 30, 2]},
	];
	it.each(fleets)('$fleet: the shares add up to the rate', ({demands}) => {
		const byNode = new Map(demands.map((demand, index) => [`node-${index}`, demand]));
		const shares = [...byNode.keys()].map(ownId => getCustomerRateFraction({ownId, demands: byNode}));
		expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
		expect(Math.min(...shares)).toBeGreaterThan(0);
	});

	it('a restarted node begins with an empty bucket', () => {
		const empty = createTokenBucket(10, 5, 0, 0);
		expect(getTokenDelay(fillTokenBucket(empty, 0))).toBe(100);
		expect(getTokenDelay(fillTokenBucket(empty, 100))).toBe(0);
		expect(fillTokenBucket(empty, 60_000).tokens).toBe(5);
	});

	const homes = [
		{route: [], customer: [], allowed: undefined},
		{route: ['oslo'], customer: [], allowed: ['oslo']},
		{route: ['oslo', 'bergen'], customer: ['bergen', 'tromso'], allowed: ['bergen']},
		{route: ['oslo'], customer: ['tromso'], allowed: []},
	];
	it.each(homes)('homes of route $route and customer $customer allow $allowed', ({route, customer, allowed}) => {
		const regions = getAllowedRegions({regions: route} as unknown as TrafficRoute, {regions: customer} as unknown as TrafficCustomer);
		expect(regions === undefined ? undefined : [...regions]).toEqual(allowed);
	});
});

describe('cold targets', () => {
	it('get no more than their rate in any second from all nodes together', () => {
		const nodes = Array.from({length: 11}, (_, index) => `node-${index}`);
		const [rate, overage, slack] = [7.7, 1.5, 5];
		const sent: number[] = [];
		for (const node of nodes) {
			const share = getWarmupNodeRate(node, nodes, 'target', rate);
			let bucket = createWarmupBucket(0);
			for (let now = 0; now < 3000; now += 5) {
				const taken = takeWarmupToken(bucket, share, now);
				bucket = taken ?? bucket;
				if (taken) {
					sent.push(now);
				}
			}
		}

		const most = Math.max(...sent.map(start => sent.filter(time => time >= start && time < start + 1000).length));
		expect(most).toBeLessThanOrEqual((rate * overage) + slack);
		expect(sent.length).toBeGreaterThan(rate * 2);
	});

	it('a service without a rate holds back no requests, also within one millisecond', () => {
		let rate: WarmupBucket | undefined = createWarmupBucket(0);
		for (let request = 0; request < 3; request++) {
			rate &&= takeWarmupToken(rate, Number.POSITIVE_INFINITY, 0);
		}

		expect(rate).toBeDefined();
	});
});

describe('splits and repeats', () => {
	it('destinations get their shares also over few requests', () => {
		const counter = createDestinationRoundRobin([{service: 'a', weight: 90}, {service: 'b', weight: 10}]);
		const chosen = Array.from({length: 20}, () => counter.next());
		expect(chosen.filter(service => service === 'b')).toHaveLength(2);
	});

	it('repeats stay within the ratio and the reserve of a window', () => {
		const limits = {ratio: 0.1, reserve: 3, windowMilliseconds: 10_000};
		let budget = createAttemptBudget(limits, 0);
		let repeats = 0;
		for (let index = 0; index < 1000; index++) {
			budget = addRequestCredit(budget, limits, index * 10);
			const taken = takeToken(budget);
			budget = taken ?? budget;
			repeats += taken ? 1 : 0;
		}

		expect(repeats).toBeGreaterThan(90);
		expect(repeats).toBeLessThanOrEqual(100 + limits.reserve);
	});

	const places = [
		{zone: 'a1', uses: {}, chosen: ['a1-1']},
		{zone: 'a1', uses: {'a1-1': 0.9}, chosen: ['a1-1', 'a2-1']},
		{zone: 'a3', uses: {}, chosen: ['a1-1', 'a2-1']},
	];
	it.each(places)('a caller of $zone with uses $uses is sent to $chosen', ({zone, uses, chosen}) => {
		const gateways = [{id: 'a1-1', region: 'a', zone: 'a1'}, {id: 'a2-1', region: 'a', zone: 'a2'}, {id: 'b1-1', region: 'b', zone: 'b1'}];
		expect(chooseGateways(gateways, {region: 'a', zone, utilizations: new Map(Object.entries(uses))}).map(({id}) => id)).toEqual(chosen);
	});
});

describe('a late gateway', () => {
	const cases = [
		{late: 20, priority: 2, isShed: false},
		{late: 250, priority: 2, isShed: true},
		{late: 250, priority: 1, isShed: false},
		{late: 350, priority: 1, isShed: true},
		{late: 350, priority: 0, isShed: false},
		{late: 500, priority: 0, isShed: true},
	];
	it.each(cases)('$late ms late, priority $priority: refused: $isShed', ({late, priority, isShed}) => {
		expect(shouldShedOnLag(late, priority)).toBe(isShed);
	});
});

describe('a move to a new version', () => {
	const stages = [
		{elapsed: 0, requests: 0, stage: {kind: 'move', share: 0.05}},
		{elapsed: 0.49, requests: 500, stage: {kind: 'move', share: 0.05}},
		{elapsed: 0.51, requests: 50, stage: {kind: 'move', share: 0.2}},
		{elapsed: 0.75, requests: 50, stage: {kind: 'move', share: 1}},
		{elapsed: 0.75, requests: 3, stage: {kind: 'move', share: 0.05}},
		{elapsed: 0.83, requests: 50, stage: {kind: 'complete'}},
		{elapsed: 0.83, requests: 3, stage: {kind: 'move', share: 0.05}},
		{elapsed: 0.98, requests: 500, stage: {kind: 'abandon'}},
	];
	it.each(stages)('after $elapsed of its time with $requests requests: $stage.kind', ({elapsed, requests, stage}) => {
		expect(getTrialStage(elapsed, requests)).toEqual(stage);
	});

	const good = {requests: 400, failures: 1, slow: 8};
	const evidences: ReadonlyArray<{readonly shown: string; readonly evidence: readonly TrialEvidence[]; readonly verdict: string}> = [
		{shown: 'nothing', evidence: [], verdict: 'sound'},
		{shown: 'two failures, which may be chance', evidence: [{route: 'a', trial: {requests: 4, failures: 2, slow: 0}, settled: good}], verdict: 'sound'},
		{shown: 'failures on all routes', evidence: [{route: 'a', trial: {requests: 8, failures: 4, slow: 0}, settled: good}], verdict: 'bad'},
		{
			shown: 'failures on one route only',
			evidence: [
				{route: 'a', trial: {requests: 90, failures: 0, slow: 0}, settled: good},
				{route: 'b', trial: {requests: 5, failures: 3, slow: 0}, settled: emptyVersionCounts},
			],
			verdict: 'bad',
		},
		{shown: 'as many failures as before', evidence: [{route: 'a', trial: {requests: 40, failures: 12, slow: 0}, settled: {requests: 400, failures: 120, slow: 0}}], verdict: 'sound'},
		{shown: 'slow answers', evidence: [{route: 'a', trial: {requests: 12, failures: 0, slow: 8}, settled: good}], verdict: 'bad'},
		{shown: 'as slow as before', evidence: [{route: 'a', trial: {requests: 12, failures: 0, slow: 6}, settled: {requests: 100, failures: 0, slow: 40}}], verdict: 'sound'},
	];
	it.each(evidences)('$shown: $verdict', ({evidence, verdict}) => {
		expect(evaluateTrial(evidence).kind).toBe(verdict);
	});

	it('counts add up', () => {
		expect(addVersionCounts(good, {requests: 1, failures: 1, slow: 0})).toEqual({requests: 401, failures: 2, slow: 8});
	});
});
