/**
 * Tracks the slots that this node may use at each target, and those in use. It
 * borrows free slots from the target's other members and lends its own.
 */
import {assertInvariant, createIdentifier} from '@catkindale/common';
import {
	type SlotQuota, type Target, borrowSlots, emptySlotQuota, endSlotLoans, getFreeOwnSlots, getFreeSlots, getUsableSlots, getLentSlots, getSlotLoansToReturn, getSlotAllocation,
	getSlotMembers, getSlotsInUse, getSlotToRelease, isOverAllocated, lendSlots, recallSlotLoan, releaseSlot, returnSlotLoan, shortenSlotLoans, slotLoanMilliseconds, reclaimSlotLoan, takeSlot,
} from '@catkindale/policy';
import type {
	PeerMessage, SlotGrantMessage, SlotLoanRequestMessage, SlotRecallMessage, SlotReturnMessage,
} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import type {AllocationBasis} from './request-quotas.js';

export type SlotQuotas = {
	/**
	 * Applies the targets of a configuration and the maximum deadline of its
	 * requests. Allocations change by `reduceAllocations` and `increaseAllocations`.
	 */
	setTargets: (targets: readonly Target[], maximumDeadlineMilliseconds: number) => void;
	/** Reduces all allocations to at most those of this basis. */
	reduceAllocations: (basis: AllocationBasis) => void;
	/** Increases the allocations to those of the last basis, except for targets that another member over-allocates. */
	increaseAllocations: (overAllocations: ReadonlySet<string>) => void;
	/** Returns the targets at which more slots are in use or lent than allocated. */
	getOverAllocations: () => Set<string>;
	/** Returns the slots that this node may use at the target at present, including borrowed ones. */
	getHeld: (target: string) => number;
	getInUse: (target: string) => number;
	/** Returns the own slots that are lent at present; borrowers return them soon after a recall. */
	getLent: (target: string) => number;
	/** Returns the free slots, own and borrowed. */
	getFree: (target: string) => number;
	/**
	 * Takes a slot; returns false if none is free. A borrowed slot is used only
	 * for a request whose deadline, a monotonic time, is before the end of the loan.
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
	/** Called when a loan was received or a lent slot was returned. */
	readonly onSlotsGained?: (target: string) => void;
	/** False in experiments that measure the benefit of loans. */
	readonly isBorrowing?: boolean;
};

type SlotMessage = SlotLoanRequestMessage | SlotGrantMessage | SlotReturnMessage | SlotRecallMessage;

type TargetSlotState = {
	target: Target;
	quota: SlotQuota;
	basis: AllocationBasis | undefined;
	isIncreaseApplied: boolean;
	lastUsedAt: number;
	pendingRequest: {readonly id: string; readonly requestedAt: number} | undefined;
	/** The lender of each borrowed loan. */
	readonly lenders: Map<string, string>;
	/** The borrower of each lent loan that hasn't been recalled. */
	readonly borrowers: Map<string, string>;
	nextLender: number;
	/** The latest deadline, a monotonic time, of the requests that took a borrowed slot. */
	latestDeadlineAt: number;
};

const loanRequestTimeoutMilliseconds = 200;
const recentUseMilliseconds = 1000;
const slotsPerRequest = 2;

