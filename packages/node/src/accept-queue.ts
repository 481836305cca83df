/**
 * How long connections may have waited to be accepted. The event loop accepts
 * one connection in a turn, so that a busy process can be late for new
 * connections by a whole backlog while each of its turns is short. As in CoDel
 * (RFC 8289), the sign of a standing queue is that it was never seen empty for
 * some time: every turn accepts a connection.
 */
import {performance} from 'node:perf_hooks';
import type {Server} from 'node:net';

export type AcceptQueue = {
	/** The time since the queue was last seen empty, which no connection that is accepted now can have waited longer. */
	getStandingMilliseconds: () => number;
};

export function watchAcceptQueue(server: Server): AcceptQueue {
	let standingSince: number | undefined;
	let isAcceptedInTurn = false;

	const endTurn = (): void => {
		if (!isAcceptedInTurn) {
			standingSince = undefined;
			return;
		}

		isAcceptedInTurn = false;
		setImmediate(endTurn);
	};

	const noteAccept = (): void => {
		isAcceptedInTurn = true;
		if (standingSince === undefined) {
			standingSince = performance.now();
			setImmediate(endTurn);
		}
	};

	server.on('connection', noteAccept);
	// A connection beyond the limit has been accepted too.
	server.on('drop', noteAccept);
	return {
		getStandingMilliseconds: () => standingSince === undefined ? 0 : performance.now() - standingSince,
	};
}
