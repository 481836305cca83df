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
	type EvidenceCounts, type RouteEvidence, addEvidence, countAnswers, countSlower, createEvidenceCounts, latencyBounds, scaleEvidence,
} from './evidence.js';

/** The chance of a false alarm per sum and e-fold growth of the number of requests. */
const falseAlarmBudget = 0.0003;
const firstRequests = 100;

/** How much of the old version's evidence is kept from slice to slice, once there is enough. */
const baselineRetention = 0.98;
const retainedRequests = 500;
/** Answers of the old version without which nothing is judged slow. */
const smallestBaseline = 30;
const slowQuantile = 0.95;
/** An answer is slow if it takes longer than this many times the old version's quantile. */
const slowFactor = 1.3;
const toleratedExcess = 0.01;
const confidenceDeviations = 2;

type Alternative = {
	readonly kind: 'failures' | 'slow';
	/** By how much the rate of a bad version is above the old version's. */
	readonly excess: number;
	/** The most that one slice may add, so that a short burst alone never decides. */
	readonly largestPartPerSlice: number;
};

const alternatives: readonly Alternative[] = [
	{kind: 'failures', excess: 0.35, largestPartPerSlice: 0.34},
	{kind: 'failures', excess: 0.04, largestPartPerSlice: 0.1},
	{kind: 'slow', excess: 0.35, largestPartPerSlice: 0.15},
	{kind: 'slow', excess: 0.1, largestPartPerSlice: 0.05},
];

/** The state of the test on one route. */
export type EvidenceTest = {
	readonly baseline: EvidenceCounts;
	/** One sum for each alternative. */
	readonly sums: readonly number[];
	/** Requests of the new version so far. */
	readonly requests: number;
};

type Trial = {readonly requests: number; readonly bad: number; readonly expectedRate: number};

export function createEvidenceTest(): EvidenceTest {
	return {baseline: createEvidenceCounts(), sums: alternatives.map(() => 0), requests: 0};
}

/** Takes in what came in since the last slice. */
export function updateEvidenceTest(test: EvidenceTest, slice: RouteEvidence): EvidenceTest {
	const baseline = updateBaseline(test.baseline, slice.from);
	const trials = {failures: getFailureTrial(baseline, slice.to), slow: getSlowTrial(baseline, slice.to)};
	const requests = test.requests + slice.to.requests;
	const threshold = getThreshold(requests);
	const sums = alternatives.map((alternative, index) => {
		const step = getLogLikelihoodRatio(trials[alternative.kind], alternative.excess);
		return Math.max(0, (test.sums[index] ?? 0) + Math.min(step, threshold * alternative.largestPartPerSlice));
	});
	return {baseline, sums, requests};
}

/** Which trouble was found; undefined while there is none. */
export function getBadness(test: EvidenceTest): Alternative['kind'] | undefined {
	const threshold = getThreshold(test.requests);
	const index = test.sums.findIndex(sum => sum >= threshold);
	return alternatives[index]?.kind;
}

/** How near the test is to its alarm, from 0 to 1. */
export function getSuspicion(test: EvidenceTest): number {
	return Math.min(1, Math.max(...test.sums) / getThreshold(test.requests));
}

function getThreshold(requests: number): number {
	return Math.log((requests + firstRequests) / falseAlarmBudget);
}

function updateBaseline(baseline: EvidenceCounts, added: EvidenceCounts): EvidenceCounts {
	const isPlenty = baseline.requests * baselineRetention > retainedRequests && added.requests > 0;
	return addEvidence(isPlenty ? scaleEvidence(baseline, baselineRetention) : baseline, added);
}

function getFailureTrial(baseline: EvidenceCounts, candidate: EvidenceCounts): Trial {
	return {requests: candidate.requests, bad: candidate.failures, expectedRate: getRateBound(baseline.failures, baseline.requests)};
}

function getSlowTrial(baseline: EvidenceCounts, candidate: EvidenceCounts): Trial {
	const answers = countAnswers(baseline);
	if (answers < smallestBaseline) {
		return {requests: 0, bad: 0, expectedRate: 1};
	}

	const bucket = getSlowBucket(baseline, answers);
	return {requests: countAnswers(candidate), bad: countSlower(candidate, bucket), expectedRate: getRateBound(countSlower(baseline, bucket), answers)};
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

/** An upper confidence bound on the old version's rate, plus what is tolerated. */
function getRateBound(bad: number, requests: number): number {
	const rate = (bad + 0.5) / (requests + 1);
	const deviation = Math.sqrt(rate * (1 - rate) / (requests + 1));
	return rate + (confidenceDeviations * deviation) + toleratedExcess;
}

function getLogLikelihoodRatio({requests, bad, expectedRate}: Trial, excess: number): number {
	const highestRate = 0.99;
	if (requests === 0 || expectedRate >= highestRate) {
		return 0;
	}

	const alternativeRate = Math.min(highestRate, expectedRate + excess);
	const good = requests - bad;
	return (bad * Math.log(alternativeRate / expectedRate)) + (good * Math.log((1 - alternativeRate) / (1 - expectedRate)));
}
