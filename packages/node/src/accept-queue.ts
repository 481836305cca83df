/**
 * Measures how long connections may have waited to be accepted. The event loop
 * accepts one connection per turn, so a busy process can accept connections a
 * whole backlog late although each of its turns is short. As in CoDel (RFC
 * 8289), a queue is standing if it hasn't been observed empty for some time,
 * that is, if every turn accepts a connection.
 */
import {performance} from 'node:perf_hooks';
import type {Server} from 'node:net';

export type AcceptQueue = {
	/** Returns the time since the queue was last observed empty, an upper bound of the wait of a connection that is accepted now. */
	getStandingMilliseconds: () => number;
};

export function watchAcceptQueue(server: Server): AcceptQueue {
	let nonEmptySince: number | undefined;
	let isAcceptedInTurn = false;

	const endTurn = (): void => {
		if (!isAcceptedInTurn) {
			nonEmptySince = undefined;
			return;
		}

		isAcceptedInTurn = false;
		setImmediate(endTurn);
	};

	const recordAccept = (): void => {
		isAcceptedInTurn = true;
		if (nonEmptySince === undefined) {
			nonEmptySince = performance.now();
			setImmediate(endTurn);
		}
	};

	server.on('connection', recordAccept);
	// A connection above the server's limit is accepted before it is dropped.
	server.on('drop', recordAccept);
	return {
		getStandingMilliseconds: () => nonEmptySince === undefined ? 0 : performance.now() - nonEmptySince,
	};
}
