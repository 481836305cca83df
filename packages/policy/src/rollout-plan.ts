/**
 * Plan of a rollout: the shares of the new version and when they apply. A small
 * first share detects immediate failures. The next share loads one instance as
 * it will be loaded after the rollout, and is observed for most of the time.
 * Then the share rises in steps within the cap.
 */
import {millisecondsPerSecond} from '@catkindale/common';

const firstShare = 0.01;
/** Maximum of the share that is observed for most of the time, even if the new version has few instances. */
const maximumObservedShare = 0.1;
const growthFactor = 2.5;
const fullShare = 1;
const roundingTolerance = 1e-9;

/** Fractions of the time from the start to the deadline. */
const observationStartFraction = 0.16;
const latestRiseStartFraction = 0.6;
const earliestRiseStartFraction = 0.2;
const completionFraction = 0.85;
const marginFraction = 0.05;
const minimumMarginMilliseconds = 1500;
const maximumMarginMilliseconds = 30 * millisecondsPerSecond;
/** Time between the planned completion and the commit deadline: two nodes of the ranking may fail to write, each for 0.7 s. */
const completionSlackMilliseconds = 1500;
/** Time for a step to be applied on every node and evaluated. */
const minimumRisingStepMilliseconds = 2500;
const minimumDwellMilliseconds = 300;
const maximumShortenedDwellMilliseconds = 10 * millisecondsPerSecond;
const shortenedDwellFraction = 0.5;

/** In wall milliseconds. */
export type RolloutTimes = {readonly startedAt: number; readonly deadlineAt: number};

/**
 * Returns the shares of all steps; the last one is 1.
 * @param cap maximum by which the share may rise in one step
 * @param instances number of instances that run the new version
 */
export function getPlannedShares(cap: number, instances: number): number[] {
	const observed = Math.min(cap, maximumObservedShare, fullShare / Math.max(1, instances));
	const shares = observed > firstShare ? [firstShare, Math.min(observed, firstShare + cap)] : [observed, observed];
	let share = observed;
	while (share < fullShare - roundingTolerance) {
		share = Math.min(share * growthFactor, share + cap, fullShare);
		shares.push(share > fullShare - roundingTolerance ? fullShare : share);
	}

	return shares;
}

/** Returns the number of instances that receive a share, so that each has the load that it will have after the rollout. */
export function getInstanceCount(share: number, instances: number): number {
	return Math.min(instances, Math.max(1, Math.ceil((share * instances) - roundingTolerance)));
}

/** Returns the wall time until which the completion may still be written to the table. */
export function getCommitDeadline({startedAt, deadlineAt}: RolloutTimes): number {
	const margin = (deadlineAt - startedAt) * marginFraction;
	return deadlineAt - Math.min(Math.max(margin, minimumMarginMilliseconds), maximumMarginMilliseconds);
}

/** Returns the wall time at which a step is planned to end. */
export function getPlannedStepEnd(times: RolloutTimes, step: number, steps: number): number {
	if (step === 0) {
		const duration = times.deadlineAt - times.startedAt;
		return times.startedAt + (duration * observationStartFraction);
	}

	const risingMilliseconds = getRisingStepMilliseconds(times, steps) * (countRisingSteps(steps) - step + 1);
	return getPlannedCompletion(times) - risingMilliseconds;
}

/** Returns the wall time at which the last step is planned to end. Short rollouts reserve time for delayed writes as well. */
function getPlannedCompletion(times: RolloutTimes): number {
	const duration = times.deadlineAt - times.startedAt;
	const latest = getCommitDeadline(times) - completionSlackMilliseconds;
	const earliest = times.startedAt + (duration * earliestRiseStartFraction);
	return Math.max(earliest, Math.min(latest, times.startedAt + (duration * completionFraction)));
}

/** Returns the minimum time in milliseconds for which a step is observed when the rollout is behind the plan. */
export function getMinimumDwell(times: RolloutTimes, steps: number): number {
	const planned = getRisingStepMilliseconds(times, steps);
	return Math.min(Math.max(planned * shortenedDwellFraction, minimumDwellMilliseconds), maximumShortenedDwellMilliseconds);
}

function countRisingSteps(steps: number): number {
	return Math.max(1, steps - 2);
}

/** Returns the planned duration of one rising step. */
function getRisingStepMilliseconds(times: RolloutTimes, steps: number): number {
	const duration = times.deadlineAt - times.startedAt;
	const completionMilliseconds = getPlannedCompletion(times) - times.startedAt;
	const risingSteps = countRisingSteps(steps);
	const minimum = Math.max(0, completionMilliseconds - (duration * latestRiseStartFraction));
	const maximum = completionMilliseconds - (duration * earliestRiseStartFraction);
	return Math.min(maximum, Math.max(minimum, risingSteps * minimumRisingStepMilliseconds)) / risingSteps;
}
