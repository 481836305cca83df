/**
 * Tells when a caller ends its side of a connection. The HTTP server tells it
 * only once the connection has closed, some turns of the event loop later.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const watchers = new WeakMap<Socket, Set<() => void>>();

/** Calls `leave` when the caller of the request ends its connection; the function that it gives stops that. */
export function watchCallerDisconnect({socket}: IncomingMessage, leave: () => void): () => void {
	const known = watchers.get(socket) ?? watch(socket);
	known.add(leave);
	return () => {
		known.delete(leave);
	};
}

/** One listener serves all requests of a connection, which may be many at once if the caller pipelines them. */
function watch(socket: Socket): Set<() => void> {
	const leaves = new Set<() => void>();
	watchers.set(socket, leaves);
	const tellAll = (): void => {
		for (const leave of leaves) {
			leave();
		}

		leaves.clear();
	};

	socket.once('end', tellAll);
	socket.once('close', tellAll);
	return leaves;
}
