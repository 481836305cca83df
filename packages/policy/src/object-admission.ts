/**
 * Keeps each target to the objects that it can serve. A target caches some
 * dozens of objects; asked for more, it runs most requests without its cache
 * and serves far fewer. Two parts of the objects follow from what the target's
 * answers show:
 *
 * - the kept part, to which objects should belong to be sent there while other
 *   targets have room; it shrinks when expected objects turn out not to be
 *   cached, and when all slots are in use;
 * - the admitted part, outside which objects get no slot at all; it shrinks
 *   while requests wait at the target.
 *
 * All nodes order the objects alike, so that they keep to much the same ones.
 * The admitted part turns slowly over all objects, so that each has its time.
 *
 * The admitted part follows additive increase and multiplicative decrease (Chiu and Jain,
 * "Analysis of the increase and decrease algorithms for congestion avoidance",
 * Computer Networks and ISDN Systems 17, 1989).
 */
import {hashText} from '@catkindale/common';

export type ObjectAdmission = {
	/** The part of the objects that may go to the target, from 0 to 1. */
	readonly admittedShare: number;
	readonly admittedChangedAt: number;
	/** The part of the objects that the target can cache and has slots for, from 0 to 1. */
	readonly cacheableShare: number;
};

export type ReportedQueue = {readonly waiting: number; readonly slots: number};

const queueDecreaseFactor = 0.92;
const queueIncreaseStep = 0.02;
const leastAdmittedShare = 0.1;
/** Answers that come closer together tell of the same queue. */
const pauseMilliseconds = 100;
/** The queue in parts of the slots from which on the part shrinks. */
const longQueuePart = 0.5;
/** These two settle where about one in eight expected objects isn't cached. */
const missDecreaseFactor = 0.97;
const hitIncreaseFactor = 1.004;
/** These two settle where a target is full about a third as often as it has two slots free. */
const fullDecreaseFactor = 0.985;
const roomIncreaseFactor = 1.007;
const roomSlots = 2;
const leastKeptShare = 0.05;
/** In this time the admitted part passes over all objects. */
const turnMilliseconds = 90_000;
const positionDigits = 8;

export const fullAdmission: ObjectAdmission = {admittedShare: 1, admittedChangedAt: Number.NEGATIVE_INFINITY, cacheableShare: 1};

/** Learns from a queue that the target told; `waiting` is infinite when it refused a request. */
export function updateAdmittedShare(admission: ObjectAdmission, queue: ReportedQueue, now: number): ObjectAdmission {
	if (now - admission.admittedChangedAt < pauseMilliseconds) {
		return admission;
	}

	if (queue.waiting >= queue.slots * longQueuePart) {
		return {...admission, admittedShare: Math.max(leastAdmittedShare, admission.admittedShare * queueDecreaseFactor), admittedChangedAt: now};
	}

	return queue.waiting === 0 && admission.admittedShare < 1
		? {...admission, admittedShare: Math.min(1, admission.admittedShare + queueIncreaseStep), admittedChangedAt: now}
		: admission;
}

/** Learns whether an object that was expected in the target's cache was there. */
export function updateCacheableShareByHit(admission: ObjectAdmission, isHit: boolean): ObjectAdmission {
	return changeKeptShare(admission, isHit ? hitIncreaseFactor : missDecreaseFactor);
}

/** Learns from the slots in use that the target told. */
export function updateCacheableShareByLoad(admission: ObjectAdmission, {running, waiting, slots}: ReportedQueue & {readonly running: number}): ObjectAdmission {
	const used = running + waiting;
	if (used > slots - roomSlots && used < slots) {
		return admission;
	}

	return changeKeptShare(admission, used < slots ? roomIncreaseFactor : fullDecreaseFactor);
}

/** Nodes that send the same objects agree on the part bit by bit. */
export function mergeCacheableShare(admission: ObjectAdmission, toldShare: number): ObjectAdmission {
	return {...admission, cacheableShare: (admission.cacheableShare + toldShare) / 2};
}

function changeKeptShare(admission: ObjectAdmission, factor: number): ObjectAdmission {
	const keptShare = Math.min(1, Math.max(leastKeptShare, admission.cacheableShare * factor));
	return keptShare === admission.cacheableShare ? admission : {...admission, cacheableShare: keptShare};
}

/** The object's place in the target's order, from 0 to 1. */
export function getObjectPosition(objectKey: string, targetId: string): number {
	return Number.parseInt(hashText(`${targetId}\n${objectKey}`).slice(0, positionDigits), 16) / (16 ** positionDigits);
}

/** The part of the objects up to which this one belongs now; `wallMilliseconds` is the same for all nodes but for small differences. */
export function getRotatedPosition(position: number, wallMilliseconds: number): number {
	return (position + (wallMilliseconds / turnMilliseconds)) % 1;
}
