/** The gateway's policies for objects, quotas, cold targets, weighted destinations, retries and version trials. */
import {describe, expect, it} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type ObjectAdmission, type TrafficCustomer, type TrafficRoute, type TrialEvidence, type RateBucket, addVersionCounts, chooseGateways, classifyServiceTime,
	createAttemptBudget, createDestinationRoundRobin, createWarmObjects, createServiceTimes, createTargetCondition, createTokenBucket, createRateBucket,
	addRequestCredit, fillTokenBucket, fullAdmission, getAllowedRegions, getCustomerRateFraction, getExpectedRunning, getObjectPosition, getTokenDelay,
	getTrialStage, getRotatedPosition, getWarmupNodeRate, shouldShedOnLag, isUnresponsive, evaluateTrial, mergeCacheableShare, emptyVersionCounts, recordSuccess,
	recordRequestEnded, recordFailure, recordRequestSent, recordResponse, recordUnresponsive, recordReportedLoad, takeToken, takeRateToken, updateAdmittedShare,
	updateCacheableShareByHit, updateCacheableShareByLoad, updateServiceTimes,
} from '@catkindale/policy';

describe('objects', () => {
	const queues = [
		{
			name: 'a long queue reduces the admitted share', waiting: 3, before: 0.8, isLess: true,
		},
		{
			name: 'a refusal reduces the admitted share', waiting: Number.POSITIVE_INFINITY, before: 0.8, isLess: true,
		},
		{
			name: 'an empty queue increases the admitted share', waiting: 0, before: 0.8, isLess: false,
		},
	];
	it.each(queues)('$name', ({waiting, before, isLess}) => {
		const admission = updateAdmittedShare({...fullAdmission, admittedShare: before}, {waiting, slots: 4}, 1000);
		expect(admission.admittedShare < before).toBe(isLess);
		expect(admission.admittedShare > before).toBe(!isLess);
	});

	it('the cacheable share converges to the cache size of a target that receives more objects', () => {
		const random = createRandom(7);
		const [objects, cacheSize] = [77, 35];
		const cached: number[] = [];
		let admission: ObjectAdmission = fullAdmission;
		let hits = 0;
		let measured = 0;
		for (let count = 0; count < 20_000; count++) {
			const object = random.integer(0, objects - 1);
			if (getObjectPosition(`object-${object}`, 'target') >= admission.cacheableShare) {
				continue;
			}

			const index = cached.indexOf(object);
			const isHit = index !== -1;
			if (isHit) {
				cached.splice(index, 1);
			}

			cached.push(object);
			if (cached.length > cacheSize) {
				cached.shift();
			}

			admission = updateCacheableShareByHit(admission, isHit);
			if (count > 10_000) {
				measured += 1;
				hits += isHit ? 1 : 0;
			}
		}

		expect(hits / measured).toBeGreaterThan(0.8);
		expect(admission.cacheableShare).toBeGreaterThan(0.7 * cacheSize / objects);
		expect(admission.cacheableShare).toBeLessThan(1.5 * cacheSize / objects);
	});

	const loads = [{running: 4, waiting: 0, isLess: true}, {running: 4, waiting: 5, isLess: true}, {running: 1, waiting: 0, isLess: false}];
	it.each(loads)('$running running and $waiting waiting at 4 slots: the cacheable share is reduced: $isLess', load => {
		const admission = updateCacheableShareByLoad({...fullAdmission, cacheableShare: 0.5}, {...load, slots: 4});
		expect(admission.cacheableShare < 0.5).toBe(load.isLess);
	});

	it('the cacheable shares of a region\'s gateways converge', () => {
		expect(mergeCacheableShare({...fullAdmission, cacheableShare: 0.4}, 0.8).cacheableShare).toBeCloseTo(0.6);
	});

	it('the admitted share rotates over all objects', () => {
		const position = getObjectPosition('object', 'target');
		const times = Array.from({length: 90}, (_, second) => getRotatedPosition(position, second * 1000));
		expect(times.filter(rotated => rotated < 0.3).length).toBeGreaterThan(20);
		expect(times.filter(rotated => rotated >= 0.3).length).toBeGreaterThan(50);
	});

	it('are warm for a limited time, and in a limited number', () => {
		const warmObjects = createWarmObjects();
		expect(warmObjects.record('a', 'target', 0)).toBe(true);
		expect(warmObjects.record('a', 'target', 1000)).toBe(false);
		expect(warmObjects.isWarm('a', 'target', 15_000)).toBe(true);
		expect(warmObjects.isWarm('a', 'target', 40_000)).toBe(false);
		for (let index = 0; index < 30_000; index++) {
			warmObjects.record(`object-${index}`, 'target', 50_000);
		}

		expect(warmObjects.getSize()).toBe(20_000);
		warmObjects.removeTarget('target');
		expect(warmObjects.isWarm('object-29999', 'target', 50_000)).toBe(false);
	});
});

