/**
 * The slots that this node may use at each target, and those in use. It
 * borrows free slots from the target's other holders and lends its own.
 */
import {assertInvariant, createIdentifier} from '@catkindale/common';
import {
	type SlotQuota, type Target, borrowSlots, emptySlotQuota, endSlotLoans, getFreeOwnSlots, getFreeSlots, getUsableSlots, getLentSlots, getSlotLoansToReturn, getSlotAllocation,
	getSlotMembers, getSlotsInUse, getSlotToRelease, isOverAllocated, lendSlots, recallSlotLoan, releaseSlot, returnSlotLoan, shortenSlotLoans, slotLoanMilliseconds, reclaimSlotLoan, takeSlot,
} from '@catkindale/policy';
import type {
	PeerMessage, SlotLoanMessage, SlotLoanWishMessage, SlotRecallMessage, SlotReturnMessage,
} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import type {AllocationBasis} from './request-quotas.js';

export type SlotQuotas = {
	/**
	 * Takes the targets of a configuration, whose floors follow by `lower` and
	 * `raise`, and the longest deadline of its requests in milliseconds.
	 */
	setTargets: (targets: readonly Target[], longestDeadlineMilliseconds: number) => void;
	/** Lowers all floors to at most these shares. */
	reduceAllocations: (shares: AllocationBasis) => void;
	/** Raises the floors to the shares of the last call of `lower`, but for targets with an overhang elsewhere. */
	increaseAllocations: (overhang: ReadonlySet<string>) => void;
	/** Targets at which more is in use or lent than the floor. */
	getOverAllocations: () => Set<string>;
	/** Slots this node holds at the target now. */
	getHeld: (target: string) => number;
	getInUse: (target: string) => number;
	/** Own slots that are lent now and come back soon after they are asked for. */
	getLent: (target: string) => number;
	/** Slots that a request could take now, own and borrowed. */
	getFree: (target: string) => number;
	/**
	 * Takes a slot; false if none of those held is free. A borrowed slot is
	 * given only to a request whose deadline, a monotonic time, is within the loan.
	 */
	take: (target: string, deadlineAt?: number) => boolean;
	release: (target: string) => void;
	receive: (from: string, message: PeerMessage) => void;
	tick: () => void;
};

export type SlotQuotasOptions = {
	readonly ownId: string;
	readonly clock: LeaseClock;
	readonly lease: QuotaLease;
	readonly send: (to: string, message: PeerMessage) => void;
	/** Called when a loan has come in. */
	readonly onSlotsGained?: (target: string) => void;
	/** Off in trials that show what borrowing is worth. */
	readonly isBorrowing?: boolean;
};

type SlotMessage = SlotLoanWishMessage | SlotLoanMessage | SlotReturnMessage | SlotRecallMessage;

type SlotEntry = {
	target: Target;
	holding: SlotQuota;
	shares: AllocationBasis | undefined;
	isRaised: boolean;
	usedAt: number;
	wish: {readonly id: string; readonly askedAt: number} | undefined;
	/** The lender of each borrowed loan. */
	readonly lenders: Map<string, string>;
	/** The borrower of each lent loan that isn't recalled yet. */
	readonly borrowers: Map<string, string>;
	nextLender: number;
	/** The latest deadline of the requests that took a borrowed slot. */
	latestDeadlineAt: number;
};

const wishTimeoutMilliseconds = 200;
const idleMilliseconds = 1000;
const slotsPerWish = 2;

