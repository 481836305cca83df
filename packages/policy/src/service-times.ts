/**
 * How long targets of a service run a request of one route, learnt from
 * answers. Waiting makes answers longer, never shorter, so that the estimate
 * follows short answers quickly and long ones slowly.
 */

export type ServiceTimes = {
	/** For an object that the target doesn't have in its cache. */
	readonly uncachedMilliseconds: number;
	/** For an object that the target handled recently. */
	readonly cachedMilliseconds: number;
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

export function createServiceTimes(targetLatencyMilliseconds = defaultTargetLatencyMilliseconds): ServiceTimes {
	const coldMilliseconds = targetLatencyMilliseconds * coldPerTargetLatency;
	return {uncachedMilliseconds: coldMilliseconds, cachedMilliseconds: coldMilliseconds * warmShare};
}

export type ServiceTimeKind = 'cached' | 'uncached' | 'slow';

/** Whether a run that took so long looks like one from the cache, one without it, or one of a slow target. */
export function classifyServiceTime({cachedMilliseconds: warmMilliseconds, uncachedMilliseconds: coldMilliseconds}: ServiceTimes, milliseconds: number): ServiceTimeKind {
	if (milliseconds < Math.sqrt(warmMilliseconds * coldMilliseconds)) {
		return 'cached';
	}

	return milliseconds < coldMilliseconds * coldSpread ? 'uncached' : 'slow';
}

/** Learns from an answer that took so long at the target, the way to it left out. */
export function updateServiceTimes(runTime: ServiceTimes, isWarm: boolean, milliseconds: number): ServiceTimes {
	return isWarm
		? {...runTime, cachedMilliseconds: follow(runTime.cachedMilliseconds, milliseconds)}
		: {...runTime, uncachedMilliseconds: follow(runTime.uncachedMilliseconds, milliseconds)};
}

function follow(estimate: number, observed: number): number {
	return estimate + ((observed < estimate ? fallWeight : riseWeight) * (observed - estimate));
}
