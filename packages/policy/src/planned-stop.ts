/**
 * Decides whether a node that is about to stop still takes a request. One that
 * may be cut off at the end of the grace time is refused while that is a true
 * "not run"; the caller uses another node.
 */

export type StopRequest = {
	/** Time until the node closes its connections. */
	readonly remainingMilliseconds: number;
	/** Time limit of the request; a slow target may take all of it. */
	readonly timeoutMilliseconds: number;
};

export function mayFinishBeforeStop({remainingMilliseconds, timeoutMilliseconds}: StopRequest): boolean {
	return timeoutMilliseconds <= remainingMilliseconds;
}
