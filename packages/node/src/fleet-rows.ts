/**
 * The rows of the gateways in the table, through which gateways find each other
 * that have no peer in common. Each gateway writes its own row and reads all of
 * them once; later changes are read by two gateways of the fleet, and by those
 * without any peer. After the store has come back from a copy, each gateway
 * writes its row again if it is missing.
 */
import {createIdentifier, rankMembers} from '@catkindale/common';
import {type Member, memberSchema} from '@catkindale/policy';
import type {Row} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import type {FleetMembers} from './fleet-members.js';
import {type NodeContext, getOwnMember} from './node-context.js';
import {type PeriodicWork, startPeriodicWork} from './periodic-work.js';

const readIntervalMilliseconds = 10_000;
const retryIntervalMilliseconds = 500;
/** Below the size limit of a transaction. */
const maximumRemovedRows = 50;
/** The key that ranks the gateways for reading and removing rows. It must be the same on all gateways. */
const rankKey = 'rows of gateways that are gone';
const rowReaders = 2;
/** The gateways of a large fleet check their rows spread over this time after a return. */
const maximumCheckDelayMilliseconds = 5000;

/** @param getServing returns the gateways that serve, as this one sees them */
export function startFleetRows(context: NodeContext, members: FleetMembers, getServing: () => readonly Member[]): PeriodicWork {
	const {bus, clock, logger, platform: {table}} = context;
	const ownId = context.settings.node.name;
	const ownKey = `${rowKeys.gatewayPrefix}${ownId}`;
	let isWritten = false;
	let hasRead = false;
	let triedAt = Number.NEGATIVE_INFINITY;
	/** Monotonic time at which the own row is checked; undefined if it is known to be written. */
	let checkAt: number | undefined;

	const writeOwnRow = async (expectedVersion: number): Promise<void> => {
		const outcome = await table.transact(createIdentifier(), [{key: ownKey, expectedVersion, value: getOwnMember(context)}]);
		isWritten = outcome.kind === 'done';
		logger.info('gateway_row_written', {outcome: outcome.kind});
	};

	const getReaders = (): Member[] => rankMembers(rankKey, getServing()).slice(0, rowReaders);

	/** Removes rows on the first-ranked gateway only. A row that was rewritten in the meantime stays. */
	const removeRows = async (stale: readonly Row[]): Promise<void> => {
		if (stale.length === 0 || getReaders()[0]?.id !== ownId) {
			return;
		}

		const removed = stale.slice(0, maximumRemovedRows);
		const outcome = await table.transact(createIdentifier(), removed.map(({key, version}) => ({key, expectedVersion: version, value: undefined})));
		logger.info('gateway_rows_removed', {rows: removed.map(({key}) => key).join(','), outcome: outcome.kind});
	};

	const readRows = async (): Promise<void> => {
		const outcome = await table.list(rowKeys.gatewayPrefix);
		if (outcome.kind !== 'done') {
			logger.warn('table_read_failed', {row: rowKeys.gatewayPrefix, outcome: outcome.kind});
			return;
		}

		hasRead = true;
		const found: Member[] = [];
		const stale: Row[] = [];
		members.removeExpired();
		for (const row of outcome.value) {
			const parsed = memberSchema.safeParse(row.value);
			if (parsed.success && members.wasRemoved(parsed.data)) {
				stale.push(row);
			} else if (parsed.success) {
				found.push(parsed.data);
			} else {
				logger.warn('row_unreadable', {row: row.key, reason: parsed.error.issues[0]?.message});
			}
		}

		members.add(found);
		const ownRow = outcome.value.find(({key}) => key === ownKey);
		if (!isWritten || !ownRow) {
			await writeOwnRow(ownRow?.version ?? 0);
		}

		await removeRows(stale);
	};

	/** Writes the row before it reads the others, so that of two starting gateways the later writer finds the earlier one. */
	const joinFleet = async (): Promise<void> => {
		await writeOwnRow(0);
		await readRows();
	};

	/** Whether this gateway reads the rows at intervals: the others hear from it, or it has nobody to hear from. */
	const isRowReader = (): boolean => getServing().every(({id}) => id === ownId) || getReaders().some(({id}) => id === ownId);

	const checkOwnRow = async (): Promise<void> => {
		const outcome = await table.get(ownKey);
		if (outcome.kind !== 'done') {
			return;
		}

		checkAt = undefined;
		if (!outcome.value) {
			await writeOwnRow(0);
		}
	};

	const maintainRows = async (): Promise<void> => {
		members.removeExpired();
		if (checkAt !== undefined && clock.monotonic() >= checkAt) {
			await checkOwnRow();
		}

		const isJoined = isWritten && hasRead;
		const now = clock.monotonic();
		if (now - triedAt < (isJoined ? readIntervalMilliseconds : retryIntervalMilliseconds) || (isJoined && !isRowReader())) {
			return;
		}

		await (isJoined ? readRows() : joinFleet());
		triedAt = clock.monotonic();
	};

	const unsubscribe = bus.subscribe('traffic-source-restored', () => {
		checkAt = clock.monotonic() + (Math.random() * maximumCheckDelayMilliseconds);
	});
	const work = startPeriodicWork(maintainRows, retryIntervalMilliseconds);
	return {
		...work,
		async stop() {
			unsubscribe();
			await work.stop();
		},
	};
}
