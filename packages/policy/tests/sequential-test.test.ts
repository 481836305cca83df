/** The sequential test of a new version: what it finds, how soon, and what it leaves alone. */
import {describe, expect, test} from 'vitest';
import {type Random, createRandom} from '@catkindale/common';
import {
	type EvidenceCounts, type SequentialTest, createEvidenceCounts, createSequentialTest, findRegression, getLatencyBucket, updateSequentialTest,
} from '../src/index.js';

const route = 'GET /prices';
const latencyMilliseconds = 40;
const oldRequestsPerSlice = 50;
const slicesBefore = 20;
const commonFailureShare = 0.005;

function countRequests(requests: number, failures: number): EvidenceCounts {
	const counts = createEvidenceCounts();
	counts.latencies[getLatencyBucket(latencyMilliseconds)] = requests - failures;
	return {...counts, requests, failures};
}

function draw(random: Random, requests: number, failureShare: number): EvidenceCounts {
	const failures = Array.from({length: requests}, () => random.fraction()).filter(fraction => fraction < failureShare).length;
	return countRequests(requests, failures);
}

/** A test that has seen the old version alone for some time. */
function createPreparedTest(random: Random): SequentialTest {
	let prepared = createSequentialTest();
	for (let slice = 0; slice < slicesBefore; slice++) {
		prepared = updateSequentialTest(prepared, {route, from: draw(random, oldRequestsPerSlice, commonFailureShare), to: createEvidenceCounts()});
	}

	return prepared;
}

/** How many failures it took; undefined if the test never found any badness. */
function countFailuresUntilFound(random: Random, failureShare: number, slices: number): number | undefined {
	let state = createPreparedTest(random);
	let failures = 0;
	for (let slice = 0; slice < slices; slice++) {
		const to = draw(random, 1, failureShare);
		failures += to.failures;
		state = updateSequentialTest(state, {route, from: draw(random, oldRequestsPerSlice, commonFailureShare), to});
		if (findRegression(state)) {
			return failures;
		}
	}

	return undefined;
}

/** A threshold of 5% of fifty requests, the better baseline, is passed by the third failure. */
const failuresOfBaseline = 3;

test.each([1, 2, 3, 4, 5])('a version that always fails is found no later than by the baseline (seed %i)', seed => {
	expect(countFailuresUntilFound(createRandom(seed), 1, 20)).toBeLessThanOrEqual(failuresOfBaseline);
});

test('a burst of failures within one slice decides nothing', () => {
	const state = createPreparedTest(createRandom(1));
	const burst = updateSequentialTest(state, {route, from: countRequests(oldRequestsPerSlice, 0), to: countRequests(10, 10)});
	expect(findRegression(burst)).toBeUndefined();
});

describe('trouble that both versions share', () => {
	test.each([
		{share: 0.2, seed: 1},
		{share: 0.5, seed: 2},
		{share: 0.9, seed: 3},
		{share: 1, seed: 4},
	])('takes no version back when $share of all requests fail for 5 s (seed $seed)', ({share, seed}) => {
		const random = createRandom(seed);
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 30; slice++) {
			const failureShare = slice < 10 ? share : commonFailureShare;
			state = updateSequentialTest(state, {route, from: draw(random, oldRequestsPerSlice, failureShare), to: draw(random, 3, failureShare)});
			expect(findRegression(state)).toBeUndefined();
		}
	});

	test('hides a version that is worse still no longer than it lasts', () => {
		const random = createRandom(5);
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 20; slice++) {
			const share = slice < 10 ? 0.5 : commonFailureShare;
			state = updateSequentialTest(state, {route, from: draw(random, oldRequestsPerSlice, share), to: draw(random, 3, 1)});
		}

		expect(findRegression(state)).toBe('failures');
	});
});

test.each([
	{failureShare: 0, seed: 1},
	{failureShare: 0.005, seed: 2},
	{failureShare: 0.02, seed: 3},
])('a good version is hardly ever found bad when $failureShare of all requests fail (seed $seed)', ({failureShare, seed}) => {
	const random = createRandom(seed);
	const rollouts = 400;
	let wrong = 0;
	for (let rollout = 0; rollout < rollouts; rollout++) {
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 150 && !findRegression(state); slice++) {
			state = updateSequentialTest(state, {route, from: draw(random, oldRequestsPerSlice, failureShare), to: draw(random, 3, failureShare)});
		}

		wrong += findRegression(state) ? 1 : 0;
	}

	expect(wrong / rollouts).toBeLessThanOrEqual(0.01);
});
