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
const logPauseMilliseconds = 1000;

export function createMeshAdmission({clock, logger, metrics}: Pick<NodeContext, 'clock' | 'logger' | 'metrics'>, limits = defaultAdmissionLimits): MeshAdmission {
	const refusals = new Counter({
		name: 'catkindale_peer_connections_refused_total', help: 'Connections refused because too many had not proved membership', registers: [metrics],
	});
	const unproven = new Map<string, number>();
	let total = 0;
	let loggedAt = Number.NEGATIVE_INFINITY;

	/** One line a second, however many connections come. */
	const logRefusal = (address: string): void => {
		const now = clock.monotonic();
		if (now - loggedAt >= logPauseMilliseconds) {
			loggedAt = now;
			logger.warn('peer_connections_refused', {address, unproven: total});
		}
	};

	return {
		admit(address) {
			const count = unproven.get(address) ?? 0;
			if (count >= limits.perAddress || total >= limits.total) {
				refusals.inc();
				logRefusal(address);
				return false;
			}

			unproven.set(address, count + 1);
			total += 1;
			return true;
		},
		release(address) {
			const count = unproven.get(address) ?? 0;
			if (count <= 1) {
				unproven.delete(address);
			} else {
				unproven.set(address, count - 1);
			}

			total -= 1;
		},
	};
}
