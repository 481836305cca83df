/**
 * Moves a service to a new version within seconds: first a small share of each
 * route's requests, then rising shares, then all of them, and `complete` a
 * margin before the deadline. The new version is evaluated on the counts of all
 * nodes. If it fails or is slow on any route, the move is undone at once.
 */

/** Requests that ended at the targets of a version since the start of the trial. */
export type VersionCounts = {
	readonly requests: number;
	/** Failed and lost responses. */
	readonly failures: number;
	/** Good responses that took longer than an uncached request does. */
	readonly slow: number;
};

/** Counts of one route for the new version and for the versions before it. */
export type TrialEvidence = {readonly route: string; readonly trial: VersionCounts; readonly settled: VersionCounts};

export type TrialEvaluation
	= | {readonly kind: 'sound'}
		| {readonly kind: 'bad'; readonly route: string; readonly reason: 'failures' | 'slow'};

export const emptyVersionCounts: VersionCounts = {requests: 0, failures: 0, slow: 0};

/** Share while the version is on trial: half of what a bad version may receive. */
export const trialShare = 0.05;
/** The trial takes this fraction of the time to the deadline. */
const trialEndFraction = 0.5;
/** Shares after the trial, each from the given fraction of the time on. */
const rampSteps: ReadonlyArray<{readonly from: number; readonly share: number}> = [
	{from: trialEndFraction, share: 0.2},
	{from: 0.58, share: 0.45},
	{from: 0.66, share: 0.75},
	{from: 0.73, share: 1},
];
/** From this fraction on, the move is reported as complete; requests at the old version have had time to end. */
const completeFraction = 0.82;
/** A move that isn't complete at this fraction of the time is undone. */
const abandonFraction = 0.97;
/** Fewer failures may be due to chance. */
const minimumFailures = 3;
/** A version is bad if its fraction of failures exceeds that of the settled version by more than this. */
const toleratedFailureFraction = 0.08;
const minimumSlow = 5;
const toleratedSlowFraction = 0.35;
/** Minimum number of requests at the new version before the share rises. */
const minimumRequests = 10;

export type TrialStage
	/** `share` is the share of requests sent to the new version. */
	= | {readonly kind: 'move'; readonly share: number}
		| {readonly kind: 'complete'}
		| {readonly kind: 'abandon'};

/** Returns the stage at a fraction of the time from the order to its deadline. */
export function getTrialStage(elapsedFraction: number, trialRequests: number): TrialStage {
	if (elapsedFraction >= abandonFraction) {
		return {kind: 'abandon'};
	}

	// The new version has had too few requests to receive a larger share.
	if (elapsedFraction < trialEndFraction || trialRequests < minimumRequests) {
		return {kind: 'move', share: trialShare};
	}

	if (elapsedFraction >= completeFraction) {
		return {kind: 'complete'};
	}

	return {kind: 'move', share: rampSteps.findLast(({from}) => elapsedFraction >= from)?.share ?? trialShare};
}

export function evaluateTrial(evidence: readonly TrialEvidence[]): TrialEvaluation {
	for (const {route, trial, settled} of evidence) {
		const settledFailureFraction = settled.requests === 0 ? 0 : settled.failures / settled.requests;
		if (trial.failures >= minimumFailures && trial.failures / trial.requests > settledFailureFraction + toleratedFailureFraction) {
			return {kind: 'bad', route, reason: 'failures'};
		}

		const settledSlowFraction = settled.requests === 0 ? 0 : settled.slow / settled.requests;
		if (trial.slow >= minimumSlow && trial.slow / trial.requests > settledSlowFraction + toleratedSlowFraction) {
			return {kind: 'bad', route, reason: 'slow'};
		}
	}

	return {kind: 'sound'};
}

export function addVersionCounts(left: VersionCounts, right: VersionCounts): VersionCounts {
	return {requests: left.requests + right.requests, failures: left.failures + right.failures, slow: left.slow + right.slow};
}
