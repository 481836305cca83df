/**
 * Keeps a full target to a part of the objects that belong to it. A target
 * caches some dozens of objects; asked for more, it runs most requests without
 * its cache and serves far fewer. The admitted part shrinks while requests
 * wait at the target and grows while none does. All nodes order the objects
 * alike, so that they admit much the same ones without messages; the order
 * turns slowly, so that each object has its time.
 *
 * The part follows additive increase and multiplicative decrease (Chiu and
 * Jain, "Analysis of the increase and decrease algorithms for congestion
 * avoidance", Computer Networks and ISDN Systems 17, 1989).
 */
import {hashText} from '@catkindale/common';

export type ObjectAdmission = {
	/** The part of the objects that may go to the target, from 0 to 1. */
	readonly share: number;
	readonly changedAt: number;
};

const decreaseFactor = 0.92;
const increaseStep = 0.02;
const leastShare = 0.1;
/** Answers that come closer together tell of the same queue. */
const pauseMilliseconds = 100;
/** In this time the admitted part passes over all objects. */
const turnMilliseconds = 90_000;
/** The queue in parts of the slots from which on the part shrinks. */
const longQueuePart = 0.75;
const positionDigits = 8;

export const fullAdmission: ObjectAdmission = {share: 1, changedAt: Number.NEGATIVE_INFINITY};

/** Learns from a queue that the target told; `waiting` is infinite when it refused a request. */
export function updateObjectAdmission(admission: ObjectAdmission, queue: {readonly waiting: number; readonly slots: number}, now: number): ObjectAdmission {
	if (now - admission.changedAt < pauseMilliseconds) {
		return admission;
	}

	if (queue.waiting >= queue.slots * longQueuePart) {
		return {share: Math.max(leastShare, admission.share * decreaseFactor), changedAt: now};
	}

	return queue.waiting <= 1 && admission.share < 1 ? {share: Math.min(1, admission.share + increaseStep), changedAt: now} : admission;
}

/** The object's place in the target's order, from 0 to 1. */
export function getObjectPosition(objectKey: string, targetId: string): number {
	return Number.parseInt(hashText(`${targetId}\n${objectKey}`).slice(0, positionDigits), 16) / (16 ** positionDigits);
}

/** Whether the target takes the object now; `wallMilliseconds` is the same for all nodes but for small differences. */
export function isObjectAdmitted(admission: ObjectAdmission, position: number, wallMilliseconds: number): boolean {
	const turned = (position + (wallMilliseconds / turnMilliseconds)) % 1;
	return admission.share >= 1 || turned < admission.share;
}