export function createSlotQuotas(options: SlotQuotasOptions): SlotQuotas {
	const {clock, lease, send} = options;
	const entries = new Map<string, SlotEntry>();
	let known = new Set<string>();
	/** A lost lender's slots are used again only after this time and a margin. */
	let longestLoanMilliseconds = slotLoanMilliseconds;
	/** The targets of each service and version, which serve the same requests. */
	let pools = new Map<string, SlotEntry[]>();

	// A loan ends for its borrower by the time that was frozen earlier.
	clock.onPause(milliseconds => {
		for (const entry of entries.values()) {
			entry.holding = shortenSlotLoans(entry.holding, milliseconds);
		}
	});

	const getSlots = (entry: SlotEntry): SlotQuota => {
		const {lent, borrowed} = entry.holding;
		if (lent.length > 0 || borrowed.length > 0) {
			entry.holding = endSlotLoans(entry.holding, clock.monotonic());
		}

		return entry.holding;
	};

	const askFor = (entry: SlotEntry, deadlineAt: number): void => {
		const now = clock.pauseAdjusted();
		if (options.isBorrowing === false || (entry.wish && now - entry.wish.askedAt < wishTimeoutMilliseconds)) {
			return;
		}

		const holders = getSlotMembers(entry.target, entry.shares?.members ?? []).filter(holder => holder.id !== options.ownId);
		const lender = holders[entry.nextLender % Math.max(1, holders.length)];
		if (lender) {
			entry.nextLender += 1;
			entry.wish = {id: createIdentifier(), askedAt: now};
			const needed = Number.isFinite(deadlineAt) ? Math.ceil(deadlineAt - clock.monotonic()) : 0;
			send(lender.id, {
				type: 'slot-loan-wish', id: entry.wish.id, target: entry.target.name, slots: slotsPerWish, milliseconds: Math.max(slotLoanMilliseconds, needed),
			});
		}
	};

	const lend = (from: string, message: SlotLoanWishMessage, entry: SlotEntry): void => {
		const now = clock.monotonic();
		const milliseconds = Math.min(message.milliseconds, longestLoanMilliseconds);
		const wish = {
			id: message.id, requested: message.slots, reserve: isLastInUse(entry) ? 1 : 0, milliseconds,
		};
		const result = lease.isValid() ? lendSlots(getSlots(entry), wish, now) : {quota: entry.holding, slots: 0};
		entry.holding = result.quota;
		if (result.slots > 0) {
			entry.borrowers.set(message.id, from);
		}

		send(from, {
			type: 'slot-loan', id: message.id, target: message.target, slots: result.slots, milliseconds,
		});
	};

	/**
	 * Whether the node's own requests still come and have a free slot at no other
	 * target that lately served them. A free slot at a target that is cut off
	 * doesn't count, as nothing goes there.
	 */
	const isLastInUse = (entry: SlotEntry): boolean => {
		const now = clock.monotonic();
		const pool = pools.get(getPoolName(entry.target)) ?? [];
		const used = pool.filter(other => now - other.usedAt < idleMilliseconds);
		return used.length > 0 && !used.some(other => other !== entry && getFreeOwnSlots(other.holding) > 0);
	};

	const borrow = (from: string, message: SlotLoanMessage, entry: SlotEntry): void => {
		const {wish} = entry;
		if (wish?.id !== message.id) {
			return;
		}

		// Time that was frozen since the wish was sent shortens the loan.
		const frozen = clock.pauseAdjusted() - clock.monotonic();
		const requestedAt = wish.askedAt - frozen;
		entry.wish = undefined;
		const loan = {
			id: message.id, slots: message.slots, requestedAt, milliseconds: message.milliseconds,
		};
		entry.holding = borrowSlots(getSlots(entry), loan, clock.monotonic());
		if (message.slots > 0) {
			entry.lenders.set(message.id, from);
			options.onSlotsGained?.(message.target);
		}
	};

	/** Without a lease only borrowed slots may be used. */
	const getUsable = (entry: SlotEntry): SlotQuota => {
		const isValid = lease.isValid();
		const holding = getSlots(entry);
		return isValid ? holding : {...holding, allocation: 0};
	};

	const takeFrom = (entry: SlotEntry, deadlineAt: number): boolean => {
		const taken = takeSlot(getUsable(entry), deadlineAt, clock.monotonic());
		if (taken) {
			entry.holding = {...taken.quota, allocation: entry.holding.allocation};
			entry.usedAt = clock.monotonic();
		}

		if (taken?.source.kind === 'borrowed') {
			entry.latestDeadlineAt = Math.max(entry.latestDeadlineAt, deadlineAt);
		}

		if (getFreeOwnSlots(entry.holding) === 0) {
			askFor(entry, deadlineAt);
		}

		if (!taken) {
			recall(entry);
		}

		return taken !== undefined;
	};

	/** Asks for what is lent, oldest first, one loan with each request that finds no slot. */
	const recall = (entry: SlotEntry): void => {
		for (const {id} of getSlots(entry).lent) {
			const borrower = entry.borrowers.get(id);
			if (borrower !== undefined) {
				entry.borrowers.delete(id);
				send(borrower, {type: 'slot-recall', id, target: entry.target.name});
				return;
			}
		}
	};

	const giveBack = (entry: SlotEntry): void => {
		for (const id of getSlotLoansToReturn(getSlots(entry), clock.monotonic())) {
			const returned = returnSlotLoan(entry.holding, id);
			const lender = entry.lenders.get(id);
			if (returned && lender !== undefined) {
				entry.holding = returned;
				entry.lenders.delete(id);
				send(lender, {type: 'slot-return', id, target: entry.target.name});
			}
		}
	};

	return {
		setTargets(targets, longestDeadlineMilliseconds) {
			longestLoanMilliseconds = Math.max(slotLoanMilliseconds, longestDeadlineMilliseconds);
			known = new Set(targets.map(target => target.name));
			for (const target of targets) {
				const entry = entries.get(target.name);
				if (entry) {
					entry.target = target;
					continue;
				}

				entries.set(target.name, createEntry(target));
			}

			pools = groupByPool([...entries.values()].filter(entry => known.has(entry.target.name)));
		},
		reduceAllocations(shares) {
			for (const entry of entries.values()) {
				entry.shares = shares;
				entry.isRaised = false;
				const floor = known.has(entry.target.name) ? getSlotAllocation(entry.target, shares.incarnation, shares.members) : 0;
				entry.holding = {...entry.holding, allocation: Math.min(entry.holding.allocation, floor)};
			}
		},
		increaseAllocations(overhang) {
			for (const [name, entry] of entries) {
				if (entry.isRaised || overhang.has(name) || !entry.shares) {
					continue;
				}

				entry.isRaised = true;
				const floor = known.has(name) ? getSlotAllocation(entry.target, entry.shares.incarnation, entry.shares.members) : 0;
				entry.holding = {...entry.holding, allocation: floor};
				removeUnknown(entries, known, entry);
			}
		},
		getOverAllocations() {
			const beyond = [...entries].filter(([, entry]) => isOverAllocated(getSlots(entry)));
			return new Set(beyond.map(([name]) => name));
		},
		getHeld(target) {
			const entry = entries.get(target);
			return entry ? getUsableSlots(getUsable(entry), clock.monotonic()) : 0;
		},
		getInUse(target) {
			const entry = entries.get(target);
			return entry ? getSlotsInUse(entry.holding) : 0;
		},
		getLent(target) {
			const entry = entries.get(target);
			return entry ? getLentSlots(getSlots(entry)) : 0;
		},
		getFree(target) {
			const entry = entries.get(target);
			return entry ? getFreeSlots(getUsable(entry), clock.monotonic()) : 0;
		},
		take(target, deadlineAt = Number.POSITIVE_INFINITY) {
			const entry = entries.get(target);
			return entry !== undefined && takeFrom(entry, deadlineAt);
		},
		release(target) {
			const entry = entries.get(target);
			assertInvariant(entry !== undefined, 'a slot is released at a target that is known', {target});
			entry.holding = releaseSlot(entry.holding, getSlotToRelease(entry.holding, entry.latestDeadlineAt), clock.monotonic());
			if (entry.holding.borrowed.length > 0) {
				giveBack(entry);
			}

			if (!known.has(target) && entry.isRaised) {
				removeUnknown(entries, known, entry);
			}
		},
		receive(from, message) {
			const entry = isSlotMessage(message) ? entries.get(message.target) : undefined;
			if (!entry || !isSlotMessage(message)) {
				return;
			}

			switch (message.type) {
				case 'slot-loan-wish': {
					lend(from, message, entry);
					break;
				}

				case 'slot-loan': {
					borrow(from, message, entry);
					break;
				}

				case 'slot-return': {
					entry.borrowers.delete(message.id);
					entry.holding = reclaimSlotLoan(getSlots(entry), message.id);
					options.onSlotsGained?.(message.target);
					break;
				}

				case 'slot-recall': {
					entry.holding = recallSlotLoan(getSlots(entry), message.id);
					giveBack(entry);
					break;
				}
			}
		},
		tick() {
			for (const entry of entries.values()) {
				if (entry.holding.borrowed.length > 0) {
					giveBack(entry);
				}
			}
		},
	};
}

