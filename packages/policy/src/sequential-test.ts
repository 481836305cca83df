/**
 * Sequential test (CUSUM) of a new version against the old one. For each route
 * and each kind of regression (failures, slow responses) it keeps a cumulative
 * sum of log likelihood ratios. The sum never falls below zero, so that a
 * version that degrades late is detected as fast as one that is bad from the
 * start.
 *
 * Source: Page, "Continuous inspection schemes", Biometrika 41, 1954. A sum
 * that restarts at request n passes the threshold h by chance with a
 * probability of at most exp(-h) (Lorden, Annals of Statistics 42, 1971). The
 * threshold grows with the logarithm of n. Few requests can therefore decide
 * early, and the false alarms of a long rollout stay within
 * budget * ln(n / first).
 */
import {
	type EvidenceCounts, type RouteEvidence, addEvidenceCounts, countResponses, countSlower, createEvidenceCounts, latencyBounds, scaleEvidenceCounts,
} from './evidence.js';

/** Factor applied to the old version's counts before each slice, once there are enough of them. */
const baselineDecayFactor = 0.98;
const minimumRequestsBeforeDecay = 500;
/** Factor applied to the old version's recent counts before each slice. */
const recentDecayFactor = 0.5;
/** Recent bad responses of the old version from which on both versions count as degraded. */
const minimumSharedBadResponses = 3;
const sharedDegradationDeviations = 2;
/** With fewer responses of the old version, no response counts as slow. */
const minimumBaselineResponses = 30;
const slowQuantile = 0.95;
/** A response is slow if it takes longer than this multiple of the old version's quantile. */
const slowFactor = 1.3;

type AlternativeHypothesis = {
	readonly kind: 'failures' | 'slow';
	/** Difference between the rate of a bad version and the old version's rate. */
	readonly excess: number;
	/** A rate that exceeds the old version's by no more than this is still good. */
	readonly toleratedExcess: number;
	/** Standard deviations by which the old version's true rate may exceed the observed one. */
	readonly deviations: number;
	/** Probability of a false alarm per e-fold growth of the number of requests. */
	readonly falseAlarmBudget: number;
	/** Number of requests from which on the threshold grows. */
	readonly firstRequests: number;
	/** Maximum that one slice may add to the sum, as a fraction of the threshold, so that a short burst alone never decides. */
	readonly maximumStepFraction: number;
};

/**
 * Failures of a good version are independent of each other, so few of them
 * suffice for an early decision. Slow responses come in bursts and need more
 * evidence.
 */
const severeFailures = {
	kind: 'failures', toleratedExcess: 0, deviations: 1, falseAlarmBudget: 0.0002, firstRequests: 10, maximumStepFraction: 0.5,
} as const;
const slightRegression = {
	toleratedExcess: 0.01, deviations: 2, falseAlarmBudget: 0.0003, firstRequests: 100,
} as const;

const alternatives: readonly AlternativeHypothesis[] = [
	{...severeFailures, excess: 0.8},
	{...severeFailures, excess: 0.35},
	{
		...slightRegression, kind: 'failures', excess: 0.04, maximumStepFraction: 0.1,
	},
	{
		...slightRegression, kind: 'slow', excess: 0.35, maximumStepFraction: 0.15,
	},
	{
		...slightRegression, kind: 'slow', excess: 0.1, maximumStepFraction: 0.05,
	},
];

/** State of the test for one route. */
export type SequentialTest = {
	readonly baseline: EvidenceCounts;
	/** The old version's recent counts, which show whether both versions are degraded. */
	readonly recent: EvidenceCounts;
	/** One cumulative sum per alternative hypothesis. */
	readonly sums: readonly number[];
	/** Requests of the new version so far. */
	readonly requests: number;
};

/** Number of requests, and how many of them were bad. */
type BadCount = {readonly requests: number; readonly bad: number};
type Comparison = {readonly expected: BadCount; readonly recent: BadCount; readonly observed: BadCount};

export function createSequentialTest(): SequentialTest {
	return {
		baseline: createEvidenceCounts(), recent: createEvidenceCounts(), sums: alternatives.map(() => 0), requests: 0,
	};
}

/** Updates the test with the counts since the last slice. */
export function updateSequentialTest(test: SequentialTest, slice: RouteEvidence): SequentialTest {
	const baseline = updateBaseline(test.baseline, slice.from);
	const recent = addEvidenceCounts(scaleEvidenceCounts(test.recent, recentDecayFactor), slice.from);
	const comparisons = {failures: compareFailures(baseline, recent, slice.to), slow: compareSlowResponses(baseline, recent, slice.to)};
	const requests = test.requests + slice.to.requests;
	const sums = alternatives.map((alternative, index) => {
		const step = getLogLikelihoodRatio(comparisons[alternative.kind], alternative);
		const maximumStep = getThreshold(alternative, requests) * alternative.maximumStepFraction;
		return Math.max(0, (test.sums[index] ?? 0) + Math.min(step, maximumStep));
	});
	return {
		baseline, recent, sums, requests,
	};
}

