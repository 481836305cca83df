/**
 * Detects that a caller has ended its side of a connection. The HTTP server
 * reports this only after the connection has closed, some turns of the event
 * loop later.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/** Calls the listener when the caller of the request ends its connection. The returned function removes the listener. */
export function watchCallerDisconnect({socket}: IncomingMessage, listener: () => void): () => void {
	const listeners = listenersBySocket.get(socket) ?? listenToSocket(socket);
	listeners.add(listener);
	return () => {
		listeners.delete(listener);
	};
}

/** Registers the socket's events once for all requests of a connection; a caller that pipelines has many at once. */
function listenToSocket(socket: Socket): Set<() => void> {
	const listeners = new Set<() => void>();
	listenersBySocket.set(socket, listeners);
	const notifyListeners = (): void => {
		for (const listener of listeners) {
			listener();
		}

		listeners.clear();
	};

	socket.once('end', notifyListeners);
	socket.once('close', notifyListeners);
	return listeners;
}
