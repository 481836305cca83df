/**
 * Remembers which targets handled an object recently. Such a target has the
 * object in its cache and answers in a fraction of the usual time.
 */

export type WarmObjects = {
	/** Whether the target had not handled the object of late, so that other nodes may not know it. */
	record: (objectKey: string, targetId: string, now: number) => boolean;
	isWarm: (objectKey: string, targetId: string, now: number) => boolean;
	removeTarget: (targetId: string) => void;
	getSize: () => number;
};

/** Targets keep some dozens of objects, which busy services replace within about this time. */
const keptMilliseconds = 20_000;
/** Bounds the memory's size; the objects seen longest ago go first. */
const mostObjects = 20_000;

export function createWarmObjects(): WarmObjects {
	const objects = new Map<string, Map<string, number>>();
	return {
		record(objectKey, targetId, now) {
			const targets = objects.get(objectKey) ?? new Map<string, number>();
			// Entries are kept in the order of their use.
			objects.delete(objectKey);
			objects.set(objectKey, targets);
			const seenAt = targets.get(targetId);
			targets.set(targetId, now);
			for (const oldest of objects.keys()) {
				if (objects.size <= mostObjects) {
					break;
				}

				objects.delete(oldest);
			}

			return seenAt === undefined || now - seenAt > keptMilliseconds / 2;
		},
		isWarm(objectKey, targetId, now) {
			const seenAt = objects.get(objectKey)?.get(targetId);
			return seenAt !== undefined && now - seenAt <= keptMilliseconds;
		},
		removeTarget(targetId) {
			for (const targets of objects.values()) {
				targets.delete(targetId);
			}
		},
		getSize: () => objects.size,
	};
}
