/**
 * The slots of one target that a node may use: its allocation, less the slots
 * lent, plus those borrowed. A slot stays in use until its request ends, even
 * if the allocation is reduced below the slots in use.
 */
import {assertInvariant} from '@catkindale/common';

/** Slots lent until a monotonic time, which is later for the lender than for the borrower. */
export type SlotLoan = {readonly id: string; readonly slots: number; readonly until: number};

export type SlotQuota = {
	readonly allocation: number;
	readonly lent: readonly SlotLoan[];
	readonly borrowed: readonly BorrowedSlotLoan[];
	/** Own slots in use; borrowed slots in use are counted with their loan. */
	readonly inUse: number;
};

export type BorrowedSlotLoan = SlotLoan & {
	readonly inUse: number;
	/** Monotonic time at which a slot of the loan was last taken or released; at first, when the loan was received. */
	readonly usedAt: number;
	/** Whether the lender has recalled it; a recalled loan takes no further requests. */
	readonly isRecalled: boolean;
};

/** Where a slot comes from: the node's own allocation or a borrowed loan. */
export type SlotSource = {readonly kind: 'own'} | {readonly kind: 'borrowed'; readonly id: string};

export const emptySlotQuota: SlotQuota = {
	allocation: 0, lent: [], borrowed: [], inUse: 0,
};

/** How long a loan lasts for the borrower, counted from its loan request, unless a request needs longer. */
export const slotLoanMilliseconds = 15_000;
/** How much longer the loan lasts for the lender, as clocks run at different rates. */
export const slotLoanMarginMilliseconds = 500;
/** A loan with less time left doesn't count as usable. */
const minimumRemainingMilliseconds = 100;

/** How long a borrower keeps an idle loan while own slots are free, and while none is. */
const maximumIdleWithFreeSlotsMilliseconds = 50;
const maximumIdleMilliseconds = 300;

const ownSource: SlotSource = {kind: 'own'};

export function getFreeOwnSlots(quota: SlotQuota): number {
	return Math.max(0, quota.allocation - getLentSlots(quota) - quota.inUse);
}

/** Slots that a request could take now, if its deadline allows. */
export function getFreeSlots(quota: SlotQuota, now: number): number {
	const borrowed = quota.borrowed.filter(loan => loan.until > now && !loan.isRecalled);
	return getFreeOwnSlots(quota) + borrowed.reduce((total, loan) => total + loan.slots - loan.inUse, 0);
}

/** Own and borrowed slots that the node may use now, including those in use. */
export function getUsableSlots(quota: SlotQuota, now: number): number {
	const borrowed = quota.borrowed.filter(loan => loan.until > now + minimumRemainingMilliseconds);
	return Math.max(0, quota.allocation - getLentSlots(quota)) + borrowed.reduce((total, loan) => total + (loan.isRecalled ? loan.inUse : loan.slots), 0);
}

export function getSlotsInUse(quota: SlotQuota): number {
	return quota.inUse + quota.borrowed.reduce((total, loan) => total + loan.inUse, 0);
}

/** Whether the node uses and has lent more own slots than its allocation. */
export function isOverAllocated(quota: SlotQuota): boolean {
	return quota.inUse + getLentSlots(quota) > quota.allocation;
}

/** Takes a slot for a request that ends by its deadline; undefined if no slot is free until then. */
export function takeSlot(quota: SlotQuota, deadlineAt: number, now: number): {readonly quota: SlotQuota; readonly source: SlotSource} | undefined {
	if (getFreeOwnSlots(quota) > 0) {
		return {quota: {...quota, inUse: quota.inUse + 1}, source: ownSource};
	}

	const loan = quota.borrowed.find(candidate => !candidate.isRecalled && candidate.inUse < candidate.slots && candidate.until >= deadlineAt);
	return loan && {quota: changeBorrowedUse(quota, loan.id, {change: 1, now}), source: {kind: 'borrowed', id: loan.id}};
}

export function releaseSlot(quota: SlotQuota, source: SlotSource, now: number): SlotQuota {
	switch (source.kind) {
		case 'own': {
			assertInvariant(quota.inUse > 0, 'an own slot is released only while one is in use');
			return {...quota, inUse: quota.inUse - 1};
		}

		case 'borrowed': {
			return changeBorrowedUse(quota, source.id, {change: -1, now});
		}
	}
}

/**
 * Which slot to release when a request ends. The node doesn't record which
 * request runs on which slot, so it releases a slot of the loan that ends
 * first: whichever request ended, those still running fit into the remaining
 * loans. A recalled loan comes before it only if no request can run beyond
 * the end of any loan.
 * @param latestDeadlineAt the latest deadline of the requests that took a borrowed slot
 */
