/**
 * Bounds the connections whose peer hasn't proved its membership yet, for each
 * address and in all, so that strangers can't make a node hold more than so
 * many sockets.
 */
import {Counter} from 'prom-client';
import type {NodeContext} from './node-context.js';

export type MeshAdmission = {
	/** Whether one more connection from the address may try to prove itself. */
	admit: (address: string) => boolean;
	/** The connection has proved itself or has ended. */
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

	/** One line a second, however many connections come. */
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
