/**
 * Records which targets handled an object recently. Such a target has the object
 * in its cache and responds in a fraction of the usual time.
 */

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
