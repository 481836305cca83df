/**
 * Staggers the calls in which nodes wait for changes of the same source, so
 * that one of these calls ends at every check interval. The node whose call
 * isn't answered then finds out for the fleet that the source was silent,
 * while the calls of all nodes together cost no more than long waits do.
 */

export type FeedWaitInput = {
	readonly ownId: string;
	/** The nodes that tell each other when the source was silent. */
	readonly nodeIds: readonly string[];
	/** Time between the ends of two calls of the fleet. */
	readonly checkIntervalMilliseconds: number;
	/** Longest wait of one call, which the source's history must cover. */
	readonly maximumMilliseconds: number;
	/** Whether the calls of all nodes may begin together, as after a change that all of them have received. */
	readonly isAligned: boolean;
};

const initialRetryMilliseconds = 250;
const maximumRetryMilliseconds = 1000;
/** A call that was sent just before the source is back times out first; its repetition, and the next call, must still fit in the time to recover. */
const maximumRetryFractionOfRecovery = 1 / 3;

const initialBatchMilliseconds = 150;
const maximumBatchMilliseconds = 600;
const batchGrowthFactor = 1.5;

/**
 * Returns the pause after a change, so that changes in quick succession are read
 * together. It grows with the number of changes in a row, as when many targets
 * start, and stays well below the time in which a single change must take effect.
 */
export function getBatchPause(changesInRow: number): number {
	return Math.round(Math.min(maximumBatchMilliseconds, initialBatchMilliseconds * (batchGrowthFactor ** Math.max(0, changesInRow - 1))));
}

/** Returns the delay after the given number of failures in a row, in milliseconds. It doubles, so that nodes don't overload a source that is down. */
export function getFeedRetryDelay(failures: number, recoveryMilliseconds: number): number {
	const maximum = Math.min(maximumRetryMilliseconds, recoveryMilliseconds * maximumRetryFractionOfRecovery);
	return Math.round(Math.min(maximum, initialRetryMilliseconds * (2 ** (failures - 1))));
}

/** Returns how long the node's next call waits for a change, in whole milliseconds. */
export function getFeedWait({ownId, nodeIds, checkIntervalMilliseconds, maximumMilliseconds, isAligned}: FeedWaitInput): number {
	const ids = [...new Set([...nodeIds, ownId])].toSorted();
	const wait = Math.min(maximumMilliseconds, ids.length * checkIntervalMilliseconds);
	return Math.round(isAligned ? wait * (ids.indexOf(ownId) + 1) / ids.length : wait);
}
