/**
 * Decides whether a node that is about to stop still takes a request. One that
 * may be cut off at the end of the grace time is refused while that is a true
 * "not run"; the caller uses another node.
 */

export type StopRequest = {
	/** Time until the node closes its connections. */
	readonly remainingMilliseconds: number;
	/** Time limit of the request. */
	readonly timeoutMilliseconds: number;
	/** A response within this time has its full value; undefined if every response before the deadline has. */
	readonly targetLatencyMilliseconds: number | undefined;
};

/** A request that waits, misses the cache and meets a slow target takes about this many times the target latency. */
const longestLatencyFactor = 4;

export function mayFinishBeforeStop({remainingMilliseconds, timeoutMilliseconds, targetLatencyMilliseconds}: StopRequest): boolean {
	const longestMilliseconds = longestLatencyFactor * (targetLatencyMilliseconds ?? Number.POSITIVE_INFINITY);
	return Math.min(timeoutMilliseconds, longestMilliseconds) <= remainingMilliseconds;
}
