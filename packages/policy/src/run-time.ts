/**
 * How long targets of a service run a request of one route, learnt from
 * answers. Waiting makes answers longer, never shorter, so that the estimate
 * follows short answers quickly and long ones slowly.
 */

export type RunTime = {
	/** For an object that the target doesn't have in its cache. */
	readonly coldMilliseconds: number;
	/** For an object that the target handled recently. */
	readonly warmMilliseconds: number;
};

/** The share of the usual time that a cached object takes, until answers show it. */
const warmShare = 0.32;
/** A route's target latency leaves cached objects room to spare; uncached ones miss it. */
const coldPerTargetLatency = 1.6;
const defaultTargetLatencyMilliseconds = 300;
/** Runs without the cache differ by about a sixth; more than this is slow. */
const coldSpread = 1.5;
const fallWeight = 0.2;
const riseWeight = 0.03;

export function createRunTime(targetLatencyMilliseconds = defaultTargetLatencyMilliseconds): RunTime {
	const coldMilliseconds = targetLatencyMilliseconds * coldPerTargetLatency;
	return {coldMilliseconds, warmMilliseconds: coldMilliseconds * warmShare};
}

export type RunKind = 'cached' | 'uncached' | 'slow';

/** Whether a run that took so long looks like one from the cache, one without it, or one of a slow target. */
export function classifyRun({warmMilliseconds, coldMilliseconds}: RunTime, milliseconds: number): RunKind {
	if (milliseconds < Math.sqrt(warmMilliseconds * coldMilliseconds)) {
		return 'cached';
	}

	return milliseconds < coldMilliseconds * coldSpread ? 'uncached' : 'slow';
}

/** Learns from an answer that took so long at the target, the way to it left out. */
export function updateRunTime(runTime: RunTime, isWarm: boolean, milliseconds: number): RunTime {
	return isWarm
		? {...runTime, warmMilliseconds: follow(runTime.warmMilliseconds, milliseconds)}
		: {...runTime, coldMilliseconds: follow(runTime.coldMilliseconds, milliseconds)};
}

function follow(estimate: number, observed: number): number {
	return estimate + ((observed < estimate ? fallWeight : riseWeight) * (observed - estimate));
}
