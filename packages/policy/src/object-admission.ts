/**
 * Limits the objects that are sent to a target to those that it can serve. A
 * target caches some dozens of objects. With more of them, most requests miss
 * its cache, and it serves far fewer requests. Two shares of the objects are
 * estimated from the target's responses:
 *
 * - the cacheable share: objects outside it are sent to other targets that have
 *   room. It shrinks when objects that should be cached are not, and when all
 *   slots are in use.
 * - the admitted share: objects outside it get no slot at all. It shrinks while
 *   requests wait at the target.
 *
 * All nodes order the objects in the same way, so that they send nearly the same
 * objects. The admitted share slowly rotates over all objects, so that each of
 * them is admitted for some of the time.
 *
 * The admitted share follows additive increase and multiplicative decrease (Chiu
 * and Jain, "Analysis of the increase and decrease algorithms for congestion
 * avoidance", Computer Networks and ISDN Systems 17, 1989).
 */
export type ObjectAdmission = {
	/** Share of the objects that may be sent to the target, from 0 to 1. */
	readonly admittedShare: number;
	readonly admittedChangedAt: number;
	/** Share of the objects that the target can cache and has slots for, from 0 to 1. */
	readonly cacheableShare: number;
};

export type ReportedQueue = {readonly waiting: number; readonly slots: number};

const queueDecreaseFactor = 0.92;
const queueIncreaseStep = 0.02;
const minimumAdmittedShare = 0.1;
/** Responses within a shorter interval report the same queue. */
const minimumUpdateIntervalMilliseconds = 100;
/** Queue length, relative to the number of slots, from which on the admitted share shrinks. */
const longQueueFraction = 0.5;
/** With these two factors, the share converges to where about one in eight objects expected in the cache is missing. */
const missDecreaseFactor = 0.97;
const hitIncreaseFactor = 1.004;
/** With these two factors, the share converges to where a target is full about a third as often as it has two free slots. */
const fullDecreaseFactor = 0.985;
const freeIncreaseFactor = 1.007;
const freeSlotsForIncrease = 2;
const minimumCacheableShare = 0.05;
/** Time in which the admitted share rotates over all objects. */
const rotationMilliseconds = 90_000;

export const fullAdmission: ObjectAdmission = {admittedShare: 1, admittedChangedAt: Number.NEGATIVE_INFINITY, cacheableShare: 1};

/** Updates the admitted share from the queue that the target reported; `waiting` is infinite if it refused a request. */
export function updateAdmittedShare(admission: ObjectAdmission, queue: ReportedQueue, now: number): ObjectAdmission {
	if (now - admission.admittedChangedAt < minimumUpdateIntervalMilliseconds) {
		return admission;
	}

	if (queue.waiting >= queue.slots * longQueueFraction) {
		return {...admission, admittedShare: Math.max(minimumAdmittedShare, admission.admittedShare * queueDecreaseFactor), admittedChangedAt: now};
	}

	return queue.waiting === 0 && admission.admittedShare < 1
		? {...admission, admittedShare: Math.min(1, admission.admittedShare + queueIncreaseStep), admittedChangedAt: now}
		: admission;
}

/** Updates the cacheable share after a request whose object was expected in the target's cache. */
export function updateCacheableShareByHit(admission: ObjectAdmission, isHit: boolean): ObjectAdmission {
	return scaleCacheableShare(admission, isHit ? hitIncreaseFactor : missDecreaseFactor);
}

/** Updates the cacheable share from the load that the target reported. */
export function updateCacheableShareByLoad(admission: ObjectAdmission, {running, waiting, slots}: ReportedQueue & {readonly running: number}): ObjectAdmission {
	const occupied = running + waiting;
	if (occupied > slots - freeSlotsForIncrease && occupied < slots) {
		return admission;
	}

	return scaleCacheableShare(admission, occupied < slots ? freeIncreaseFactor : fullDecreaseFactor);
}

/** Averages in the share of another node, so that nodes that send the same objects converge. */
export function mergeCacheableShare(admission: ObjectAdmission, reportedShare: number): ObjectAdmission {
	return {...admission, cacheableShare: (admission.cacheableShare + reportedShare) / 2};
}

function scaleCacheableShare(admission: ObjectAdmission, factor: number): ObjectAdmission {
	const cacheableShare = Math.min(1, Math.max(minimumCacheableShare, admission.cacheableShare * factor));
	return cacheableShare === admission.cacheableShare ? admission : {...admission, cacheableShare};
}

/** Returns the position rotated by wall time, which is nearly the same on all nodes. The object is admitted if the result is below the admitted share. */
export function getRotatedPosition(position: number, wallMilliseconds: number): number {
	return (position + (wallMilliseconds / rotationMilliseconds)) % 1;
}
