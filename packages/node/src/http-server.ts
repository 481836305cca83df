/** Start and graceful stop of the node's HTTP servers. */
import {type AddressInfo, Server as NetServer} from 'node:net';
import type {Server} from 'node:http';
import {type Address, formatAddress, parseAddress} from '@catkindale/common';
import type {HttpConnections} from './http-connections.js';
import {abortResponse} from './target-response.js';

const idleLingerMilliseconds = 500;
const drainCheckIntervalMilliseconds = 50;
/** Time for the responses that are sent at the end of the grace time to leave the process. */
const lastResponseMilliseconds = 100;
const defaultCloseMilliseconds = 200;
/** Connections that come later than this in the close of a listening socket are reset. */
const maximumAcceptMilliseconds = 500;

/** Listens and returns the address in use. Throws if the address is taken or malformed. */
export async function listenOn(server: NetServer, text: string): Promise<string> {
	const address = parseListenAddress(text);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const {port} = server.address() as AddressInfo;
	return formatAddress({host: address.host, port});
}

/**
 * Closes the listening socket and the connections without a request, and waits
 * until the other responses are complete. Those that take longer than the
 * maximum are cut off.
 */
export async function closeGracefully(server: Server, connections: HttpConnections, maximumMilliseconds = defaultCloseMilliseconds): Promise<void> {
	const endsAt = performance.now() + maximumMilliseconds;
	await closeUnused(server, () => {
		if (performance.now() >= endsAt) {
			server.closeAllConnections();
		} else {
			connections.closeIdle({keepsPartial: false});
		}
	});
}

export type ServerDrain = {
	readonly server: Server;
	readonly connections: HttpConnections;
	readonly graceMilliseconds: number;
	/** Called once if requests are still at work at the end of the grace time; their connections close soon after. */
	readonly onGraceEnd: () => void;
};

/**
 * Shuts down a server for callers without cutting off requests within the grace
 * time: a request that is in transit on an idle connection is still served
 * before the idle connections are closed. Requests that run longer are cut off.
 */
export async function drainServer({server, connections, graceMilliseconds, onGraceEnd}: ServerDrain): Promise<void> {
	const startedAt = performance.now();
	const linger = Math.min(idleLingerMilliseconds, graceMilliseconds);
	let graceEndedAt: number | undefined;
	await closeUnused(server, () => {
		const now = performance.now();
		const elapsed = now - startedAt;
		// The process may have been suspended until after both times.
		if (graceEndedAt !== undefined && now - graceEndedAt >= lastResponseMilliseconds) {
			abortOpenResponses(connections);
			server.closeAllConnections();
			return;
		}

		if (elapsed >= graceMilliseconds && graceEndedAt === undefined) {
			graceEndedAt = now;
			onGraceEnd();
		}

		if (elapsed >= linger) {
			connections.closeIdle({keepsPartial: graceEndedAt === undefined});
		}
	});
}

/** A response that ends early must not look complete to a caller for which the end of the connection is its end. */
function abortOpenResponses(connections: HttpConnections): void {
	for (const response of connections.getAllOpenResponses()) {
		if (response.headersSent) {
			abortResponse(response);
		}
	}
}

/** Closes the listening socket, and calls `closeConnections` at intervals until no connection is left. */
async function closeUnused(server: Server, closeConnections: () => void): Promise<void> {
	const check = setInterval(() => {
		// What arrived while the process was suspended or busy is read first.
		setImmediate(closeConnections);
	}, drainCheckIntervalMilliseconds);
	await acceptWaitingConnections(server);
	const closed = new Promise<void>(resolve => {
		// The `close` of the HTTP server would close connections at once that Node.js counts as idle.
		Reflect.apply(NetServer.prototype.close, server, [() => {
			resolve();
		}]);
	});
	closeConnections();
	await closed;
	clearInterval(check);
}

/**
 * Lets the event loop accept the connections that wait, one in a turn: the close
 * of a listening socket resets them.
 */
async function acceptWaitingConnections(server: Server): Promise<void> {
	const endsAt = performance.now() + maximumAcceptMilliseconds;
	let hasAccepted = true;
	const recordAccept = (): void => {
		hasAccepted = true;
	};

	server.on('connection', recordAccept);
	while (hasAccepted && performance.now() < endsAt) {
		hasAccepted = false;
		// The first turn may end before the loop has polled its sockets.
		await endTurn();
		await endTurn();
	}

	server.off('connection', recordAccept);
}

async function endTurn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

export function parseListenAddress(text: string): Address {
	const address = parseAddress(text);
	if (!address.ok) {
		throw new Error(address.error);
	}

	return address.value;
}

/** Splits a request's URL into path and query. Unlike the URL class, it accepts any text, such as `//`. */
export function splitUrl(url: string): {readonly path: string; readonly query: URLSearchParams} {
	const [path = '', ...rest] = url.split('?');
	return {path, query: new URLSearchParams(rest.join('?'))};
}
