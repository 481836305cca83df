/**
 * The connections of this node to one target, each with an HTTP client of its
 * own. A request takes the connection that was used last, so that few stay
 * open, and an unresponsive connection can be closed without the others.
 */
import type {Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {createConnector} from '@catkindale/ports';

export type TargetConnection = Pick<Dispatcher, 'dispatch'> & {
	/** Whether the connection was reset by the target or in the network. */
	isReset: () => boolean;
	/** Whether no earlier request was sent on the connection, so that nothing of an earlier response can arrive on it. */
	isFresh: () => boolean;
	/** Calls the listener with the size of each chunk that the connection receives, until its next request. */
	watchReceivedBytes: (listener: (bytes: number) => void) => void;
	/** Makes the connection available again if it is reusable, or closes it; call it once, after the attempt has ended. */
	release: (options: {readonly isReusable: boolean}) => void;
};

export type TargetConnections = {
	/** Returns a connection that no request uses, or undefined if the maximum is in use. */
	acquire: () => TargetConnection | undefined;
	/** Closes the idle connections; those in use are closed when they are released. */
	retireAll: () => void;
	close: () => Promise<void>;
};

/** Bytes sent and received on a connection. */
export type ConnectionTraffic = {readonly sent: number; readonly received: number};

export type ConnectionLimits = {
	readonly maximumConnections: number;
	readonly connectTimeoutMilliseconds: number;
	/** Idle connections are closed after this time, or sooner if the target's `Keep-Alive` header requires it. */
	readonly idleTimeoutMilliseconds: number;
	/** Called with the time that opening a connection took. */
	readonly onConnected?: (milliseconds: number) => void;
	/** Called when a request releases its connection. */
	readonly onTraffic?: (traffic: ConnectionTraffic) => void;
};

type PooledClient = {
	readonly client: Client;
	socket: Socket | undefined;
	/** The socket's bytes that were reported already. */
	reported: ConnectionTraffic;
	wasReset: boolean;
	isRetired: boolean;
	hasBeenUsed: boolean;
	/** The socket whose received bytes are watched. */
	watchedSocket: Socket | undefined;
	onReceived: ((bytes: number) => void) | undefined;
};

const noTraffic: ConnectionTraffic = {sent: 0, received: 0};

/** A target may close an idle connection this long before the time that it announces. */
const keepAliveMarginMilliseconds = 2000;

export function createTargetConnections(address: string, limits: ConnectionLimits): TargetConnections {
	const idleClients: PooledClient[] = [];
	const usedClients = new Set<PooledClient>();

	const destroy = (pooled: PooledClient): void => {
		// The client is unused, so that nothing depends on the result.
		void pooled.client.destroy();
	};

	const reportTraffic = (pooled: PooledClient): void => {
		const traffic = {sent: pooled.socket?.bytesWritten ?? 0, received: pooled.socket?.bytesRead ?? 0};
		limits.onTraffic?.({sent: traffic.sent - pooled.reported.sent, received: traffic.received - pooled.reported.received});
		pooled.reported = traffic;
	};

	const createClient = (): PooledClient => {
		const connect = createConnector({timeoutMilliseconds: limits.connectTimeoutMilliseconds});
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: limits.idleTimeoutMilliseconds,
			keepAliveMaxTimeout: limits.idleTimeoutMilliseconds,
			keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect(options, callback) {
				const startedAt = performance.now();
				connect(options, (error, socket) => {
					if (error) {
						callback(error, null);
						return;
					}

					pooled.socket = socket;
					pooled.reported = noTraffic;
					pooled.wasReset = false;
					pooled.hasBeenUsed = false;
					limits.onConnected?.(performance.now() - startedAt);
					socket.on('error', () => {
						pooled.wasReset = true;
					});
					socket.on('end', () => {
						// A reset that arrives together with data is reported as an end; the socket then has no remote address.
						pooled.wasReset ||= socket.remoteAddress === undefined;
					});
					callback(null, socket);
				});
			},
		});
		const pooled: PooledClient = {
			client, socket: undefined, reported: noTraffic, wasReset: false, isRetired: false, hasBeenUsed: false, watchedSocket: undefined, onReceived: undefined,
		};
		return pooled;
	};

	/** The HTTP client has its own listeners on the socket by then, so that this one doesn't start the flow of data. */
	const watchSocket = (pooled: PooledClient): void => {
		if (pooled.socket && pooled.socket !== pooled.watchedSocket) {
			pooled.watchedSocket = pooled.socket;
			pooled.socket.on('data', (chunk: Uint8Array) => {
				pooled.onReceived?.(chunk.length);
			});
		}
	};

	return {
		acquire() {
			const pooled = idleClients.pop() ?? (usedClients.size < limits.maximumConnections ? createClient() : undefined);
			if (!pooled) {
				return undefined;
			}

			usedClients.add(pooled);
			return {
				dispatch: (options, handler) => pooled.client.dispatch(options, handler),
				isReset: () => pooled.wasReset,
				isFresh: () => !pooled.hasBeenUsed,
				watchReceivedBytes(listener) {
					pooled.onReceived = listener;
					watchSocket(pooled);
				},
				release({isReusable}) {
					if (!usedClients.delete(pooled)) {
						return;
					}

					pooled.hasBeenUsed = true;
					reportTraffic(pooled);

					if (pooled.isRetired || !isReusable) {
						destroy(pooled);
					} else {
						idleClients.push(pooled);
					}
				},
			};
		},
		retireAll() {
			for (const pooled of idleClients.splice(0)) {
				destroy(pooled);
			}

			for (const pooled of usedClients) {
				pooled.isRetired = true;
			}
		},
		async close() {
			await Promise.all([...idleClients.splice(0), ...usedClients].map(async pooled => pooled.client.destroy()));
		},
	};
}
