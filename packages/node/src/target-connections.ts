/**
 * The connections of this node to one target, each of them a client of its
 * own: requests take the connection that was used last, so that few stay
 * open, and a connection that fell silent can be given up alone.
 */
import {Client, type Dispatcher, buildConnector} from 'undici';

export type TargetConnection = Pick<Dispatcher, 'dispatch'> & {
	/** Whether the connection was reset by the target or on the way. */
	isReset: () => boolean;
	/** Gives the connection back; call it once, after the attempt has ended. */
	release: () => void;
};

export type TargetConnections = {
	/** A connection that no request uses; undefined when all that are allowed are in use. */
	acquire: () => TargetConnection | undefined;
	/** Closes the idle connections; those in use close when they are given back. */
	retireAll: () => void;
	close: () => Promise<void>;
};

export type ConnectionLimits = {
	readonly maximumConnections: number;
	readonly connectTimeoutMilliseconds: number;
	/** Idle connections are closed after this time, or sooner if the target says so. */
	readonly idleTimeoutMilliseconds: number;
	/** Called with the time that opening a connection took. */
	readonly onConnected?: (milliseconds: number) => void;
};

type Slot = {readonly client: Client; wasReset: boolean; isRetired: boolean};

/** A target that closes its idle connections may do so this much before the time that it tells. */
const keepAliveMarginMilliseconds = 2000;

export function createTargetConnections(address: string, limits: ConnectionLimits): TargetConnections {
	const idle: Slot[] = [];
	const inUse = new Set<Slot>();

	const destroy = (slot: Slot): void => {
		// A destroyed client has nothing left to tell.
		void slot.client.destroy();
	};

	const open = (): Slot => {
		const connect = buildConnector({timeout: limits.connectTimeoutMilliseconds});
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

					slot.wasReset = false;
					limits.onConnected?.(performance.now() - startedAt);
					socket.on('error', () => {
						slot.wasReset = true;
					});
					socket.on('end', () => {
						// A reset that comes together with data is told as an end; the socket has no peer then.
						slot.wasReset ||= socket.remoteAddress === undefined;
					});
					callback(null, socket);
				});
			},
		});
		const slot: Slot = {client, wasReset: false, isRetired: false};
		return slot;
	};

	return {
		acquire() {
			const slot = idle.pop() ?? (inUse.size < limits.maximumConnections ? open() : undefined);
			if (!slot) {
				return undefined;
			}

			inUse.add(slot);
			return {
				dispatch: (options, handler) => slot.client.dispatch(options, handler),
				isReset: () => slot.wasReset,
				release() {
					if (!inUse.delete(slot)) {
						return;
					}

					if (slot.isRetired) {
						destroy(slot);
					} else {
						idle.push(slot);
					}
				},
			};
		},
		retireAll() {
			for (const slot of idle.splice(0)) {
				destroy(slot);
			}

			for (const slot of inUse) {
				slot.isRetired = true;
			}
		},
		async close() {
			await Promise.all([...idle.splice(0), ...inUse].map(async slot => slot.client.destroy()));
		},
	};
}
