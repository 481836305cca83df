/**
 * Commits a new configuration by compare-and-set. A change whose response is
 * lost is sent again with the same identifier until the table shows whether it
 * took effect. The row's history shows which change produced a version.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Result, createIdentifier} from '@catkindale/common';
import {
	type CommittedChange, type Configuration, type VersionedConfigurationRecord, appendChange, configurationRecordSchema,
} from '@catkindale/policy';
import type {Row, TableOutcome} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import type {NodeContext} from './node-context.js';

export type ChangeOutcome
	= | {readonly kind: 'committed'; readonly version: number; readonly changeId: string}
	/** Another change was committed first; `winner` is that change or the latest change of the row. */
		| {readonly kind: 'conflict'; readonly version: number; readonly winner: CommittedChange | undefined}
		| {readonly kind: 'refused'; readonly reason: string}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string; readonly changeId: string};

export type ChangeOptions = {
	/** The author that the operator's command gives. */
	readonly author?: string;
	/** The restriction that the change records. */
	readonly restriction?: string;
};

/** Derives the next configuration; an error refuses the change. */
export type ConfigurationEdit = (current: Configuration) => Result<Configuration, string>;

type Change = {readonly base: VersionedConfigurationRecord; readonly configuration: Configuration; readonly change: CommittedChange};

const defaultAuthor = 'operator';
const resolutionTimeoutMilliseconds = 6000;
const retryIntervalMilliseconds = 200;
/** How long a change retries calls that the table certainly didn't execute. */
const retryTimeoutMilliseconds = 2000;
const maximumEditAttempts = 5;

/** The configuration record before the first change. */
export const emptyConfigurationRecord: VersionedConfigurationRecord = {
	version: 0,
	history: [],
	configuration: {
		regions: [], links: [], customers: [], keys: [], services: [], routes: [], targets: [], rollouts: [], shifts: [], drains: [], clientBlocks: [],
	},
};

/** Replaces the configuration if the row is at the expected version. */
export async function commitConfiguration(context: NodeContext, expectedVersion: number, configuration: Configuration, options: ChangeOptions = {}): Promise<ChangeOutcome> {
	const read = await readBaseRecord(context);
	if (read.kind !== 'done') {
		return {kind: 'not-done', reason: read.kind === 'not-done' ? read.reason : 'the table can\'t be read'};
	}

	const base = read.value;
	if (base.version !== expectedVersion) {
		return {kind: 'conflict', version: base.version, winner: base.history.at(-1)};
	}

	return commitChange(context, createChange(base, configuration, options));
}

/** Edits the latest version of the configuration. The edit is repeated on top of changes that are committed in between. */
export async function editConfiguration(context: NodeContext, edit: ConfigurationEdit, options: ChangeOptions = {}): Promise<ChangeOutcome> {
	let outcome: ChangeOutcome = {kind: 'not-done', reason: 'other changes went first'};
	for (let attempt = 0; attempt < maximumEditAttempts; attempt++) {
		const read = await readBaseRecord(context);
		if (read.kind !== 'done') {
			return {kind: 'not-done', reason: read.kind === 'not-done' ? read.reason : 'the table can\'t be read'};
		}

		const recordedChange = findRestrictionChange(read.value, options.restriction);
		if (recordedChange) {
			return publishCommitted(context, read.value, recordedChange.changeId);
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

/** Finds the change that recorded the restriction. A later change may have lifted it, so it must not be recorded again. */
function findRestrictionChange(record: VersionedConfigurationRecord, restriction: string | undefined): CommittedChange | undefined {
	return restriction === undefined ? undefined : record.history.find(change => change.restriction === restriction);
}

/** Reads the configuration row of the table. */
export async function readConfigurationRecord(context: NodeContext): Promise<TableOutcome<VersionedConfigurationRecord>> {
	const outcome = await context.platform.table.get(rowKeys.configuration);
	if (outcome.kind !== 'done') {
		return outcome;
	}

	const record = parseRow(outcome.value);
	return record ? {kind: 'done', value: record} : {kind: 'not-done', reason: 'the configuration\'s row can\'t be read as one'};
}

/** Reads the row that a change is based on. Retries, so that one failed or late call doesn't refuse the change. */
async function readBaseRecord(context: NodeContext): Promise<TableOutcome<VersionedConfigurationRecord>> {
	const deadline = context.clock.monotonic() + retryTimeoutMilliseconds;
	let outcome = await readConfigurationRecord(context);
	while (outcome.kind !== 'done' && context.clock.monotonic() < deadline) {
		await delay(retryIntervalMilliseconds);
		outcome = await readConfigurationRecord(context);
	}

	return outcome;
}

/** Returns undefined if the row wasn't written by this system. */
function parseRow(row: Row | undefined): VersionedConfigurationRecord | undefined {
	if (!row) {
		return emptyConfigurationRecord;
	}

	const parsed = configurationRecordSchema.safeParse(row.value);
	return parsed.success ? {version: row.version, ...parsed.data} : undefined;
}

function createChange(base: VersionedConfigurationRecord, configuration: Configuration, options: ChangeOptions): Change {
	const {author = defaultAuthor, restriction} = options;
	return {
		base,
		configuration,
		change: {
			version: base.version + 1, changeId: createIdentifier(), author, ...(restriction !== undefined && {restriction}),
		},
	};
}

async function commitChange(context: NodeContext, {base, configuration, change}: Change): Promise<ChangeOutcome> {
	const record = {history: appendChange(base.history, change), configuration};
	const write = {key: rowKeys.configuration, expectedVersion: base.version, value: record};
	const startedAt = context.clock.monotonic();
	const deadline = startedAt + resolutionTimeoutMilliseconds;
	let unknownReason: string | undefined;
	do {
		const outcome = await context.platform.table.transact(change.changeId, [write]);
		switch (outcome.kind) {
			case 'done': {
				return publishCommitted(context, {version: change.version, ...record}, change.changeId);
			}

			case 'conflict': {
				const current = parseRow(outcome.rows[0]) ?? emptyConfigurationRecord;
				const isOwn = current.history.some(({changeId}) => changeId === change.changeId);
				return isOwn
					? publishCommitted(context, {version: change.version, ...record}, change.changeId)
					: resolveConflict(current, change, unknownReason !== undefined);
			}

			case 'not-done': {
				if (unknownReason === undefined && context.clock.monotonic() - startedAt >= retryTimeoutMilliseconds) {
					return outcome;
				}

				break;
			}

			case 'unknown': {
				unknownReason = outcome.reason;
				break;
			}
		}

		await delay(retryIntervalMilliseconds);
	} while (context.clock.monotonic() < deadline);

	return {kind: 'unknown', reason: `the table's answer was lost: ${unknownReason ?? ''}`, changeId: change.changeId};
}

function publishCommitted(context: NodeContext, record: VersionedConfigurationRecord, changeId: string): ChangeOutcome {
	context.bus.publish({type: 'configuration-received', record, source: 'change'});
	return {kind: 'committed', version: record.version, changeId};
}

/**
 * A change that isn't in the history has lost, unless an earlier attempt may
 * have taken effect and the history no longer includes the change's version.
 */
function resolveConflict(current: VersionedConfigurationRecord, change: CommittedChange, wasOutcomeUnknown: boolean): ChangeOutcome {
	const includesVersion = current.history.some(({version}) => version === change.version);
	return includesVersion || !wasOutcomeUnknown
		? {kind: 'conflict', version: current.version, winner: current.history.find(({version}) => version === change.version) ?? current.history.at(-1)}
		: {kind: 'unknown', reason: 'the row\'s history no longer tells', changeId: change.changeId};
}
