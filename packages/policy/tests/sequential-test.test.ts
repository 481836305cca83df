/** The sequential test of a new version: which regressions it detects, how soon, and which noise it ignores. */
import {describe, expect, test} from 'vitest';
import {type Random, createRandom} from '@catkindale/common';
import {
	type EvidenceCounts, type SequentialTest, createEvidenceCounts, createSequentialTest, findRegression, getLatencyBucket, updateSequentialTest,
} from '../src/index.js';

const route = 'GET /prices';
const latencyMilliseconds = 40;
const oldRequestsPerSlice = 50;
const baselineSlices = 20;
const baselineFailureFraction = 0.005;

function countRequests(requests: number, failures: number): EvidenceCounts {
	const counts = createEvidenceCounts();
	counts.latencies[getLatencyBucket(latencyMilliseconds)] = requests - failures;
	return {...counts, requests, failures};
}

function drawCounts(random: Random, requests: number, failureFraction: number): EvidenceCounts {
	const failures = Array.from({length: requests}, () => random.fraction()).filter(fraction => fraction < failureFraction).length;
	return countRequests(requests, failures);
}

/** Creates a test that has received counts of only the old version for some time. */
function createPreparedTest(random: Random): SequentialTest {
	let prepared = createSequentialTest();
	for (let slice = 0; slice < baselineSlices; slice++) {
		prepared = updateSequentialTest(prepared, {route, from: drawCounts(random, oldRequestsPerSlice, baselineFailureFraction), to: createEvidenceCounts()});
	}

	return prepared;
}

/** Counts the failures until the test detects a regression; returns undefined if it detects none. */
function countFailuresUntilDetected(random: Random, failureFraction: number, slices: number): number | undefined {
	let state = createPreparedTest(random);
	let failures = 0;
	for (let slice = 0; slice < slices; slice++) {
		const to = drawCounts(random, 1, failureFraction);
		failures += to.failures;
		state = updateSequentialTest(state, {route, from: drawCounts(random, oldRequestsPerSlice, baselineFailureFraction), to});
		if (findRegression(state)) {
			return failures;
		}
	}

	return undefined;
}

/** The better of the simple rules to compare with, a threshold of 5% of fifty requests, triggers at the third failure. */
const simpleThresholdFailures = 3;

test.each([1, 2, 3, 4, 5])('detects a version that always fails no later than a simple threshold (seed %i)', seed => {
	expect(countFailuresUntilDetected(createRandom(seed), 1, 20)).toBeLessThanOrEqual(simpleThresholdFailures);
});

test('detects no regression from a burst of failures within one slice', () => {
	const state = createPreparedTest(createRandom(1));
	const burst = updateSequentialTest(state, {route, from: countRequests(oldRequestsPerSlice, 0), to: countRequests(10, 10)});
	expect(findRegression(burst)).toBeUndefined();
});

describe('failures of both versions', () => {
	test.each([
		{fraction: 0.2, seed: 1},
		{fraction: 0.5, seed: 2},
		{fraction: 0.9, seed: 3},
		{fraction: 1, seed: 4},
	])('are no regression when a fraction of $fraction of all requests fails for 5 s (seed $seed)', ({fraction, seed}) => {
		const random = createRandom(seed);
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 30; slice++) {
			const failureFraction = slice < 10 ? fraction : baselineFailureFraction;
			state = updateSequentialTest(state, {route, from: drawCounts(random, oldRequestsPerSlice, failureFraction), to: drawCounts(random, 3, failureFraction)});
			expect(findRegression(state)).toBeUndefined();
		}
	});

	test('hide a regression only while they last', () => {
		const random = createRandom(5);
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 20; slice++) {
			const fraction = slice < 10 ? 0.5 : baselineFailureFraction;
			state = updateSequentialTest(state, {route, from: drawCounts(random, oldRequestsPerSlice, fraction), to: drawCounts(random, 3, 1)});
		}

		expect(findRegression(state)).toBe('failures');
	});
});

test.each([
	{failureFraction: 0, seed: 1},
	{failureFraction: 0.005, seed: 2},
	{failureFraction: 0.02, seed: 3},
])('raises at most 1% false alarms when a fraction of $failureFraction of all requests fails (seed $seed)', ({failureFraction, seed}) => {
	const random = createRandom(seed);
	const rollouts = 400;
	let falseAlarms = 0;
	for (let rollout = 0; rollout < rollouts; rollout++) {
		let state = createPreparedTest(random);
		for (let slice = 0; slice < 150 && !findRegression(state); slice++) {
			state = updateSequentialTest(state, {route, from: drawCounts(random, oldRequestsPerSlice, failureFraction), to: drawCounts(random, 3, failureFraction)});
		}

		falseAlarms += findRegression(state) ? 1 : 0;
	}

	expect(falseAlarms / rollouts).toBeLessThanOrEqual(0.01);
});
