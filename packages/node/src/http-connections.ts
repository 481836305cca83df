/**
 * The connections of an HTTP server and the requests at work on each. Node.js
 * counts a connection as idle once its current response was ended, also while
 * bytes of that response wait in the process or further requests wait behind it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/** How long a connection is read after its last response, unless its caller closes it before. */
const lingerMilliseconds = 500;
/** The same if the last request was answered before its body was complete. */
const unreadRequestMilliseconds = 1000;

type Connection = {
	readonly socket: Socket;
	/** Responses that aren't handed over to the operating system yet, in the order of their requests. */
	readonly openResponses: Set<ServerResponse>;
	/** Bytes that had been received when the last request and its response were complete. */
	bytesAtRest: number;
	latestRequest: IncomingMessage | undefined;
	/** Whether the last response was sent that this connection gets. */
	isClosing: boolean;
};

export type HttpConnections = {
	/** Returns the open responses of the connection, in the order of their requests. */
	getOpenResponses: (socket: Duplex) => readonly ServerResponse[];
	/** Returns the open responses of all connections. */
	getAllOpenResponses: () => readonly ServerResponse[];
	/** Returns the last open response of each connection. */
	getLastResponses: () => readonly ServerResponse[];
	/** Whether the connection's last response was sent, so that further requests of it aren't read. */
	isClosing: (socket: Duplex) => boolean;
	/** Sends the bytes as the last ones of the connection, and closes it soon after, whether or not its caller does. */
	end: (socket: Duplex, lastBytes: string) => void;
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
		lingerAfterLastResponse(connection);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const recordRequest = (request: IncomingMessage, response: ServerResponse): void => {
		const {socket} = request;
		const connection = connections.get(socket);
		if (!connection || connection.isClosing) {
			return;
		}

		connection.latestRequest = request;
		connection.openResponses.add(response);
		const recordRest = (): void => {
			if (connection.openResponses.size === 0) {
				connection.bytesAtRest = socket.bytesRead;
			}
		};

		// A target may answer before it has read the body.
		request.once('end', recordRest);
		response.once('close', () => {
			connection.openResponses.delete(response);
			recordRest();
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
		isClosing: socket => connections.get(socket)?.isClosing ?? false,
		end(socket, lastBytes) {
			socket.write(lastBytes);
			connections.get(socket)?.socket.destroySoon();
		},
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
 * Ends only the sending direction after the last response, and reads on until
 * the caller closes the connection or some time has passed: bytes that arrive at
 * a closed socket, or wait there unread, reset the connection, and a caller that
 * gets the reset while it sends may never read the response.
 */
function lingerAfterLastResponse(connection: Connection): void {
	const {socket} = connection;
	socket.destroySoon = () => {
		if (connection.isClosing) {
			return;
		}

		connection.isClosing = true;
		const {latestRequest} = connection;
		const isComplete = latestRequest?.complete ?? true;
		latestRequest?.resume();
		socket.end(() => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, isComplete ? lingerMilliseconds : unreadRequestMilliseconds);
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	};
}
