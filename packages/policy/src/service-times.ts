/**
 * Estimates how long the targets of a service work on a request of one route.
 * Queueing makes observed times longer, never shorter, so the estimate follows
 * short times quickly and long ones slowly.
 */

export type ServiceTimes = {
	/** Service time if the object isn't in the target's cache. */
	readonly uncachedMilliseconds: number;
	/** Service time if the object is in the target's cache. */
	readonly cachedMilliseconds: number;
};

/** Initial estimate of the service time with the object cached, relative to the one without. */
const initialCachedFraction = 0.32;
/** Initial estimate relative to the route's target latency, which cached requests easily meet and uncached ones miss. */
const uncachedPerTargetLatency = 1.6;
const defaultTargetLatencyMilliseconds = 300;
/** Uncached service times vary by about a sixth; times beyond this multiple count as slow. */
const uncachedSpread = 1.5;
/** Fraction of a service's requests that are assumed to be served from the cache. */
const typicalCachedFraction = 0.7;
const typicalWeight = 0.05;
const decreaseWeight = 0.2;
const increaseWeight = 0.03;

export function createServiceTimes(targetLatencyMilliseconds = defaultTargetLatencyMilliseconds): ServiceTimes {
	const uncachedMilliseconds = targetLatencyMilliseconds * uncachedPerTargetLatency;
	return {uncachedMilliseconds, cachedMilliseconds: uncachedMilliseconds * initialCachedFraction};
}

export type ServiceTimeKind = 'cached' | 'uncached' | 'slow';

/** Classifies a service time as that of a cached request, of an uncached one, or of a slow target. */
export function classifyServiceTime({cachedMilliseconds, uncachedMilliseconds}: ServiceTimes, milliseconds: number): ServiceTimeKind {
	if (milliseconds < Math.sqrt(cachedMilliseconds * uncachedMilliseconds)) {
		return 'cached';
	}

	return milliseconds < uncachedMilliseconds * uncachedSpread ? 'uncached' : 'slow';
}

/** Updates the estimates with an observed service time, without the network round trip. */
export function updateServiceTimes(serviceTimes: ServiceTimes, isCached: boolean, milliseconds: number): ServiceTimes {
	return isCached
		? {...serviceTimes, cachedMilliseconds: updateEstimate(serviceTimes.cachedMilliseconds, milliseconds)}
		: {...serviceTimes, uncachedMilliseconds: updateEstimate(serviceTimes.uncachedMilliseconds, milliseconds)};
}

/** Returns the mean service time of requests of which most are served from the cache. */
export function getTypicalServiceTime({cachedMilliseconds, uncachedMilliseconds}: ServiceTimes): number {
	return (typicalCachedFraction * cachedMilliseconds) + ((1 - typicalCachedFraction) * uncachedMilliseconds);
}

/**
 * Updates the mean service time over all routes of a service after a request of
 * one of them.
 * @param typicalMilliseconds undefined before the first request
 */
export function updateTypicalServiceTime(typicalMilliseconds: number | undefined, serviceTimes: ServiceTimes): number {
	const routeMilliseconds = getTypicalServiceTime(serviceTimes);
	return typicalMilliseconds === undefined ? routeMilliseconds : typicalMilliseconds + (typicalWeight * (routeMilliseconds - typicalMilliseconds));
}

function updateEstimate(estimate: number, observed: number): number {
	return estimate + ((observed < estimate ? decreaseWeight : increaseWeight) * (observed - estimate));
}
