/**
 * Records which targets handled an object recently. Such a target has the object
 * in its cache and responds in a fraction of the usual time.
 */
import {millisecondsPerSecond} from '@catkindale/common';

export type WarmObjects = {
	/** Records that the target handled the object. Returns whether the previous record is missing or older than half the time for which an object stays warm, so that other nodes may lack it. */
	record: (objectKey: string, targetId: string, now: number) => boolean;
	isWarm: (objectKey: string, targetId: string, now: number) => boolean;
	removeTarget: (targetId: string) => void;
	getSize: () => number;
};

/** A target caches some dozens of objects, which a busy service replaces within about this time. */
const warmMilliseconds = 20_000;
/** Bounds the memory in use; the least recently handled objects are removed first. */
const maximumObjects = 20_000;

/** Shorter than the usual time until an object is requested again. */
const minimumExchangeMilliseconds = 200;
/** Messages of this kind that a node receives from all others. */
const maximumExchangesPerSecond = 40;

/** Returns the time between two messages in which a node tells that many others which targets handled objects for it. */
export function getObjectExchangeInterval(peers: number): number {
	return Math.max(minimumExchangeMilliseconds, peers * millisecondsPerSecond / maximumExchangesPerSecond);
}

export function createWarmObjects(): WarmObjects {
	const objects = new Map<string, Map<string, number>>();
	return {
		record(objectKey, targetId, now) {
			const targets = objects.get(objectKey) ?? new Map<string, number>();
			// Moves the object to the end: the map is ordered by last use.
			objects.delete(objectKey);
			objects.set(objectKey, targets);
			const handledAt = targets.get(targetId);
			targets.set(targetId, now);
			for (const oldest of objects.keys()) {
				if (objects.size <= maximumObjects) {
					break;
				}

				objects.delete(oldest);
			}

			return handledAt === undefined || now - handledAt > warmMilliseconds / 2;
		},
		isWarm(objectKey, targetId, now) {
			const handledAt = objects.get(objectKey)?.get(targetId);
			return handledAt !== undefined && now - handledAt <= warmMilliseconds;
		},
		removeTarget(targetId) {
			for (const targets of objects.values()) {
				targets.delete(targetId);
			}
		},
		getSize: () => objects.size,
	};
}
