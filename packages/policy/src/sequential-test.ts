/**
 * The sequential test of a new version against the old one. Each kind of
 * trouble (failures, slow answers) is a cumulative sum of log likelihood
 * ratios per route. The sum forgets good times, so that a version that turns
 * bad late is found as fast as one that is bad at once.
 *
 * Source: Page, "Continuous inspection schemes", Biometrika 41, 1954. A sum
 * that starts anew at request n passes the threshold h by chance with a
 * probability of at most exp(-h) (Lorden, Annals of Statistics 42, 1971). The
 * threshold grows as the logarithm of n, so that few requests decide early and
 * the false alarms of a long rollout stay within the budget x ln(n / first).
 */
import {
	type EvidenceCounts, type RouteEvidence, addEvidenceCounts, countResponses, countSlower, createEvidenceCounts, latencyBounds, scaleEvidenceCounts,
} from './evidence.js';

/** How much of the old version's evidence is kept from slice to slice, once there is enough. */
const baselineRetention = 0.98;
const retainedRequests = 500;
/** How much of the old version's evidence of the last moments is kept from slice to slice. */
const recentRetention = 0.5;
/** Bad answers of the old version in the last moments that show trouble of both versions. */
const smallestSharedTrouble = 3;
const sharedDeviations = 2;
/** Answers of the old version without which nothing is judged slow. */
const smallestBaseline = 30;
const slowQuantile = 0.95;
/** An answer is slow if it takes longer than this many times the old version's quantile. */
const slowFactor = 1.3;

type Alternative = {
	readonly kind: 'failures' | 'slow';
	/** By how much the rate of a bad version is above the old version's. */
	readonly excess: number;
	/** A rate above the old version's by this much is still good. */
	readonly tolerated: number;
	/** By how many deviations the old version's rate may be higher than it looks. */
	readonly deviations: number;
	/** The chance of a false alarm per e-fold growth of the number of requests. */
	readonly falseAlarmBudget: number;
	/** The number of requests from which on the threshold grows. */
	readonly firstRequests: number;
	/** The most that one slice may add, so that a short burst alone never decides. */
	readonly largestPartPerSlice: number;
};

/**
 * Failures are independent of each other as long as the version is good, so few
 * of them decide early. Slow answers come in bursts and need more evidence.
 */
const certainFailures = {
	kind: 'failures', tolerated: 0, deviations: 1, falseAlarmBudget: 0.0002, firstRequests: 10, largestPartPerSlice: 0.5,
} as const;
const slightTrouble = {
	tolerated: 0.01, deviations: 2, falseAlarmBudget: 0.0003, firstRequests: 100,
} as const;

const alternatives: readonly Alternative[] = [
	{...certainFailures, excess: 0.8},
	{...certainFailures, excess: 0.35},
	{
		...slightTrouble, kind: 'failures', excess: 0.04, largestPartPerSlice: 0.1,
	},
	{
		...slightTrouble, kind: 'slow', excess: 0.35, largestPartPerSlice: 0.15,
	},
	{
		...slightTrouble, kind: 'slow', excess: 0.1, largestPartPerSlice: 0.05,
	},
];

/** The state of the test on one route. */
export type SequentialTest = {
	readonly baseline: EvidenceCounts;
	/** The old version's last moments, in which trouble that both versions share shows. */
	readonly recent: EvidenceCounts;
	/** One sum for each alternative. */
	readonly sums: readonly number[];
	/** Requests of the new version so far. */
	readonly requests: number;
};

/** How many of a number of requests were bad. */
type BadCount = {readonly requests: number; readonly bad: number};
type Trial = {readonly expected: BadCount; readonly recent: BadCount; readonly seen: BadCount};

export function createSequentialTest(): SequentialTest {
	return {
		baseline: createEvidenceCounts(), recent: createEvidenceCounts(), sums: alternatives.map(() => 0), requests: 0,
	};
}

/** Takes in what came in since the last slice. */
export function updateSequentialTest(test: SequentialTest, slice: RouteEvidence): SequentialTest {
	const baseline = updateBaseline(test.baseline, slice.from);
	const recent = addEvidenceCounts(scaleEvidenceCounts(test.recent, recentRetention), slice.from);
	const trials = {failures: getFailureTrial(baseline, recent, slice.to), slow: getSlowTrial(baseline, recent, slice.to)};
	const requests = test.requests + slice.to.requests;
	const sums = alternatives.map((alternative, index) => {
		const step = getLogLikelihoodRatio(trials[alternative.kind], alternative);
		const largestStep = getThreshold(alternative, requests) * alternative.largestPartPerSlice;
		return Math.max(0, (test.sums[index] ?? 0) + Math.min(step, largestStep));
	});
	return {
		baseline, recent, sums, requests,
	};
}