export function createSlotQuotas(options: SlotQuotasOptions): SlotQuotas {
	const {clock, lease, send} = options;
	const states = new Map<string, TargetSlotState>();
	let configuredTargets = new Set<string>();
	/** The maximum length of a loan. The slots of a failed lender are reallocated only after this time and a margin, so that no borrower still uses them. */
	let maximumLoanMilliseconds = slotLoanMilliseconds;
	/** The targets of each service and version, all of which serve the same requests. */
	let pools = new Map<string, TargetSlotState[]>();

	// The borrower's loans end earlier by the length of each pause.
	clock.onPause(milliseconds => {
		for (const state of states.values()) {
			state.quota = shortenSlotLoans(state.quota, milliseconds);
		}
	});

	const getCurrentQuota = (state: TargetSlotState): SlotQuota => {
		const {lent, borrowed} = state.quota;
		if (lent.length > 0 || borrowed.length > 0) {
			state.quota = endSlotLoans(state.quota, clock.monotonic());
		}

		return state.quota;
	};

	const requestLoan = (state: TargetSlotState, deadlineAt: number): void => {
		const now = clock.pauseAdjusted();
		if (options.isBorrowing === false || (state.pendingRequest && now - state.pendingRequest.requestedAt < loanRequestTimeoutMilliseconds)) {
			return;
		}

		const members = getSlotMembers(state.target, state.basis?.members ?? []).filter(member => member.id !== options.ownId);
		const lender = members[state.nextLender % Math.max(1, members.length)];
		if (lender) {
			state.nextLender += 1;
			state.pendingRequest = {id: createIdentifier(), requestedAt: now};
			const needed = Number.isFinite(deadlineAt) ? Math.ceil(deadlineAt - clock.monotonic()) : 0;
			send(lender.id, {
				type: 'slot-loan-wish', id: state.pendingRequest.id, target: state.target.name, slots: slotsPerRequest, milliseconds: Math.max(slotLoanMilliseconds, needed),
			});
		}
	};

	const lend = (from: string, message: SlotLoanRequestMessage, state: TargetSlotState): void => {
		const now = clock.monotonic();
		const milliseconds = Math.min(message.milliseconds, maximumLoanMilliseconds);
		const request = {
			id: message.id, requested: message.slots, reserve: isLastFreeTarget(state) ? 1 : 0, milliseconds,
		};
		const result = lease.isValid() ? lendSlots(getCurrentQuota(state), request, now) : {quota: state.quota, slots: 0};
		state.quota = result.quota;
		if (result.slots > 0) {
			state.borrowers.set(message.id, from);
		}

		send(from, {
			type: 'slot-loan', id: message.id, target: message.target, slots: result.slots, milliseconds,
		});
	};

	/**
	 * Whether this node has recent requests of its own and no free slot for them
	 * at another target that recently served them. A free slot at a target that
	 * hasn't served them recently doesn't count, because a target that is cut off
	 * gets no requests.
	 */
	const isLastFreeTarget = (state: TargetSlotState): boolean => {
		const now = clock.monotonic();
		const pool = pools.get(getPoolName(state.target)) ?? [];
		const recentlyUsed = pool.filter(other => now - other.lastUsedAt < recentUseMilliseconds);
		return recentlyUsed.length > 0 && !recentlyUsed.some(other => other !== state && getFreeOwnSlots(other.quota) > 0);
	};

	const borrow = (from: string, message: SlotGrantMessage, state: TargetSlotState): void => {
		const {pendingRequest} = state;
		if (pendingRequest?.id !== message.id) {
			return;
		}

		// Converts the time to the monotonic clock. A pause since the request makes it earlier and so shortens the loan.
		const pausedMilliseconds = clock.pauseAdjusted() - clock.monotonic();
		const requestedAt = pendingRequest.requestedAt - pausedMilliseconds;
		state.pendingRequest = undefined;
		const loan = {
			id: message.id, slots: message.slots, requestedAt, milliseconds: message.milliseconds,
		};
		state.quota = borrowSlots(getCurrentQuota(state), loan, clock.monotonic());
		if (message.slots > 0) {
			state.lenders.set(message.id, from);
			options.onSlotsGained?.(message.target);
		}
	};

	/** Returns the quota without the own slots if the lease isn't valid; borrowed slots remain usable. */
	const getUsableQuota = (state: TargetSlotState): SlotQuota => {
		const isValid = lease.isValid();
		const quota = getCurrentQuota(state);
		return isValid ? quota : {...quota, allocation: 0};
	};

	const takeFrom = (state: TargetSlotState, deadlineAt: number): boolean => {
		const taken = takeSlot(getUsableQuota(state), deadlineAt, clock.monotonic());
		if (taken) {
			state.quota = {...taken.quota, allocation: state.quota.allocation};
			state.lastUsedAt = clock.monotonic();
		}

		if (taken?.source.kind === 'borrowed') {
			state.latestDeadlineAt = Math.max(state.latestDeadlineAt, deadlineAt);
		}

		if (getFreeOwnSlots(state.quota) === 0) {
			requestLoan(state, deadlineAt);
		}

		if (!taken) {
			recallOldestLoan(state);
		}

		return taken !== undefined;
	};

	/** Recalls the oldest loan; called for each request that finds no free slot. */
	const recallOldestLoan = (state: TargetSlotState): void => {
		for (const {id} of getCurrentQuota(state).lent) {
			const borrower = state.borrowers.get(id);
			if (borrower !== undefined) {
				state.borrowers.delete(id);
				send(borrower, {type: 'slot-recall', id, target: state.target.name});
				return;
			}
		}
	};

	const returnLoans = (state: TargetSlotState): void => {
		for (const id of getSlotLoansToReturn(getCurrentQuota(state), clock.monotonic())) {
			const returned = returnSlotLoan(state.quota, id);
			const lender = state.lenders.get(id);
			if (returned && lender !== undefined) {
				state.quota = returned;
				state.lenders.delete(id);
				send(lender, {type: 'slot-return', id, target: state.target.name});
			}
		}
	};

	return {
		setTargets(targets, maximumDeadlineMilliseconds) {
			maximumLoanMilliseconds = Math.max(slotLoanMilliseconds, maximumDeadlineMilliseconds);
			configuredTargets = new Set(targets.map(target => target.name));
			for (const target of targets) {
				const state = states.get(target.name);
				if (state) {
					state.target = target;
					continue;
				}

				states.set(target.name, createTargetSlotState(target));
			}

			pools = groupByPool([...states.values()].filter(state => configuredTargets.has(state.target.name)));
		},
		reduceAllocations(basis) {
			for (const state of states.values()) {
				state.basis = basis;
				state.isIncreaseApplied = false;
				const allocation = configuredTargets.has(state.target.name) ? getSlotAllocation(state.target, basis.incarnation, basis.members) : 0;
				state.quota = {...state.quota, allocation: Math.min(state.quota.allocation, allocation)};
			}
		},
		increaseAllocations(overAllocations) {
			for (const [name, state] of states) {
				if (state.isIncreaseApplied || overAllocations.has(name) || !state.basis) {
					continue;
				}

				state.isIncreaseApplied = true;
				const allocation = configuredTargets.has(name) ? getSlotAllocation(state.target, state.basis.incarnation, state.basis.members) : 0;
				state.quota = {...state.quota, allocation};
				removeIfUnconfigured(states, configuredTargets, state);
			}
		},
		getOverAllocations() {
			const overAllocated = [...states].filter(([, state]) => isOverAllocated(getCurrentQuota(state)));
			return new Set(overAllocated.map(([name]) => name));
		},
		getHeld(target) {
			const state = states.get(target);
			return state ? getUsableSlots(getUsableQuota(state), clock.monotonic()) : 0;
		},
		getInUse(target) {
			const state = states.get(target);
			return state ? getSlotsInUse(state.quota) : 0;
		},
		getLent(target) {
			const state = states.get(target);
			return state ? getLentSlots(getCurrentQuota(state)) : 0;
		},
		getFree(target) {
			const state = states.get(target);
			return state ? getFreeSlots(getUsableQuota(state), clock.monotonic()) : 0;
		},
		take(target, deadlineAt = Number.POSITIVE_INFINITY) {
			const state = states.get(target);
			return state !== undefined && takeFrom(state, deadlineAt);
		},
		release(target) {
			const state = states.get(target);
			assertInvariant(state !== undefined, 'a slot may be released only at a known target', {target});
			state.quota = releaseSlot(state.quota, getSlotToRelease(state.quota, state.latestDeadlineAt), clock.monotonic());
			if (state.quota.borrowed.length > 0) {
				returnLoans(state);
			}

			if (!configuredTargets.has(target) && state.isIncreaseApplied) {
				removeIfUnconfigured(states, configuredTargets, state);
			}
		},
		receive(from, message) {
			const state = isSlotMessage(message) ? states.get(message.target) : undefined;
			if (!state || !isSlotMessage(message)) {
				return;
			}

			switch (message.type) {
				case 'slot-loan-wish': {
					lend(from, message, state);
					break;
				}

				case 'slot-loan': {
					borrow(from, message, state);
					break;
				}

				case 'slot-return': {
					state.borrowers.delete(message.id);
					state.quota = reclaimSlotLoan(getCurrentQuota(state), message.id);
					options.onSlotsGained?.(message.target);
					break;
				}

				case 'slot-recall': {
					state.quota = recallSlotLoan(getCurrentQuota(state), message.id);
					returnLoans(state);
					break;
				}
			}
		},
		tick() {
			for (const state of states.values()) {
				if (state.quota.borrowed.length > 0) {
					returnLoans(state);
				}
			}
		},
	};
}

