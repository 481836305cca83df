/** The connections to each target. */
import {Pool} from 'undici';
import {assertInvariant} from '@catkindale/common';
import type {Target} from '@catkindale/policy';

export type TargetPools = {
	setTargets: (targets: readonly Target[]) => void;
	getPool: (target: Target) => Pool;
	close: () => Promise<void>;
};

export function createTargetPools(connections: number): TargetPools {
	const pools = new Map<string, Pool>();
	return {
		setTargets(targets) {
			const wanted = new Set(targets.map(target => target.address));
			for (const [address, pool] of pools) {
				if (!wanted.has(address)) {
					pools.delete(address);
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
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
