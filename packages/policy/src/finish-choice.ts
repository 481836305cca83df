/**
 * Chooses the target at which a request is expected to finish first. The
 * expected time is the sum of the round trip, the wait for a slot and the
 * service time, which is much shorter where the request's object is cached.
 *
 * Every node of a region ranks the targets for an object in the same order, so
 * that each object stays on few targets without messages between nodes. The
 * cost of an uncached request rises with the utilization of the service, since
 * it occupies slots that other requests wait for.
 */
import type {Place} from './place.js';
import type {ServiceTimes} from './service-times.js';

export type FinishCandidate = {
	readonly id: string;
	readonly place: Place;
	readonly slots: number;
	/** Requests that already run or wait at the target. */
	readonly expectedRunning: number;
	/** Service time of the target relative to the average of its service. */
	readonly slowness: number;
	/** Whether the object is among those that fit into the target's cache. */
	readonly fitsInCache: boolean;
	/** Rank for the object among the targets of the local region, or among those of all remote regions; undefined without an object, or if it is below those that make a difference. */
	readonly rank: number | undefined;
	/** Whether this node has recently observed the target handle the object. */
	readonly isKnownWarm: boolean;
	/** Whether the target has just started and is still slow. */
	readonly isCold: boolean;
	readonly roundTripMilliseconds: number;
};

export type FinishRequest = {
	readonly serviceTimes: ServiceTimes;
	/** Whether `serviceTimes` follows from recent responses. An assumption must not rule out a target: it would never be corrected. */
	readonly isMeasured: boolean;
	/** Mean service time of the requests that run and wait at the targets, which may be of other routes. */
	readonly typicalMilliseconds: number;
	/** Time left for the whole request. */
	readonly remainingMilliseconds: number;
	/** A response within this time has its full value; undefined if every response before the deadline has. */
	readonly targetLatencyMilliseconds: number | undefined;
	/** Additional cost of a target by its place, for the bytes sent there. */
	readonly penaltyMilliseconds: PlacePenalties;
};

export type FinishChoice
	= | {readonly kind: 'chosen'; readonly id: string; readonly expectedMilliseconds: number; readonly isWarm: boolean}
	/** No candidate could respond in time; the fastest one would take `expectedMilliseconds`. */
		| {readonly kind: 'too-late'; readonly expectedMilliseconds: number}
	/** The queue of the best target is too long; it is short enough after `waitMilliseconds`. */
		| {readonly kind: 'queue-full'; readonly waitMilliseconds: number}
		| {readonly kind: 'no-target'};

/**
 * Likelihood that an object is cached at its first- and second-ranked target,
 * from the view of a node that sent no request for it there. It is lower for
 * remote regions, to which fewer nodes send.
 */
const cachedLikelihoodByRank = {local: [0.75, 0.35], remote: [0.5, 0.2]} as const;
/** Ranks that make a difference. */
export const homesPerObject = cachedLikelihoodByRank.local.length;
/** An object that doesn't fit into a target's cache is soon evicted. */
const uncacheableLikelihoodFactor = 0.4;
/** Below this utilization a service has room for uncached requests. */
const relaxedUtilization = 0.45;
/** Weight of slot time relative to the caller's own time when all slots are in use. */
const maximumSlotPrice = 3;
const coldSlowness = 2;
/** Expected wait at a target whose slots all seem to be in use, relative to the typical service time. */
const uncertainWaitFactor = 0.6;

/**
 * Maximum queueing time, relative to the route's target latency. A longer queue
 * serves no more requests and makes all of them late, so requests beyond it are
 * refused, as in CoDel (RFC 8289). They aren't sent to a target with a shorter
 * queue: an uncached request there occupies the slots of several cached ones.
 */
const maximumQueueFactor = 0.9;

/**
 * Waiting time that is worth as much as a kilobyte sent to that place. It decides
 * between targets that would serve the request about equally well. A target that
 * has the object cached is worth many times as much, so an object isn't run a
 * second time for the sake of a zone.
 */
const millisecondsPerKilobyte: Readonly<Record<Place, number>> = {zone: 0, region: 5, remote: 10};
const bytesPerKilobyte = 1000;
/** Headers and response of a typical request. */
const typicalKilobytes = 2;

/** Milliseconds by place. */
export type PlacePenalties = Readonly<Record<Place, number>>;

