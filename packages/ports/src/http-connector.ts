/**
 * Opens the connections of HTTP clients (undici). Its version 7 fails an
 * assertion, which would end the process, if a connection ends or is reset while
 * the parser of its response is paused: the caller of the response can't take
 * more yet. It also takes a reset for the end of a response without a length,
 * and drops what arrived before a reset and isn't read.
 * Version 8 doesn't need this, but a newer Node.js.
 */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import VError from 'verror';

const defaultTimeoutMilliseconds = 10_000;
const resetMessage = 'the connection was reset';

export type ConnectorOptions = {
	/** Maximum time for opening a connection. */
	readonly timeoutMilliseconds?: number;
};

export function createConnector({timeoutMilliseconds = defaultTimeoutMilliseconds}: ConnectorOptions = {}): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMilliseconds});
	return (options, callback) => {
		connect(options, (error, socket) => {
			if (error) {
				callback(error, null);
				return;
			}

			keepEndUntilRead(socket);
			callback(null, socket);
		});
	};
}

/**
 * Signals the end of the connection, or its reset, to a read that finds nothing,
 * which a paused parser doesn't make. The read must follow an offer of the end: the client's
 * other ones may be followed by a pause in the same turn of the event loop.
 */
function keepEndUntilRead(socket: Socket): void {
	const push = socket.push.bind(socket);
	const read = socket.read.bind(socket);
	const destroy = socket.destroy.bind(socket);
	let isEndHidden = false;
	let resetError: Error | undefined;
	let isOffering = false;
	let isOfferPlanned = false;
	const offerEnd = (): void => {
		isOfferPlanned = false;
		if (!isEndHidden || socket.destroyed) {
			return;
		}

		isOffering = true;
		socket.emit('readable');
		isOffering = false;
	};

	socket.push = (chunk, encoding) => {
		if (chunk !== null) {
			return push(chunk, encoding);
		}

		// A reset that arrives together with data is reported as an end; the socket then has no remote address.
		if (socket.remoteAddress === undefined) {
			resetError = createResetError();
		}

		isEndHidden = true;
		offerEnd();
		return false;
	};

	socket.destroy = error => {
		if (!error || !('code' in error) || error.code !== 'ECONNRESET') {
			return destroy(error);
		}

		const replacement = createResetError();
		if (!('syscall' in error) || error.syscall !== 'read' || socket.destroyed) {
			return destroy(replacement);
		}

		resetError = replacement;
		isEndHidden = true;
		offerEnd();
		return socket;
	};

	socket.read = size => {
		const chunk = read(size) as unknown;
		if (chunk !== null || size !== undefined || !isEndHidden) {
			return chunk;
		}

		if (isOffering) {
			isEndHidden = false;
			if (resetError) {
				destroy(resetError);
			} else {
				push(null);
			}
		} else if (!isOfferPlanned) {
			isOfferPlanned = true;
			setImmediate(offerEnd);
		}

		return chunk;
	};
}

/** With this code, the client treats the error alike whether its parser is paused or not, and opens a new connection for requests that it hasn't sent. */
function createResetError(): Error {
	return Object.assign(new VError(resetMessage), {code: 'UND_ERR_SOCKET'});
}
