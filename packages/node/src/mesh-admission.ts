/**
 * Limits the connections whose peer hasn't proved its membership yet, per
 * address and in total, so that hosts outside the fleet can't exhaust the
 * node's sockets.
 */
import {Counter} from 'prom-client';
import type {NodeContext} from './node-context.js';

export type MeshAdmission = {
	/** Whether another connection from the address may start the handshake. Counts it if so. */
	admit: (address: string) => boolean;
	/** Stops counting an admitted connection. To be called when it has completed the handshake or has closed. */
	release: (address: string) => void;
};

export type MeshAdmissionLimits = {readonly perAddress: number; readonly total: number};

export const defaultAdmissionLimits: MeshAdmissionLimits = {perAddress: 256, total: 512};
const logIntervalMilliseconds = 1000;

export function createMeshAdmission({clock, logger, metrics}: Pick<NodeContext, 'clock' | 'logger' | 'metrics'>, limits = defaultAdmissionLimits): MeshAdmission {
	const refusals = new Counter({
		name: 'catkindale_peer_connections_refused_total', help: 'Connections refused because too many had not proved membership', registers: [metrics],
	});
	const unprovenByAddress = new Map<string, number>();
	let unprovenTotal = 0;
	let loggedAt = Number.NEGATIVE_INFINITY;

	/** Logs at most one line a second, regardless of the number of refused connections. */
	const logRefusal = (address: string): void => {
		const now = clock.monotonic();
		if (now - loggedAt >= logIntervalMilliseconds) {
			loggedAt = now;
			logger.warn('peer_connections_refused', {address, unproven: unprovenTotal});
		}
	};

	return {
		admit(address) {
			const count = unprovenByAddress.get(address) ?? 0;
			if (count >= limits.perAddress || unprovenTotal >= limits.total) {
				refusals.inc();
				logRefusal(address);
				return false;
			}

			unprovenByAddress.set(address, count + 1);
			unprovenTotal += 1;
			return true;
		},
		release(address) {
			const count = unprovenByAddress.get(address) ?? 0;
			if (count <= 1) {
				unprovenByAddress.delete(address);
			} else {
				unprovenByAddress.set(address, count - 1);
			}

			unprovenTotal -= 1;
		},
	};
}