/** Returns the additional cost of sending a request with a body of that size to a target of each place. */
export function getPlacePenalties(bodyBytes: number): PlacePenalties {
	const kilobytes = typicalKilobytes + (bodyBytes / bytesPerKilobyte);
	const {zone, region, remote} = millisecondsPerKilobyte;
	return {zone: zone * kilobytes, region: region * kilobytes, remote: remote * kilobytes};
}

/** Returns the utilization of the candidates' slots, from 0 to 1; 1 without slots. */
export function getUtilization(candidates: readonly FinishCandidate[]): number {
	let running = 0;
	let slots = 0;
	for (const candidate of candidates) {
		// Requests queued at one target occupy no slots of the others.
		running += Math.min(candidate.expectedRunning, candidate.slots);
		slots += candidate.slots;
	}

	return slots === 0 ? 1 : running / slots;
}

/** Returns the cost that a millisecond of slot time has for other requests, in milliseconds of the request's own time. */
export function getSlotPrice(utilization: number): number {
	const excess = (utilization - relaxedUtilization) / (1 - relaxedUtilization);
	return maximumSlotPrice * Math.min(1, Math.max(0, excess));
}

export function chooseByFinishTime(candidates: readonly FinishCandidate[], request: FinishRequest): FinishChoice {
	const slotPrice = getSlotPrice(getUtilization(candidates));
	let best: {readonly candidate: FinishCandidate; readonly cost: number; readonly finish: number} | undefined;
	let earliestFinish = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const serviceTime = getServiceTime(candidate, request.serviceTimes);
		const wait = getWait(candidate, request.typicalMilliseconds);
		const finish = candidate.roundTripMilliseconds + wait + serviceTime;
		// A candidate is ruled out only if it would be late even with the object cached.
		const shortestServiceTime = request.isMeasured ? request.serviceTimes.cachedMilliseconds * candidate.slowness : 0;
		const earliestPossibleFinish = candidate.roundTripMilliseconds + wait + shortestServiceTime;
		earliestFinish = Math.min(earliestFinish, earliestPossibleFinish);
		const cost = finish + (slotPrice * serviceTime) + request.penaltyMilliseconds[candidate.place];
		if (earliestPossibleFinish > request.remainingMilliseconds) {
			continue;
		}

		if (best === undefined || cost < best.cost) {
			best = {candidate, cost, finish};
		}
	}

	if (best) {
		const maximumQueueMilliseconds = maximumQueueFactor * (request.targetLatencyMilliseconds ?? Number.POSITIVE_INFINITY);
		const excess = getQueueMilliseconds(best.candidate, request.typicalMilliseconds) - maximumQueueMilliseconds;
		if (excess > 0) {
			return {kind: 'queue-full', waitMilliseconds: excess};
		}

		return {
			kind: 'chosen', id: best.candidate.id, expectedMilliseconds: best.finish, isWarm: best.candidate.isKnownWarm,
		};
	}

	return candidates.length === 0 ? {kind: 'no-target'} : {kind: 'too-late', expectedMilliseconds: earliestFinish};
}

function getServiceTime(candidate: FinishCandidate, {uncachedMilliseconds, cachedMilliseconds}: ServiceTimes): number {
	const byRank: readonly number[] = cachedLikelihoodByRank[candidate.place === 'remote' ? 'remote' : 'local'];
	const likelihoodIfCacheable = candidate.isKnownWarm ? 1 : (byRank[candidate.rank ?? byRank.length] ?? 0);
	const likelihood = candidate.fitsInCache ? likelihoodIfCacheable : likelihoodIfCacheable * uncacheableLikelihoodFactor;
	const expectedMilliseconds = (likelihood * cachedMilliseconds) + ((1 - likelihood) * uncachedMilliseconds);
	return expectedMilliseconds * candidate.slowness * (candidate.isCold ? coldSlowness : 1);
}

/**
 * Returns the expected time until a slot is free. The reported load is some
 * hundred milliseconds old, so a target that seems nearly full may be full, and
 * one that seems full may have a queue.
 */
function getWait(candidate: FinishCandidate, typicalMilliseconds: number): number {
	const utilization = Math.min(1, candidate.expectedRunning / candidate.slots);
	return (typicalMilliseconds * candidate.slowness * uncertainWaitFactor * (utilization ** 2)) + getQueueMilliseconds(candidate, typicalMilliseconds);
}

/** Returns the time until the requests ahead have freed a slot. */
function getQueueMilliseconds({expectedRunning, slots, slowness}: FinishCandidate, typicalMilliseconds: number): number {
	const requestsAhead = Math.max(0, expectedRunning + 1 - slots);
	return typicalMilliseconds * slowness * requestsAhead / slots;
}
