/**
 * Finds a manifest that would undo a rollout that is done: one made before the
 * rollout ended still names the old version, and would move all traffic back
 * at once.
 */
import type {Configuration, Rollout} from './configuration.js';
import {type RolloutRow, matchesRollout} from './rollout-row.js';

/** A service that a manifest would move back, and the rollout that it would undo. */
export type StaleVersion = {
	readonly service: string;
	readonly rollout: string;
	/** The version that the manifest names. */
	readonly from: string;
	/** The version that serves since the rollout. */
	readonly to: string;
};

/** The services that the next configuration would move back to the version before their last rollout. */
export function findStaleVersions(current: Configuration, next: Configuration, rows: readonly RolloutRow[]): StaleVersion[] {
	const lastRows = new Map<string, RolloutRow>();
	for (const row of rows.filter(({phase}) => phase === 'done').toSorted((left, right) => getEnd(left) - getEnd(right))) {
		lastRows.set(row.service, row);
	}

	return [...lastRows.values()]
		.filter(row => isUndone(row, current, next))
		.map(({service, name, from, to}) => ({
			service, rollout: name, from, to,
		}));
}

function isUndone(row: RolloutRow, current: Configuration, next: Configuration): boolean {
	const version = getVersion(current, row.service);
	const isDeclared = declares(current, row);
	const isServing = version === row.to || isDeclared;
	const isUnchanged = version === row.from && isDeclared && declares(next, row);
	return isServing && getVersion(next, row.service) === row.from && !isUnchanged;
}

function getVersion(configuration: Configuration, service: string): string | undefined {
	return configuration.services.find(({name}) => name === service)?.version;
}

function declares({rollouts}: Configuration, row: RolloutRow): boolean {
	return rollouts.some((rollout: Rollout) => rollout.name === row.name && matchesRollout(row, rollout));
}

function getEnd({history}: RolloutRow): number {
	return history.at(-1)?.at ?? 0;
}