/** Which trouble was found; undefined while there is none. */
export function findRegression(test: SequentialTest): Alternative['kind'] | undefined {
	return alternatives.find((alternative, index) => getSuspicionOf(test, alternative, index) >= 1)?.kind;
}

/** How near the test is to its alarm, from 0 to 1. */
export function getSuspicion(test: SequentialTest): number {
	return Math.min(1, Math.max(...alternatives.map((alternative, index) => getSuspicionOf(test, alternative, index))));
}

function getSuspicionOf(test: SequentialTest, alternative: Alternative, index: number): number {
	return (test.sums[index] ?? 0) / getThreshold(alternative, test.requests);
}

function getThreshold({firstRequests, falseAlarmBudget}: Alternative, requests: number): number {
	return Math.log((requests + firstRequests) / falseAlarmBudget);
}

function updateBaseline(baseline: EvidenceCounts, added: EvidenceCounts): EvidenceCounts {
	const isPlenty = baseline.requests * baselineRetention > retainedRequests && added.requests > 0;
	return addEvidenceCounts(isPlenty ? scaleEvidenceCounts(baseline, baselineRetention) : baseline, added);
}

function getFailureTrial(baseline: EvidenceCounts, recent: EvidenceCounts, candidate: EvidenceCounts): Trial {
	return {
		expected: {requests: baseline.requests, bad: baseline.failures},
		recent: {requests: recent.requests, bad: recent.failures},
		seen: {requests: candidate.requests, bad: candidate.failures},
	};
}

/** Undefined while too little is known of the old version. */
function getSlowTrial(baseline: EvidenceCounts, recent: EvidenceCounts, candidate: EvidenceCounts): Trial | undefined {
	const answers = countResponses(baseline);
	if (answers < smallestBaseline) {
		return undefined;
	}

	const bucket = getSlowBucket(baseline, answers);
	return {
		expected: {requests: answers, bad: countSlower(baseline, bucket)},
		recent: {requests: countResponses(recent), bad: countSlower(recent, bucket)},
		seen: {requests: countResponses(candidate), bad: countSlower(candidate, bucket)},
	};
}

/** The bucket above which an answer is slow. */
function getSlowBucket(baseline: EvidenceCounts, answers: number): number {
	const allowed = answers * (1 - slowQuantile);
	let bucket = 0;
	while (bucket < latencyBounds.length && countSlower(baseline, bucket) > allowed) {
		bucket += 1;
	}

	const bound = (latencyBounds[bucket] ?? Infinity) * slowFactor;
	const slow = latencyBounds.findIndex(candidate => candidate >= bound);
	return slow === -1 ? latencyBounds.length : slow;
}

/** The rate that a good version may have now: the old version's, or more while both are in trouble. */
function getExpectedRate({expected, recent}: Trial, {deviations, tolerated}: Alternative): number {
	const usual = getRateBound(expected, deviations);
	const isShared = recent.bad >= smallestSharedTrouble;
	return Math.max(usual, isShared ? getRateBound(recent, sharedDeviations) : 0) + tolerated;
}

/** An upper confidence bound on a rate. */
function getRateBound({requests, bad}: BadCount, deviations: number): number {
	const rate = (bad + 0.5) / (requests + 1);
	const deviation = Math.sqrt(rate * (1 - rate) / (requests + 1));
	return rate + (deviations * deviation);
}

function getLogLikelihoodRatio(trial: Trial | undefined, alternative: Alternative): number {
	const highestRate = 0.99;
	const expectedRate = trial ? getExpectedRate(trial, alternative) : 1;
	if (!trial || trial.seen.requests === 0 || expectedRate >= highestRate) {
		return 0;
	}

	const {requests, bad} = trial.seen;
	const alternativeRate = Math.min(highestRate, expectedRate + alternative.excess);
	const good = requests - bad;
	return (bad * Math.log(alternativeRate / expectedRate)) + (good * Math.log((1 - alternativeRate) / (1 - expectedRate)));
}
