/** Parses the rollout rows of the table. */
import type {Row} from '@catkindale/ports';
import {type RolloutRow, rolloutRowSchema} from '@catkindale/policy';

export type RolloutRows = {
	readonly rollouts: readonly RolloutRow[];
	/** The keys of the rows that can't be parsed as rollouts. */
	readonly unreadable: readonly string[];
};

export function parseRolloutRows(rows: readonly Row[]): RolloutRows {
	const parsed = rows.map(({key, value}) => ({key, row: rolloutRowSchema.safeParse(value).data}));
	return {
		rollouts: parsed.flatMap(({row}) => row ?? []),
		unreadable: parsed.filter(({row}) => row === undefined).map(({key}) => key),
	};
}
