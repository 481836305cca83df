/** The HTTP connection pools of an entry, one per target address. */
import {Pool} from 'undici';
import {createConnector} from '@catkindale/ports';
import type {Target} from '@catkindale/policy';

export type TargetConnectionPools = {
	setTargets: (targets: readonly Target[]) => void;
	/** Returns undefined if the configuration no longer has a target with the address. */
	getPool: (target: Target) => Pool | undefined;
	/** Whether the target has echoed the identifier of a request; from then on each response must do so. */
	echoesRequestId: (target: Target) => boolean;
	markEchoesRequestId: (target: Target) => void;
	close: () => Promise<void>;
};

export function createTargetConnectionPools(connections: number): TargetConnectionPools {
	const pools = new Map<string, Pool>();
	const echoingAddresses = new Set<string>();
	return {
		setTargets(targets) {
			const addresses = new Set(targets.map(target => target.address));
			for (const [address, pool] of pools) {
				if (!addresses.has(address)) {
					pools.delete(address);
					echoingAddresses.delete(address);
					void pool.close();
				}
			}

			for (const address of addresses) {
				if (!pools.has(address)) {
					pools.set(address, new Pool(`http://${address}`, {connections, pipelining: 1, connect: createConnector()}));
				}
			}
		},
		getPool: target => pools.get(target.address),
		echoesRequestId: target => echoingAddresses.has(target.address),
		markEchoesRequestId(target) {
			echoingAddresses.add(target.address);
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
