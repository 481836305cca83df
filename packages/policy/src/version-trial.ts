/**
 * Moves a service to a new version within seconds: a small share of each
 * route's requests for a while, then rising shares, then all of them, and
 * `complete` a margin before the deadline. The new version is judged on the
 * counts of all nodes; a version that fails or is slow on any route is taken
 * back at once.
 */

/** What ended at targets of a version, counted since the trial's start. */
export type VersionCounts = {
	readonly requests: number;
	/** Answers that tell a failure, and answers that were lost. */
	readonly failures: number;
	/** Good answers that took longer than a run without the cache does. */
	readonly slow: number;
};

/** The counts of one route at the new version and at those before it. */
export type TrialEvidence = {readonly route: string; readonly trial: VersionCounts; readonly settled: VersionCounts};

export type TrialEvaluation
	= | {readonly kind: 'sound'}
		| {readonly kind: 'bad'; readonly route: string; readonly reason: 'failures' | 'slow'};

export const emptyVersionCounts: VersionCounts = {requests: 0, failures: 0, slow: 0};

/** The share while the version is on trial: half of what a bad version may get. */
export const trialShare = 0.05;
/** The trial lasts for this part of the time to the deadline. */
const trialEndPart = 0.5;
/** Shares after the trial, from these parts of the time on. */
const rampSteps: ReadonlyArray<{readonly from: number; readonly share: number}> = [
	{from: trialEndPart, share: 0.2},
	{from: 0.58, share: 0.45},
	{from: 0.66, share: 0.75},
	{from: 0.73, share: 1},
];
/** From here on the move is reported complete; what runs at the old version has had time to end. */
const completePart = 0.82;
/** A move that isn't complete by now is taken back. */
const abandonPart = 0.97;
/** Fewer failures may be chance. */
const leastFailures = 3;
/** A version whose failures exceed those of the settled one by this part of its requests is bad. */
const tolerableFailurePart = 0.08;
const leastSlow = 5;
const tolerableSlowPart = 0.35;
/** Without this many answers at the new version nothing is known of it. */
const leastRequests = 10;

export type TrialStage
	/** The share of the requests that go to the new version. */
	= | {readonly kind: 'move'; readonly share: number}
		| {readonly kind: 'complete'}
		| {readonly kind: 'abandon'};

/** What is due after a part of the time from the order to its deadline. */
export function getTrialStage(elapsedPart: number, trialRequests: number): TrialStage {
	if (elapsedPart >= abandonPart) {
		return {kind: 'abandon'};
	}

	// Too little is known of the version to move more to it.
	if (elapsedPart < trialEndPart || trialRequests < leastRequests) {
		return {kind: 'move', share: trialShare};
	}

	if (elapsedPart >= completePart) {
		return {kind: 'complete'};
	}

	return {kind: 'move', share: rampSteps.findLast(({from}) => elapsedPart >= from)?.share ?? trialShare};
}

export function evaluateTrial(evidence: readonly TrialEvidence[]): TrialEvaluation {
	for (const {route, trial, settled} of evidence) {
		const usualFailures = settled.requests === 0 ? 0 : settled.failures / settled.requests;
		if (trial.failures >= leastFailures && trial.failures / trial.requests > usualFailures + tolerableFailurePart) {
			return {kind: 'bad', route, reason: 'failures'};
		}

		const usualSlow = settled.requests === 0 ? 0 : settled.slow / settled.requests;
		if (trial.slow >= leastSlow && trial.slow / trial.requests > usualSlow + tolerableSlowPart) {
			return {kind: 'bad', route, reason: 'slow'};
		}
	}

	return {kind: 'sound'};
}

export function addVersionCounts(left: VersionCounts, right: VersionCounts): VersionCounts {
	return {requests: left.requests + right.requests, failures: left.failures + right.failures, slow: left.slow + right.slow};
}
