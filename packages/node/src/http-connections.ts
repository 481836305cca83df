/**
 * The connections of an HTTP server and the requests at work on each. Node.js
 * counts a connection as idle once its current response was ended, also while
 * bytes of that response wait in the process or further requests wait behind it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

type Connection = {
	readonly socket: Socket;
	/** Responses that aren't handed over to the operating system yet, in the order of their requests. */
	readonly openResponses: Set<ServerResponse>;
	/** Bytes that had been received when the last response was complete. */
	bytesAtRest: number;
	latestRequest: IncomingMessage | undefined;
	/** Whether the connection closes once the rest of its last request was read. */
	isClosing: boolean;
};

/** How long the rest of a request that was answered early is read before its connection closes. */
const unreadRequestMilliseconds = 1000;

export type HttpConnections = {
	/** Returns the open responses of the connection, in the order of their requests. */
	getOpenResponses: (socket: Duplex) => readonly ServerResponse[];
	/** Returns the open responses of all connections. */
	getAllOpenResponses: () => readonly ServerResponse[];
	/** Returns the last open response of each connection. */
	getLastResponses: () => readonly ServerResponse[];
	/** Closes the connections without a request. A part of a request counts as one if `keepsPartial`. */
	closeIdle: (options: {readonly keepsPartial: boolean}) => void;
};

export function trackConnections(server: Server): HttpConnections {
	const connections = new Map<Duplex, Connection>();
	server.on('connection', (socket: Socket) => {
		const connection: Connection = {
			socket, openResponses: new Set(), bytesAtRest: 0, latestRequest: undefined, isClosing: false,
		};
		connections.set(socket, connection);
		closeAfterRequest(connection);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const recordRequest = (request: IncomingMessage, response: ServerResponse): void => {
		const {socket} = request;
		const connection = connections.get(socket);
		if (connection) {
			connection.latestRequest = request;
			connection.openResponses.add(response);
		}

		response.once('close', () => {
			connection?.openResponses.delete(response);
			if (connection?.openResponses.size === 0) {
				connection.bytesAtRest = socket.bytesRead;
			}
		});
	};

	server.prependListener('request', recordRequest);
	if (server.listenerCount('checkContinue') > 0) {
		// Such a listener takes over from the HTTP server, so that none is added where there is none.
		server.prependListener('checkContinue', recordRequest);
	}

	return {
		getOpenResponses: socket => [...connections.get(socket)?.openResponses ?? []],
		getAllOpenResponses: () => [...connections.values()].flatMap(({openResponses}) => [...openResponses]),
		getLastResponses: () => [...connections.values()].flatMap(({openResponses}) => [...openResponses].slice(-1)),
		closeIdle({keepsPartial}) {
			for (const {socket, openResponses, bytesAtRest, isClosing} of connections.values()) {
				const isPartial = socket.bytesRead > bytesAtRest;
				if (!isClosing && openResponses.size === 0 && socket.writableLength === 0 && !(keepsPartial && isPartial)) {
					socket.destroy();
				}
			}
		},
	};
}

/**
 * The HTTP server closes a connection after its last response, also while the
 * caller still sends its request. A close with unread data resets the
 * connection, which may take the response away from the caller: only the own
 * side ends at once, and the rest of the request is read first.
 */
function closeAfterRequest(connection: Connection): void {
	const {socket} = connection;
	const close = socket.destroySoon.bind(socket);
	socket.destroySoon = () => {
		const request = connection.latestRequest;
		if (!request || request.complete || connection.isClosing) {
			close();
			return;
		}

		connection.isClosing = true;
		socket.end();
		const timer = setTimeout(close, unreadRequestMilliseconds);
		socket.once('close', () => {
			clearTimeout(timer);
		});
		request.once('end', close);
		request.resume();
	};
}
