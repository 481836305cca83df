/** Start and graceful stop of the node's HTTP servers. */
import {type AddressInfo, Server as NetServer} from 'node:net';
import type {Server} from 'node:http';
import {type Address, formatAddress, parseAddress} from '@catkindale/common';

const lingerMilliseconds = 500;
const drainCheckMilliseconds = 50;

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

/** Closes the listening socket and idle connections and waits for the rest. */
export async function closeGracefully(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}

/**
 * Ends a server that callers use. Nothing is cut off: a request that was on
 * its way on an idle connection is still served before idle ones are closed.
 * What runs beyond the grace time is ended.
 */
export async function drainServer(server: Server, graceMilliseconds: number): Promise<void> {
	const startedAt = performance.now();
	const linger = Math.min(lingerMilliseconds, graceMilliseconds);
	const check = setInterval(() => {
		const elapsed = performance.now() - startedAt;
		if (elapsed >= graceMilliseconds) {
			server.closeAllConnections();
		} else if (elapsed >= linger) {
			server.closeIdleConnections();
		}
	}, drainCheckMilliseconds);
	await new Promise<void>(resolve => {
		// The HTTP server's own close would end idle connections at once.
		Reflect.apply(NetServer.prototype.close, server, [() => {
			resolve();
		}]);
	});
	clearInterval(check);
}

export function parseListenAddress(text: string): Address {
	const address = parseAddress(text);
	if (!address.ok) {
		throw new Error(address.error);
	}

	return address.value;
}

/** The path and the parameters of a request's address. Unlike the URL class it takes any text, such as `//`. */
export function splitUrl(url: string): {readonly path: string; readonly query: URLSearchParams} {
	const [path = '', ...rest] = url.split('?');
	return {path, query: new URLSearchParams(rest.join('?'))};
}
