/**
 * Keeps this node in the ledger's row: joins, fences members that have
 * vanished, and takes out those whose lease and requests have ended. All
 * changes are compare-and-set writes that are decided anew from each read, so
 * that a conflict or a lost answer needs no further care.
 */
import * as z from 'zod';
import {createIdentifier} from '@catkindale/common';
import type {TableService} from '@catkindale/ports';
import {
	type Ledger, type LedgerView, type Member, emptyLedger, expireMembers, fenceMembers, getMembersToExpire, getMembersToRemove,
	getMembersToFence, isLive, joinLedger, ledgerSchema, emptyMachineListView, updateMachineList, removeMembers,
} from '@catkindale/policy';
import {rowKeys} from './constants.js';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLedger} from './quota-ledger.js';

export type MembershipLimits = {
	/** How long a member must have been silent before it is fenced. */
	readonly unresponsiveMilliseconds: number;
	/** After this time a fenced member's lease and loans of tokens have ended. */
	readonly leaseExpiryMilliseconds: number;
	/** After this further time its requests and loans of slots have ended. */
	readonly getMaximumRequestMilliseconds: () => number;
	/** How long a list of VMs that leaves out many members must say so before it is believed. */
	readonly shortListMilliseconds: number;
};

export type MembershipOptions = {
	readonly table: TableService;
	readonly ledger: QuotaLedger;
	readonly getOwnMember: () => Member;
	readonly clock: LeaseClock;
	readonly limits: MembershipLimits;
	/** Called when the row is there and isn't a ledger; the node goes on with what it holds. */
	readonly onUnreadableRow?: (reason: string) => void;
	/** Called with a row that was written for sure, so that members needn't read it. */
	readonly onWritten?: (ledger: Ledger) => void;
	readonly onWrite?: (epoch: number, outcome: string) => void;
	/** Called when the list of VMs becomes too short to be believed at once, and when it no longer is. */
	readonly onListDoubted?: (isDoubted: boolean, listed: number) => void;
};

export type Membership = {
	/** Reads the row and writes what should change; whether the row could be read. */
	poll: () => Promise<boolean>;
	setListedMachines: (ids: ReadonlySet<string>) => void;
	/** Takes this node out of the row, or fences it if something of its share is still out. */
	leave: () => Promise<void>;
};

/** Writes that lose against others are decided anew this often in one poll. */
const maximumAttempts = 5;

type ReadLedger = {readonly ledger: Ledger; readonly rowVersion: number};

export function createMembership(options: MembershipOptions): Membership {
	const {table, ledger, clock} = options;
	let machineList = emptyMachineListView;

	const read = async (): Promise<ReadLedger | undefined> => {
		const readAt = clock.pauseAdjusted();
		const outcome = await table.get(rowKeys.ledger);
		if (outcome.kind !== 'done') {
			return undefined;
		}

		const row = outcome.value;
		const parsed = row ? ledgerSchema.safeParse(row.value) : {success: true as const, data: emptyLedger};
		if (!parsed.success) {
			options.onUnreadableRow?.(z.prettifyError(parsed.error));
			return undefined;
		}

		ledger.applyLedger(parsed.data, readAt);
		return {ledger: parsed.data, rowVersion: row?.version ?? 0};
	};

	/** Whether another write came first. */
	const write = async (current: ReadLedger, next: Ledger): Promise<boolean> => {
		const outcome = await table.transact(createIdentifier(), [{key: rowKeys.ledger, expectedVersion: current.rowVersion, value: next}]);
		options.onWrite?.(next.epoch, outcome.kind);
		if (outcome.kind === 'done') {
			ledger.applyLedger(next, undefined);
			options.onWritten?.(next);
		}

		return outcome.kind === 'conflict';
	};

	/** Reads, and writes what should change; whether to try again at once. */
	const readAndWrite = async (): Promise<'unread' | 'conflict' | 'done'> => {
		const current = await read();
		if (!current) {
			return 'unread';
		}

		const next = getNextLedger(current.ledger, machineList.accepted, options);
		return next !== current.ledger && await write(current, next) ? 'conflict' : 'done';
	};

	return {
		async poll() {
			let result = await readAndWrite();
			for (let attempt = 1; attempt < maximumAttempts && result === 'conflict'; attempt++) {
				result = await readAndWrite();
			}

			return result !== 'unread';
		},
		setListedMachines(ids) {
			const members = ledger.getView().ledger.members.filter(member => isLive(member)).map(({id}) => id);
			const wasIncomplete = machineList.incompleteSince !== undefined;
			machineList = updateMachineList(machineList, {
				listed: ids, members, now: clock.monotonic(), incompleteListMilliseconds: options.limits.shortListMilliseconds,
			});
			const isIncomplete = machineList.incompleteSince !== undefined;
			if (isIncomplete !== wasIncomplete) {
				options.onListDoubted?.(isIncomplete, ids.size);
			}
		},
		async leave() {
			const isReleased = ledger.stop();
			const current = await read();
			const own = new Set([ledger.getView().incarnation]);
			if (current) {
				await write(current, isReleased ? removeMembers(current.ledger, own) : fenceMembers(current.ledger, own));
			}
		},
	};
}

/** The row as it should be next; the same object if nothing should change. */
function getNextLedger(current: Ledger, listed: ReadonlySet<string> | undefined, options: MembershipOptions): Ledger {
	const {limits, ledger} = options;
	const now = options.clock.monotonic();
	const view = ledger.getView();
	let next = current;
	const fencedIncarnations = listed ? getMembersToFence(view, listed, limits.unresponsiveMilliseconds, now) : new Set<string>();
	if (fencedIncarnations.size > 0) {
		next = fenceMembers(next, fencedIncarnations);
	}

	const expiredIncarnations = getMembersToExpire(view, limits.leaseExpiryMilliseconds, now);
	if (expiredIncarnations.size > 0) {
		next = expireMembers(next, expiredIncarnations);
	}

	const finishedIncarnations = getMembersToRemove(view, limits.getMaximumRequestMilliseconds(), now);
	if (finishedIncarnations.size > 0) {
		next = removeMembers(next, finishedIncarnations);
	}

	return joinIfMissing(next, view, options);
}

/** Joins unless this incarnation is live in the row; one that was fenced comes back as a new one. */
function joinIfMissing(ledger: Ledger, view: LedgerView, options: MembershipOptions): Ledger {
	const own = ledger.members.find(member => member.incarnation === view.incarnation);
	if (own && isLive(own)) {
		return ledger;
	}

	const incarnation = own ? options.ledger.startNewIncarnation() : view.incarnation;
	return joinLedger(ledger, {...options.getOwnMember(), incarnation});
}
