/** The connections to each target. */
import {Pool} from 'undici';
import {assertInvariant} from '@catkindale/common';
import type {Target} from '@catkindale/policy';

export type TargetConnectionPools = {
	setTargets: (targets: readonly Target[]) => void;
	getPool: (target: Target) => Pool;
	/** Whether the target has echoed a request's identifier; from then on it always must. */
	echoesRequestId: (target: Target) => boolean;
	markEchoesRequestId: (target: Target) => void;
	close: () => Promise<void>;
};

export function createTargetConnectionPools(connections: number): TargetConnectionPools {
	const pools = new Map<string, Pool>();
	const echoing = new Set<string>();
	return {
		setTargets(targets) {
			const wanted = new Set(targets.map(target => target.address));
			for (const [address, pool] of pools) {
				if (!wanted.has(address)) {
					pools.delete(address);
					echoing.delete(address);
					void pool.close();
				}
			}

			for (const address of wanted) {
				if (!pools.has(address)) {
					pools.set(address, new Pool(`http://${address}`, {connections, pipelining: 1}));
				}
			}
		},
		getPool(target) {
			const pool = pools.get(target.address);
			assertInvariant(pool !== undefined, 'each target of the configuration has a pool', {target: target.name});
			return pool;
		},
		echoesRequestId: target => echoing.has(target.address),
		markEchoesRequestId(target) {
			echoing.add(target.address);
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