function isSlotMessage(message: PeerMessage): message is SlotMessage {
	return message.type === 'slot-loan-wish' || message.type === 'slot-loan'
		|| message.type === 'slot-return' || message.type === 'slot-recall';
}

function createTargetSlotState(target: Target): TargetSlotState {
	return {
		target,
		quota: emptySlotQuota,
		basis: undefined,
		isIncreaseApplied: false,
		lastUsedAt: Number.NEGATIVE_INFINITY,
		pendingRequest: undefined,
		lenders: new Map(),
		borrowers: new Map(),
		nextLender: 0,
		latestDeadlineAt: Number.NEGATIVE_INFINITY,
	};
}

function getPoolName({service, version}: Target): string {
	return `${service} ${version}`;
}

function groupByPool(states: readonly TargetSlotState[]): Map<string, TargetSlotState[]> {
	const pools = new Map<string, TargetSlotState[]>();
	for (const state of states) {
		const name = getPoolName(state.target);
		const pool = pools.get(name) ?? [];
		pool.push(state);
		pools.set(name, pool);
	}

	return pools;
}

/** Removes a target that is no longer configured once it has no requests and no lent slots. */
function removeIfUnconfigured(states: Map<string, TargetSlotState>, configuredTargets: ReadonlySet<string>, state: TargetSlotState): void {
	const {quota, target} = state;
	if (!configuredTargets.has(target.name) && getSlotsInUse(quota) === 0 && quota.lent.length === 0) {
		states.delete(target.name);
	}
}