/** Returns the kind of the detected regression, or undefined if there is none. */
export function findRegression(test: SequentialTest): AlternativeHypothesis['kind'] | undefined {
	return alternatives.find((alternative, index) => getAlternativeSuspicion(test, alternative, index) >= 1)?.kind;
}

/** Returns how close the test is to detecting a regression, from 0 to 1. */
export function getSuspicion(test: SequentialTest): number {
	return Math.min(1, Math.max(...alternatives.map((alternative, index) => getAlternativeSuspicion(test, alternative, index))));
}

function getAlternativeSuspicion(test: SequentialTest, alternative: AlternativeHypothesis, index: number): number {
	return (test.sums[index] ?? 0) / getThreshold(alternative, test.requests);
}

function getThreshold({firstRequests, falseAlarmBudget}: AlternativeHypothesis, requests: number): number {
	return Math.log((requests + firstRequests) / falseAlarmBudget);
}

function updateBaseline(baseline: EvidenceCounts, added: EvidenceCounts): EvidenceCounts {
	const hasEnoughRequests = baseline.requests * baselineDecayFactor > minimumRequestsBeforeDecay && added.requests > 0;
	return addEvidenceCounts(hasEnoughRequests ? scaleEvidenceCounts(baseline, baselineDecayFactor) : baseline, added);
}

function compareFailures(baseline: EvidenceCounts, recent: EvidenceCounts, candidate: EvidenceCounts): Comparison {
	return {
		expected: {requests: baseline.requests, bad: baseline.failures},
		recent: {requests: recent.requests, bad: recent.failures},
		observed: {requests: candidate.requests, bad: candidate.failures},
	};
}

/** Returns undefined while the old version has too few responses. */
function compareSlowResponses(baseline: EvidenceCounts, recent: EvidenceCounts, candidate: EvidenceCounts): Comparison | undefined {
	const responses = countResponses(baseline);
	if (responses < minimumBaselineResponses) {
		return undefined;
	}

	const bucket = getSlowBucket(baseline, responses);
	return {
		expected: {requests: responses, bad: countSlower(baseline, bucket)},
		recent: {requests: countResponses(recent), bad: countSlower(recent, bucket)},
		observed: {requests: countResponses(candidate), bad: countSlower(candidate, bucket)},
	};
}

/** Returns the index of the latency bucket above which a response is slow. */
function getSlowBucket(baseline: EvidenceCounts, responses: number): number {
	const allowed = responses * (1 - slowQuantile);
	let bucket = 0;
	while (bucket < latencyBounds.length && countSlower(baseline, bucket) > allowed) {
		bucket += 1;
	}

	const bound = (latencyBounds[bucket] ?? Infinity) * slowFactor;
	const slowBucket = latencyBounds.findIndex(candidate => candidate >= bound);
	return slowBucket === -1 ? latencyBounds.length : slowBucket;
}

/** Returns the rate that a good version may have now: the old version's, or a higher one while both versions are degraded. */
function getExpectedRate({expected, recent}: Comparison, {deviations, toleratedExcess}: AlternativeHypothesis): number {
	const baselineRate = getRateBound(expected, deviations);
	const isSharedDegradation = recent.bad >= minimumSharedBadResponses;
	return Math.max(baselineRate, isSharedDegradation ? getRateBound(recent, sharedDegradationDeviations) : 0) + toleratedExcess;
}

/** Returns an upper confidence bound on a rate. */
function getRateBound({requests, bad}: BadCount, deviations: number): number {
	const rate = (bad + 0.5) / (requests + 1);
	const deviation = Math.sqrt(rate * (1 - rate) / (requests + 1));
	return rate + (deviations * deviation);
}

function getLogLikelihoodRatio(comparison: Comparison | undefined, alternative: AlternativeHypothesis): number {
	const maximumRate = 0.99;
	const expectedRate = comparison ? getExpectedRate(comparison, alternative) : 1;
	if (!comparison || comparison.observed.requests === 0 || expectedRate >= maximumRate) {
		return 0;
	}

	const {requests, bad} = comparison.observed;
	const alternativeRate = Math.min(maximumRate, expectedRate + alternative.excess);
	const good = requests - bad;
	return (bad * Math.log(alternativeRate / expectedRate)) + (good * Math.log((1 - alternativeRate) / (1 - expectedRate)));
}
