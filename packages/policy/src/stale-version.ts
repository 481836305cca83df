/**
 * Detects a manifest that would undo a completed rollout. A manifest from before
 * the end of the rollout still names the old version, and would move all traffic
 * back at once.
 */
import type {Configuration, Rollout} from './configuration.js';
import {type RolloutRow, matchesRollout} from './rollout-row.js';

/** A service that a manifest would move back, and the rollout that this would undo. */
export type StaleVersion = {
	readonly service: string;
	readonly rollout: string;
	/** Version named in the manifest. */
	readonly from: string;
	/** Version that has served since the rollout. */
	readonly to: string;
};

/** Returns the services that the next configuration would move back to the version before their last rollout. */
export function findStaleVersions(current: Configuration, next: Configuration, rows: readonly RolloutRow[]): StaleVersion[] {
	const lastRows = new Map<string, RolloutRow>();
	for (const row of rows.filter(({phase}) => phase === 'done').toSorted((left, right) => getEndTime(left) - getEndTime(right))) {
		lastRows.set(row.service, row);
	}

	return [...lastRows.values()]
		.filter(row => wouldUndoRollout(row, current, next))
		.map(({service, name, from, to}) => ({
			service, rollout: name, from, to,
		}));
}

function wouldUndoRollout(row: RolloutRow, current: Configuration, next: Configuration): boolean {
	const version = getVersion(current, row.service);
	const isDeclared = declaresRollout(current, row);
	const isServing = version === row.to || isDeclared;
	const isUnchanged = version === row.from && isDeclared && declaresRollout(next, row);
	return isServing && getVersion(next, row.service) === row.from && !isUnchanged;
}

function getVersion(configuration: Configuration, service: string): string | undefined {
	return configuration.services.find(({name}) => name === service)?.version;
}

function declaresRollout({rollouts}: Configuration, row: RolloutRow): boolean {
	return rollouts.some((rollout: Rollout) => rollout.name === row.name && matchesRollout(row, rollout));
}

function getEndTime({history}: RolloutRow): number {
	return history.at(-1)?.at ?? 0;
}