export function getSlotToRelease(quota: SlotQuota, latestDeadlineAt: number): SlotSource {
	const inUse = quota.borrowed.filter(loan => loan.inUse > 0).toSorted((left, right) => left.until - right.until);
	const [first] = inUse;
	if (!first) {
		return ownSource;
	}

	const recalled = inUse.find(loan => loan.isRecalled && (latestDeadlineAt <= first.until || loan.until === first.until));
	return {kind: 'borrowed', id: (recalled ?? first).id};
}

/** The slots that a borrower requests for that time, and the free slots that the lender keeps for itself. */
export type SlotLoanRequest = {readonly id: string; readonly requested: number; readonly reserve: number; readonly milliseconds: number};

/** Lends free own slots above the reserve. A repeated request changes nothing and is granted no slots. */
export function lendSlots(quota: SlotQuota, request: SlotLoanRequest, now: number): {readonly quota: SlotQuota; readonly slots: number} {
	const {id, requested, reserve, milliseconds} = request;
	if (quota.lent.some(loan => loan.id === id)) {
		return {quota, slots: 0};
	}

	const slots = Math.max(0, Math.min(requested, getFreeOwnSlots(quota) - reserve));
	if (slots === 0) {
		return {quota, slots};
	}

	const until = now + milliseconds + slotLoanMarginMilliseconds;
	return {quota: {...quota, lent: [...quota.lent, {id, slots, until}]}, slots};
}

/** A received loan, which lasts `milliseconds` from `requestedAt`, when its loan request was sent. */
export type ReceivedSlotLoan = {readonly id: string; readonly slots: number; readonly requestedAt: number; readonly milliseconds: number};

/** Adds a borrowed loan; one received after its end is discarded. */
export function borrowSlots(quota: SlotQuota, {id, slots, requestedAt, milliseconds}: ReceivedSlotLoan, now: number): SlotQuota {
	const until = requestedAt + milliseconds;
	if (slots === 0 || until <= now) {
		return quota;
	}

	return {
		...quota, borrowed: [...quota.borrowed, {
			id, slots, until, inUse: 0, usedAt: now, isRecalled: false,
		}],
	};
}

/** Ends loans whose time is over. A borrowed loan stays while a request uses it. */
export function endSlotLoans(quota: SlotQuota, now: number): SlotQuota {
	return {
		...quota,
		lent: quota.lent.filter(loan => loan.until > now),
		borrowed: quota.borrowed.filter(loan => loan.until > now || loan.inUse > 0),
	};
}

/** Ends borrowed loans earlier by the time during which this node was paused. */
export function shortenSlotLoans(quota: SlotQuota, milliseconds: number): SlotQuota {
	return {...quota, borrowed: quota.borrowed.map(loan => ({...loan, until: loan.until - milliseconds}))};
}

/** The lender reclaims a loan that the borrower has returned. */
export function reclaimSlotLoan(quota: SlotQuota, id: string): SlotQuota {
	return {...quota, lent: quota.lent.filter(loan => loan.id !== id)};
}

/** The borrower marks a loan as recalled by its lender, so that it takes no further requests. */
export function recallSlotLoan(quota: SlotQuota, id: string): SlotQuota {
	return {...quota, borrowed: quota.borrowed.map(loan => loan.id === id ? {...loan, isRecalled: true} : loan)};
}

/**
 * The loans that the borrower should return now: idle ones that are recalled
 * or have been idle for longer than is allowed, which is less while own slots
 * are free.
 */
export function getSlotLoansToReturn(quota: SlotQuota, now: number): string[] {
	const hasFreeOwnSlots = getFreeOwnSlots(quota) > 0;
	const idle = quota.borrowed.filter(loan => loan.inUse === 0);
	const returnable = idle.filter(loan => loan.isRecalled || now - loan.usedAt >= (hasFreeOwnSlots ? maximumIdleWithFreeSlotsMilliseconds : maximumIdleMilliseconds));
	return returnable.map(loan => loan.id);
}

/** The borrower returns an idle loan before its end; undefined while a request uses it. */
export function returnSlotLoan(quota: SlotQuota, id: string): SlotQuota | undefined {
	const loan = quota.borrowed.find(candidate => candidate.id === id);
	return loan?.inUse === 0 ? {...quota, borrowed: quota.borrowed.filter(candidate => candidate.id !== id)} : undefined;
}

type BorrowedUseChange = {readonly change: 1 | -1; readonly now: number};

function changeBorrowedUse(quota: SlotQuota, id: string, {change, now}: BorrowedUseChange): SlotQuota {
	const borrowed = quota.borrowed.map(loan => loan.id === id ? {...loan, inUse: loan.inUse + change, usedAt: now} : loan);
	const changed = borrowed.find(loan => loan.id === id);
	assertInvariant(changed !== undefined && changed.inUse >= 0, 'a borrowed slot is released only while one of its loan is in use', {id});
	return {...quota, borrowed};
}

export function getLentSlots(quota: SlotQuota): number {
	return quota.lent.reduce((total, loan) => total + loan.slots, 0);
}
