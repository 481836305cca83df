/**
 * Commits a new configuration by compare-and-set. An answer that got lost is
 * resolved by reading the row and its change identifier back.
 */
import {createIdentifier} from '@catkindale/common';
import type {Configuration} from '@catkindale/policy';
import {rowKeys} from './constants.js';
import type {NodeContext} from './node-context.js';

export type ChangeOutcome
	= | {readonly kind: 'committed'; readonly version: number}
		| {readonly kind: 'conflict'; readonly version: number}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

export async function commitConfiguration(context: NodeContext, expectedVersion: number, configuration: Configuration): Promise<ChangeOutcome> {
	const changeId = createIdentifier();
	const write = {key: rowKeys.configuration, expectedVersion, value: configuration};
	const outcome = await context.platform.table.transact(changeId, [write]);
	switch (outcome.kind) {
		case 'done': {
			return {kind: 'committed', version: expectedVersion + 1};
		}

		case 'conflict': {
			return {kind: 'conflict', version: outcome.rows[0]?.version ?? 0};
		}

		case 'not-done': {
			return outcome;
		}

		case 'unknown': {
			return resolveChange(context, changeId, expectedVersion);
		}
	}
}

async function resolveChange(context: NodeContext, changeId: string, expectedVersion: number): Promise<ChangeOutcome> {
	const row = await context.platform.table.get(rowKeys.configuration);
	if (row.kind !== 'done') {
		return {kind: 'unknown', reason: 'the table can\'t be read back'};
	}

	if (row.value?.changeId === changeId) {
		return {kind: 'committed', version: row.value.version};
	}

	const version = row.value?.version ?? 0;
	// The write may still arrive while the row is at the expected version.
	return version > expectedVersion ? {kind: 'conflict', version} : {kind: 'unknown', reason: 'the change may still take effect'};
}
