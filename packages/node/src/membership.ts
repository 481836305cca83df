/**
 * Maintains the members in the ledger's row: adds this node, fences members
 * whose VM no longer exists, and removes those whose lease and requests have
 * ended. Each change is a compare-and-set write that is computed from a new
 * read, so a conflict or a lost response needs no special handling.
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
	/** How long a member must have been unresponsive before it is fenced. */
	readonly unresponsiveMilliseconds: number;
	/** Time after the fence at which the member's lease and token loans have ended. */
	readonly leaseExpiryMilliseconds: number;
	/** Additional time after which its requests and slot loans have ended. */
	readonly getMaximumRequestMilliseconds: () => number;
	/** How long a list of VMs must omit many members before it is accepted. */
	readonly incompleteListMilliseconds: number;
};

export type MembershipOptions = {
	readonly table: TableService;
	readonly ledger: QuotaLedger;
	readonly getOwnMember: () => Member;
	readonly clock: LeaseClock;
	readonly limits: MembershipLimits;
	/** Called when the row exists but isn't a valid ledger; the node continues with its current ledger. */
	readonly onUnreadableRow?: (reason: string) => void;
	/** Called with a row that was certainly written; relaying it saves other members the read. */
	readonly onWritten?: (ledger: Ledger) => void;
	readonly onWrite?: (epoch: number, outcome: string) => void;
	/** Called when the list of VMs starts to omit too many members to be accepted at once, and when it no longer does. */
	readonly onListDoubted?: (isDoubted: boolean, listed: number) => void;
};

export type Membership = {
	/** Reads the row and writes the changes that it needs. Resolves with whether the row could be read. */
	poll: () => Promise<boolean>;
	setListedMachines: (ids: ReadonlySet<string>) => void;
	/** Removes this node from the row, or fences it if part of its quota is still lent or in use. */
	leave: () => Promise<void>;
};

/** How often one poll reads and writes if other writes come first. */
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

	/** Resolves with whether another write came first. */
	const write = async (current: ReadLedger, next: Ledger): Promise<boolean> => {
		const outcome = await table.transact(createIdentifier(), [{key: rowKeys.ledger, expectedVersion: current.rowVersion, value: next}]);
		options.onWrite?.(next.epoch, outcome.kind);
		if (outcome.kind === 'done') {
			ledger.applyLedger(next, undefined);
			options.onWritten?.(next);
		}

		return outcome.kind === 'conflict';
	};

	/** Reads the row and writes the changes that it needs; after a conflict the caller may retry at once. */
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
				listed: ids, members, now: clock.monotonic(), incompleteListMilliseconds: options.limits.incompleteListMilliseconds,
			});
			const isIncomplete = machineList.incompleteSince !== undefined;
			if (isIncomplete !== wasIncomplete) {
				options.onListDoubted?.(isIncomplete, ids.size);
			}
		},
		async leave() {
			const isReleased = ledger.stop();
			const current = await read();
			const ownIncarnations = new Set([ledger.getView().incarnation]);
			if (current) {
				await write(current, isReleased ? removeMembers(current.ledger, ownIncarnations) : fenceMembers(current.ledger, ownIncarnations));
			}
		},
	};
}

/** Computes the next ledger; returns the same object if nothing changes. */
function getNextLedger(current: Ledger, listed: ReadonlySet<string> | undefined, options: MembershipOptions): Ledger {
	const {limits, ledger} = options;
	const now = options.clock.monotonic();
	const view = ledger.getView();
	let next = current;
	const incarnationsToFence = listed ? getMembersToFence(view, listed, limits.unresponsiveMilliseconds, now) : new Set<string>();
	if (incarnationsToFence.size > 0) {
		next = fenceMembers(next, incarnationsToFence);
	}

	const incarnationsToExpire = getMembersToExpire(view, limits.leaseExpiryMilliseconds, now);
	if (incarnationsToExpire.size > 0) {
		next = expireMembers(next, incarnationsToExpire);
	}

	const incarnationsToRemove = getMembersToRemove(view, limits.getMaximumRequestMilliseconds(), now);
	if (incarnationsToRemove.size > 0) {
		next = removeMembers(next, incarnationsToRemove);
	}

	return joinIfMissing(next, view, options);
}

/** Adds this node unless its incarnation is live in the row; a node that was fenced joins with a new incarnation. */
function joinIfMissing(ledger: Ledger, view: LedgerView, options: MembershipOptions): Ledger {
	const ownMember = ledger.members.find(member => member.incarnation === view.incarnation);
	if (ownMember && isLive(ownMember)) {
		return ledger;
	}

	const incarnation = ownMember ? options.ledger.startNewIncarnation() : view.incarnation;
	return joinLedger(ledger, {...options.getOwnMember(), incarnation});
}