function isSlotMessage(message: PeerMessage): message is SlotMessage {
	return message.type === 'slot-loan-wish' || message.type === 'slot-loan'
		|| message.type === 'slot-return' || message.type === 'slot-recall';
}

function createEntry(target: Target): SlotEntry {
	return {
		target,
		holding: emptySlotQuota,
		shares: undefined,
		isRaised: false,
		usedAt: Number.NEGATIVE_INFINITY,
		wish: undefined,
		lenders: new Map(),
		borrowers: new Map(),
		nextLender: 0,
		latestDeadlineAt: Number.NEGATIVE_INFINITY,
	};
}

function getPoolName({service, version}: Target): string {
	return `${service} ${version}`;
}

function groupByPool(entries: readonly SlotEntry[]): Map<string, SlotEntry[]> {
	const pools = new Map<string, SlotEntry[]>();
	for (const entry of entries) {
		const name = getPoolName(entry.target);
		const pool = pools.get(name) ?? [];
		pool.push(entry);
		pools.set(name, pool);
	}

	return pools;
}

/** Forgets a target that left the configuration once nothing runs there. */
function removeUnknown(entries: Map<string, SlotEntry>, known: ReadonlySet<string>, entry: SlotEntry): void {
	const {holding, target} = entry;
	if (!known.has(target.name) && getSlotsInUse(holding) === 0 && holding.lent.length === 0) {
		entries.delete(target.name);
	}
}