describe('service times', () => {
	const observations = [{milliseconds: 150, kind: 'cached'}, {milliseconds: 470, kind: 'uncached'}, {milliseconds: 2000, kind: 'slow'}];
	it.each(observations)('$milliseconds ms is classified as $kind', ({milliseconds, kind}) => {
		expect(classifyServiceTime({uncachedMilliseconds: 480, cachedMilliseconds: 144}, milliseconds)).toBe(kind);
	});

	it('follow short observations quickly and long ones slowly', () => {
		const start = createServiceTimes(300);
		expect(start.uncachedMilliseconds).toBe(480);
		const shorter = updateServiceTimes(start, false, 280);
		const longer = updateServiceTimes(start, false, 680);
		expect(start.uncachedMilliseconds - shorter.uncachedMilliseconds).toBeGreaterThan(5 * (longer.uncachedMilliseconds - start.uncachedMilliseconds));
	});
});

describe('the condition of a target', () => {
	it('counts own requests exactly, and those of other nodes as reported, with decay', () => {
		const condition = recordReportedLoad(recordRequestSent(createTargetCondition(0), 1000), {running: 4, waiting: 2, slots: 4}, 0);
		expect(getExpectedRunning(condition, 0)).toBeCloseTo(6);
		expect(getExpectedRunning(condition, 1000)).toBeLessThan(4);
		expect(getExpectedRunning(condition, 60_000)).toBeCloseTo(1);
	});

	const responsivenessCases = [
		{
			name: 'no response by the expected time', steps: ['send', 'send'], at: 1001, expected: true,
		},
		{
			name: 'a request whose response isn\'t expected yet', steps: ['send'], at: 999, expected: false,
		},
		{
			name: 'a response to one of several requests', steps: ['send', 'send', 'respond'], at: 1001, expected: false,
		},
		{
			name: 'a response to one of several requests, and none by the next expected time', steps: ['send', 'send', 'respond'], at: 1501, expected: true,
		},
		{
			name: 'all requests were given up', steps: ['send', 'give up'], at: 5000, expected: false,
		},
	];
	it.each(responsivenessCases)('is unresponsive: $expected after $name', ({steps, at, expected}) => {
		let condition = createTargetCondition(0);
		for (const step of steps) {
			switch (step) {
				case 'send': {
					condition = recordRequestSent(condition, 1000);
					break;
				}

				case 'respond': {
					condition = recordResponse(recordRequestEnded(condition), 500 + 1000);
					break;
				}

				default: {
					condition = recordRequestEnded(condition);
				}
			}
		}

		expect(isUnresponsive(condition, at)).toBe(expected);
	});

	it('avoids an unresponsive target after the first such request, once for all of them', () => {
		const first = recordUnresponsive(createTargetCondition(0), 1000);
		expect(first.avoidedUntil).toBe(1250);
		expect(recordUnresponsive(first, 1100)).toBe(first);
		expect(recordUnresponsive(first, 1300).avoidedUntil).toBe(1800);
	});

	it('avoids the target for longer with each consecutive failure, until a success', () => {
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
	it.each(fleets)('$fleet: the fractions add up to 1', ({demands}) => {
		const byNode = new Map(demands.map((demand, index) => [`node-${index}`, demand]));
		const fractions = [...byNode.keys()].map(ownId => getCustomerRateFraction({ownId, demands: byNode}));
		expect(fractions.reduce((sum, fraction) => sum + fraction, 0)).toBeCloseTo(1);
		expect(Math.min(...fractions)).toBeGreaterThan(0);
	});

	it('a restarted node starts with an empty bucket', () => {
		const empty = createTokenBucket(10, 5, 0, 0);
		expect(getTokenDelay(fillTokenBucket(empty, 0))).toBe(100);
		expect(getTokenDelay(fillTokenBucket(empty, 100))).toBe(0);
		expect(fillTokenBucket(empty, 60_000).tokens).toBe(5);
	});

	const regionCases = [
		{route: [], customer: [], allowed: undefined},
		{route: ['oslo'], customer: [], allowed: ['oslo']},
		{route: ['oslo', 'bergen'], customer: ['bergen', 'tromso'], allowed: ['bergen']},
		{route: ['oslo'], customer: ['tromso'], allowed: []},
	];
	it.each(regionCases)('regions $route of the route and $customer of the customer allow $allowed', ({route, customer, allowed}) => {
		const regions = getAllowedRegions({regions: route} as unknown as TrafficRoute, {regions: customer} as unknown as TrafficCustomer);
		expect(regions === undefined ? undefined : [...regions]).toEqual(allowed);
	});
});

describe('cold targets', () => {
	it('receive no more than their rate from all nodes together in any second', () => {
		const nodes = Array.from({length: 11}, (_, index) => `node-${index}`);
		const [rate, overage, slack] = [7.7, 1.5, 5];
		const sent: number[] = [];
		for (const node of nodes) {
			const nodeRate = getWarmupNodeRate(node, nodes, 'target', rate);
			let bucket = createRateBucket(0);
			for (let now = 0; now < 3000; now += 5) {
				const taken = takeRateToken(bucket, nodeRate, now);
				bucket = taken ?? bucket;
				if (taken) {
					sent.push(now);
				}
			}
		}

		const maximum = Math.max(...sent.map(start => sent.filter(time => time >= start && time < start + 1000).length));
		expect(maximum).toBeLessThanOrEqual((rate * overage) + slack);
		expect(sent.length).toBeGreaterThan(rate * 2);
	});

	it('a service without a rate has no limit, even within one millisecond', () => {
		let bucket: RateBucket | undefined = createRateBucket(0);
		for (let request = 0; request < 3; request++) {
			bucket &&= takeRateToken(bucket, Number.POSITIVE_INFINITY, 0);
		}

		expect(bucket).toBeDefined();
	});
});

describe('destinations and retries', () => {
	it('destinations receive their shares even over few requests', () => {
		const roundRobin = createDestinationRoundRobin([{service: 'a', weight: 90}, {service: 'b', weight: 10}]);
		const chosen = Array.from({length: 20}, () => roundRobin.next());
		expect(chosen.filter(service => service === 'b')).toHaveLength(2);
	});

	it('retries stay within the ratio plus the reserve of a window', () => {
		const limits = {ratio: 0.1, reserve: 3, windowMilliseconds: 10_000};
		let budget = createAttemptBudget(limits, 0);
		let retries = 0;
		for (let index = 0; index < 1000; index++) {
			budget = addRequestCredit(budget, limits, index * 10);
			const taken = takeToken(budget);
			budget = taken ?? budget;
			retries += taken ? 1 : 0;
		}

		expect(retries).toBeGreaterThan(90);
		expect(retries).toBeLessThanOrEqual(100 + limits.reserve);
	});

	const locations = [
		{zone: 'a1', utilizations: {}, chosen: ['a1-1']},
		{zone: 'a1', utilizations: {'a1-1': 0.9}, chosen: ['a1-1', 'a2-1']},
		{zone: 'a3', utilizations: {}, chosen: ['a1-1', 'a2-1']},
	];
	it.each(locations)('a caller of $zone with utilizations $utilizations is sent to $chosen', ({zone, utilizations, chosen}) => {
		const gateways = [{id: 'a1-1', region: 'a', zone: 'a1'}, {id: 'a2-1', region: 'a', zone: 'a2'}, {id: 'b1-1', region: 'b', zone: 'b1'}];
		expect(chooseGateways(gateways, {region: 'a', zone, utilizations: new Map(Object.entries(utilizations))}).map(({id}) => id)).toEqual(chosen);
	});
});

describe('event loop lag', () => {
	const cases = [
		{lag: 20, priority: 2, isShed: false},
		{lag: 250, priority: 2, isShed: true},
		{lag: 250, priority: 1, isShed: false},
		{lag: 350, priority: 1, isShed: true},
		{lag: 350, priority: 0, isShed: false},
		{lag: 500, priority: 0, isShed: true},
	];
	it.each(cases)('of $lag ms, priority $priority: shed: $isShed', ({lag, priority, isShed}) => {
		expect(shouldShedOnLag(lag, priority)).toBe(isShed);
	});
});

describe('a version trial', () => {
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
	it.each(stages)('after a fraction of $elapsed of its time with $requests requests: $stage.kind', ({elapsed, requests, stage}) => {
		expect(getTrialStage(elapsed, requests)).toEqual(stage);
	});

	const good = {requests: 400, failures: 1, slow: 8};
	const evaluations: ReadonlyArray<{readonly name: string; readonly evidence: readonly TrialEvidence[]; readonly verdict: string}> = [
		{name: 'no evidence', evidence: [], verdict: 'sound'},
		{name: 'two failures, which may be due to chance', evidence: [{route: 'a', trial: {requests: 4, failures: 2, slow: 0}, settled: good}], verdict: 'sound'},
		{name: 'failures on all routes', evidence: [{route: 'a', trial: {requests: 8, failures: 4, slow: 0}, settled: good}], verdict: 'bad'},
		{
			name: 'failures on one route only',
			evidence: [
				{route: 'a', trial: {requests: 90, failures: 0, slow: 0}, settled: good},
				{route: 'b', trial: {requests: 5, failures: 3, slow: 0}, settled: emptyVersionCounts},
			],
			verdict: 'bad',
		},
		{name: 'as many failures as before', evidence: [{route: 'a', trial: {requests: 40, failures: 12, slow: 0}, settled: {requests: 400, failures: 120, slow: 0}}], verdict: 'sound'},
		{name: 'slow responses', evidence: [{route: 'a', trial: {requests: 12, failures: 0, slow: 8}, settled: good}], verdict: 'bad'},
		{name: 'as slow as before', evidence: [{route: 'a', trial: {requests: 12, failures: 0, slow: 6}, settled: {requests: 100, failures: 0, slow: 40}}], verdict: 'sound'},
	];
	it.each(evaluations)('$name: $verdict', ({evidence, verdict}) => {
		expect(evaluateTrial(evidence).kind).toBe(verdict);
	});

	it('counts add up', () => {
		expect(addVersionCounts(good, {requests: 1, failures: 1, slow: 0})).toEqual({requests: 401, failures: 2, slow: 8});
	});
});
