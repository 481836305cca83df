/**
 * Commits a new configuration by compare-and-set. A change whose answer got
 * lost is sent again under the same identifier until the table says whether
 * it took effect: the row's history tells whose change won.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Result, createIdentifier} from '@catkindale/common';
import {
	type CommittedChange, type Configuration, type VersionedRecord, appendChange, configurationRecordSchema,
} from '@catkindale/policy';
import type {Row, TableOutcome} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import type {NodeContext} from './node-context.js';

export type ChangeOutcome
	= | {readonly kind: 'committed'; readonly version: number; readonly changeId: string}
	/** Another change won; `winner` is the latest change of the row. */
		| {readonly kind: 'conflict'; readonly version: number; readonly winner: CommittedChange | undefined}
		| {readonly kind: 'refused'; readonly reason: string}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string; readonly changeId: string};

export type ChangeOptions = {
	/** Who changes, as the operators' commands tell it. */
	readonly author?: string;
	/** The restriction that the change records. */
	readonly restriction?: string;
};

/** Derives the next configuration; an error refuses the change. */
export type ConfigurationEdit = (current: Configuration) => Result<Configuration, string>;

type Change = {readonly basis: VersionedRecord; readonly configuration: Configuration; readonly change: CommittedChange};

const defaultAuthor = 'operator';
const resolveMilliseconds = 6000;
const retryPauseMilliseconds = 200;
/** How long a change tries again what the table surely didn't do. */
const patienceMilliseconds = 2000;
const editAttempts = 5;

/** The record before the first change. */
export const emptyConfigurationRecord: VersionedRecord = {
	version: 0,
	history: [],
	configuration: {
		regions: [], links: [], customers: [], keys: [], services: [], routes: [], targets: [], rollouts: [], shifts: [], drains: [], clientBlocks: [],
	},
};

/** Replaces the configuration if the row is at the expected version. */
export async function commitConfiguration(context: NodeContext, expectedVersion: number, configuration: Configuration, options: ChangeOptions = {}): Promise<ChangeOutcome> {
	const read = await readBasis(context);
	if (read.kind !== 'done') {
		return {kind: 'not-done', reason: read.kind === 'not-done' ? read.reason : 'the table can\'t be read'};
	}

	const basis = read.value;
	if (basis.version !== expectedVersion) {
		return {kind: 'conflict', version: basis.version, winner: basis.history.at(-1)};
	}

	return commitChange(context, createChange(basis, configuration, options));
}

/** Edits the configuration at its latest version; other changes in between are taken in. */
export async function editConfiguration(context: NodeContext, edit: ConfigurationEdit, options: ChangeOptions = {}): Promise<ChangeOutcome> {
	let outcome: ChangeOutcome = {kind: 'not-done', reason: 'other changes went first'};
	for (let attempt = 0; attempt < editAttempts; attempt++) {
		const read = await readBasis(context);
		if (read.kind !== 'done') {
			return {kind: 'not-done', reason: read.kind === 'not-done' ? read.reason : 'the table can\'t be read'};
		}

		const recorded = findRecorded(read.value, options.restriction);
		if (recorded) {
			return announce(context, read.value, recorded.changeId);
		}

		const edited = edit(read.value.configuration);
		if (!edited.ok) {
			return {kind: 'refused', reason: edited.error};
		}

		outcome = await commitChange(context, createChange(read.value, edited.value, options));
		if (outcome.kind !== 'conflict') {
			return outcome;
		}
	}

	return outcome;
}

/** The change that recorded the restriction. A later change may have lifted it, so it mustn't be recorded again. */
function findRecorded(record: VersionedRecord, restriction: string | undefined): CommittedChange | undefined {
	return restriction === undefined ? undefined : record.history.find(change => change.restriction === restriction);
}

/** Reads the configuration's row. */
export async function readConfigurationRecord(context: NodeContext): Promise<TableOutcome<VersionedRecord>> {
	const outcome = await context.platform.table.get(rowKeys.configuration);
	if (outcome.kind !== 'done') {
		return outcome;
	}

	const record = parseRow(outcome.value);
	return record ? {kind: 'done', value: record} : {kind: 'not-done', reason: 'the configuration\'s row can\'t be read as one'};
}

/** Reads the row that a change starts from; one call that fails or comes late doesn't refuse the change. */
async function readBasis(context: NodeContext): Promise<TableOutcome<VersionedRecord>> {
	const endsAt = context.clock.monotonic() + patienceMilliseconds;
	let outcome = await readConfigurationRecord(context);
	while (outcome.kind !== 'done' && context.clock.monotonic() < endsAt) {
		await delay(retryPauseMilliseconds);
		outcome = await readConfigurationRecord(context);
	}

	return outcome;
}

/** Undefined for a row that something else than this system wrote. */
function parseRow(row: Row | undefined): VersionedRecord | undefined {
	if (!row) {
		return emptyConfigurationRecord;
	}

	const parsed = configurationRecordSchema.safeParse(row.value);
	return parsed.success ? {version: row.version, ...parsed.data} : undefined;
}

function createChange(basis: VersionedRecord, configuration: Configuration, options: ChangeOptions): Change {
	const {author = defaultAuthor, restriction} = options;
	return {
		basis,
		configuration,
		change: {
			version: basis.version + 1, changeId: createIdentifier(), author, ...(restriction !== undefined && {restriction}),
		},
	};
}

async function commitChange(context: NodeContext, {basis, configuration, change}: Change): Promise<ChangeOutcome> {
	const record = {history: appendChange(basis.history, change), configuration};
	const write = {key: rowKeys.configuration, expectedVersion: basis.version, value: record};
	const startedAt = context.clock.monotonic();
	const endsAt = startedAt + resolveMilliseconds;
	let lostReason: string | undefined;
	do {
		const outcome = await context.platform.table.transact(change.changeId, [write]);
		switch (outcome.kind) {
			case 'done': {
				return announce(context, {version: change.version, ...record}, change.changeId);
			}

			case 'conflict': {
				const current = parseRow(outcome.rows[0]) ?? emptyConfigurationRecord;
				const isOwn = current.history.some(({changeId}) => changeId === change.changeId);
				return isOwn
					? announce(context, {version: change.version, ...record}, change.changeId)
					: judgeConflict(current, change, lostReason !== undefined);
			}

			case 'not-done': {
				if (lostReason === undefined && context.clock.monotonic() - startedAt >= patienceMilliseconds) {
					return outcome;
				}

				break;
			}

			case 'unknown': {
				lostReason = outcome.reason;
				break;
			}
		}

		await delay(retryPauseMilliseconds);
	} while (context.clock.monotonic() < endsAt);

	return {kind: 'unknown', reason: `the table's answer was lost: ${lostReason ?? ''}`, changeId: change.changeId};
}

function announce(context: NodeContext, record: VersionedRecord, changeId: string): ChangeOutcome {
	context.bus.publish({type: 'configuration-received', record, source: 'change'});
	return {kind: 'committed', version: record.version, changeId};
}

/** A change that may have been sent and isn't in the history lost, unless the history no longer reaches back to it. */
function judgeConflict(current: VersionedRecord, change: CommittedChange, wasLost: boolean): ChangeOutcome {
	const reachesBack = current.history.some(({version}) => version === change.version);
	return reachesBack || !wasLost
		? {kind: 'conflict', version: current.version, winner: current.history.find(({version}) => version === change.version) ?? current.history.at(-1)}
		: {kind: 'unknown', reason: 'the row\'s history no longer tells', changeId: change.changeId};
}
