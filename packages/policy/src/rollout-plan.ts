/**
 * The plan of a rollout: which shares the new version takes and when. A first
 * small share finds what fails at once; then a share that loads one instance
 * as it will be loaded after the rollout is watched for most of the time; then
 * the share rises in steps within the cap.
 */
import {millisecondsPerSecond} from '@catkindale/common';

const firstShare = 0.01;
/** The largest share that is watched, also when the new version has few instances. */
const largestWatchedShare = 0.1;
const growthFactor = 2.5;
const wholeShare = 1;
const roundingTolerance = 1e-9;

/** Parts of the time from the start to the deadline. */
const watchStartsAt = 0.16;
const latestRiseStartsAt = 0.6;
const earliestRiseStartsAt = 0.2;
const completionAt = 0.85;
const marginPart = 0.05;
const shortestMarginMilliseconds = 1500;
const longestMarginMilliseconds = 30 * millisecondsPerSecond;
/** Between the planned completion and the latest one: two nodes of the ranking fail to write it, each for 0.7 s. */
const completionSlackMilliseconds = 1500;
/** Time for a step to come into force everywhere and to be judged. */
const shortestRisingStepMilliseconds = 2500;
const shortestDwellMilliseconds = 300;
const longestShortenedDwellMilliseconds = 10 * millisecondsPerSecond;
const shortenedDwellPart = 0.5;

/** Wall times in milliseconds. */
export type RolloutTimes = {readonly startedAt: number; readonly deadlineAt: number};

/**
 * The shares of all steps, the last one being the whole.
 * @param cap the most by which the share may rise in one step
 * @param instances how many instances run the new version
 */
export function getPlannedShares(cap: number, instances: number): number[] {
	const watched = Math.min(cap, largestWatchedShare, wholeShare / Math.max(1, instances));
	const shares = watched > firstShare ? [firstShare, Math.min(watched, firstShare + cap)] : [watched, watched];
	let share = watched;
	while (share < wholeShare - roundingTolerance) {
		share = Math.min(share * growthFactor, share + cap, wholeShare);
		shares.push(share > wholeShare - roundingTolerance ? wholeShare : share);
	}

	return shares;
}

/** How many instances take a share, so that each bears what it will bear after the rollout. */
export function getInstanceCount(share: number, instances: number): number {
	return Math.min(instances, Math.max(1, Math.ceil((share * instances) - roundingTolerance)));
}

/** The wall time up to which completion may still be sent to the table. */
export function getCommitDeadline({startedAt, deadlineAt}: RolloutTimes): number {
	const margin = (deadlineAt - startedAt) * marginPart;
	return deadlineAt - Math.min(Math.max(margin, shortestMarginMilliseconds), longestMarginMilliseconds);
}

/** The wall time at which a step ends by the plan. */
export function getPlannedStepEnd(times: RolloutTimes, step: number, steps: number): number {
	if (step === 0) {
		const duration = times.deadlineAt - times.startedAt;
		return times.startedAt + (duration * watchStartsAt);
	}

	const risingMilliseconds = getRisingStep(times, steps) * (getRisingSteps(steps) - step + 1);
	return getPlannedCompletion(times) - risingMilliseconds;
}

/** The wall time at which the last step ends by the plan; short rollouts leave time for late writes as well. */
function getPlannedCompletion(times: RolloutTimes): number {
	const duration = times.deadlineAt - times.startedAt;
	const latest = getCommitDeadline(times) - completionSlackMilliseconds;
	const earliest = times.startedAt + (duration * earliestRiseStartsAt);
	return Math.max(earliest, Math.min(latest, times.startedAt + (duration * completionAt)));
}

/** The shortest time in milliseconds for which a step is watched when the plan is late. */
export function getMinimumDwell(times: RolloutTimes, steps: number): number {
	const planned = getRisingStep(times, steps);
	return Math.min(Math.max(planned * shortenedDwellPart, shortestDwellMilliseconds), longestShortenedDwellMilliseconds);
}

function getRisingSteps(steps: number): number {
	return Math.max(1, steps - 2);
}

/** The planned time of one rising step in milliseconds. */
function getRisingStep(times: RolloutTimes, steps: number): number {
	const duration = times.deadlineAt - times.startedAt;
	const completesAfter = getPlannedCompletion(times) - times.startedAt;
	const risingSteps = getRisingSteps(steps);
	const shortest = Math.max(0, completesAfter - (duration * latestRiseStartsAt));
	const longest = completesAfter - (duration * earliestRiseStartsAt);
	return Math.min(longest, Math.max(shortest, risingSteps * shortestRisingStepMilliseconds)) / risingSteps;
}
