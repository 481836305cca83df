/**
 * The slots of one target that a node may use: its floor, less those lent,
 * plus those borrowed. A slot in use stays counted until its request ends,
 * also when the floor falls below it.
 */
import {assertInvariant} from '@catkindale/common';

/** Slots lent until a monotonic time; the lender counts them for longer than the borrower. */
export type SlotLoan = {readonly id: string; readonly slots: number; readonly until: number};

export type SlotQuota = {
	readonly allocation: number;
	readonly lent: readonly SlotLoan[];
	readonly borrowed: readonly BorrowedSlotLoan[];
	/** Requests on the node's own slots. */
	readonly inUse: number;
};

export type BorrowedSlotLoan = SlotLoan & {
	readonly inUse: number;
	/** Monotonic time of its last use or, before that, of its arrival. */
	readonly usedAt: number;
	/** Whether the lender wants it back: it is given to no further request. */
	readonly isRecalled: boolean;
};

/** On which slot a request runs: an own one or one of a loan. */
export type SlotSource = {readonly kind: 'own'} | {readonly kind: 'borrowed'; readonly id: string};

export const emptySlotQuota: SlotQuota = {
	allocation: 0, lent: [], borrowed: [], inUse: 0,
};

/** How long a loan lasts for the borrower from its wish, unless a request needs longer. */
export const slotLoanMilliseconds = 15_000;
/** How much longer the lender counts it, for clocks that run at different rates. */
export const slotLoanMarginMilliseconds = 500;
/** A borrower uses a loan for new requests only while this much time is left. */
const leastUsefulMilliseconds = 100;

/** How long an idle loan is kept while own slots are free, and while none is. */
const spareLoanMilliseconds = 50;
const idleLoanMilliseconds = 300;

const ownUse: SlotSource = {kind: 'own'};

export function getFreeOwnSlots(holding: SlotQuota): number {
	return Math.max(0, holding.allocation - getLentSlots(holding) - holding.inUse);
}

/** Slots that a request could take now, if its deadline allows. */
export function getFreeSlots(holding: SlotQuota, now: number): number {
	const borrowed = holding.borrowed.filter(loan => loan.until > now && !loan.isRecalled);
	return getFreeOwnSlots(holding) + borrowed.reduce((total, loan) => total + loan.slots - loan.inUse, 0);
}

/** Slots that the node may use now, borrowed ones included. */
export function getUsableSlots(holding: SlotQuota, now: number): number {
	const borrowed = holding.borrowed.filter(loan => loan.until > now + leastUsefulMilliseconds);
	return Math.max(0, holding.allocation - getLentSlots(holding)) + borrowed.reduce((total, loan) => total + (loan.isRecalled ? loan.inUse : loan.slots), 0);
}

export function getSlotsInUse(holding: SlotQuota): number {
	return holding.inUse + holding.borrowed.reduce((total, loan) => total + loan.inUse, 0);
}

/** Whether the node uses or has lent more own slots than its floor. */
export function isOverAllocated(holding: SlotQuota): boolean {
	return holding.inUse + getLentSlots(holding) > holding.allocation;
}

/** Takes a slot for a request that ends by its deadline; undefined if none is free for so long. */
export function takeSlot(quota: SlotQuota, deadlineAt: number, now: number): {readonly quota: SlotQuota; readonly source: SlotSource} | undefined {
	if (getFreeOwnSlots(quota) > 0) {
		return {quota: {...quota, inUse: quota.inUse + 1}, source: ownUse};
	}

	const loan = quota.borrowed.find(candidate => !candidate.isRecalled && candidate.inUse < candidate.slots && candidate.until >= deadlineAt);
	return loan && {quota: changeBorrowed(quota, loan.id, {change: 1, now}), source: {kind: 'borrowed', id: loan.id}};
}

export function releaseSlot(holding: SlotQuota, use: SlotSource, now: number): SlotQuota {
	switch (use.kind) {
		case 'own': {
			assertInvariant(holding.inUse > 0, 'a slot is released once');
			return {...holding, inUse: holding.inUse - 1};
		}

		case 'borrowed': {
			return changeBorrowed(holding, use.id, {change: -1, now});
		}
	}
}

/**
 * Which slot counts as given back when a request ends. The node doesn't keep
 * which request runs on which slot, so the loan that ends first goes first: the
 * requests that still run then fit into the loans that stay, whichever ended.
 * A loan that its lender wants back goes before it only if no request can run
 * beyond the end of any loan.
 * @param latestDeadlineAt the latest deadline of the requests that took a borrowed slot
 */
export function getSlotToRelease(holding: SlotQuota, latestDeadlineAt: number): SlotSource {
	const inUse = holding.borrowed.filter(loan => loan.inUse > 0).toSorted((left, right) => left.until - right.until);
	const [first] = inUse;
	if (!first) {
		return ownUse;
	}

	const recalled = inUse.find(loan => loan.isRecalled && (latestDeadlineAt <= first.until || loan.until === first.until));
	return {kind: 'borrowed', id: (recalled ?? first).id};
}

/** What a borrower asks for, and what the lender keeps for itself. */
export type SlotLoanRequest = {readonly id: string; readonly requested: number; readonly reserve: number; readonly milliseconds: number};

/** Lends free own slots above the reserve; a known loan is answered again as it is. */
export function lendSlots(quota: SlotQuota, wish: SlotLoanRequest, now: number): {readonly quota: SlotQuota; readonly slots: number} {
	const {id, requested: wanted, reserve, milliseconds} = wish;
	if (quota.lent.some(loan => loan.id === id)) {
		return {quota, slots: 0};
	}

	const slots = Math.max(0, Math.min(wanted, getFreeOwnSlots(quota) - reserve));
	if (slots === 0) {
		return {quota, slots};
	}

	const until = now + milliseconds + slotLoanMarginMilliseconds;
	return {quota: {...quota, lent: [...quota.lent, {id, slots, until}]}, slots};
}

/** A loan as it came in; `askedAt` is when its wish was sent, from which it lasts so long. */
export type ReceivedSlotLoan = {readonly id: string; readonly slots: number; readonly requestedAt: number; readonly milliseconds: number};

/** Takes a loan in. A late one is discarded. */
export function borrowSlots(holding: SlotQuota, {id, slots, requestedAt: askedAt, milliseconds}: ReceivedSlotLoan, now: number): SlotQuota {
	const until = askedAt + milliseconds;
	if (slots === 0 || until <= now) {
		return holding;
	}

	return {
		...holding, borrowed: [...holding.borrowed, {
			id, slots, until, inUse: 0, usedAt: now, isRecalled: false,
		}],
	};
}

/** Ends loans whose time is over; the loans of a borrower end when nothing runs on them. */
export function endSlotLoans(holding: SlotQuota, now: number): SlotQuota {
	return {
		...holding,
		lent: holding.lent.filter(loan => loan.until > now),
		borrowed: holding.borrowed.filter(loan => loan.until > now || loan.inUse > 0),
	};
}

/** Ends what is borrowed earlier by the time that this node was frozen. */
export function shortenSlotLoans(holding: SlotQuota, milliseconds: number): SlotQuota {
	return {...holding, borrowed: holding.borrowed.map(loan => ({...loan, until: loan.until - milliseconds}))};
}

/** The lender takes back what the borrower returns early. */
export function reclaimSlotLoan(holding: SlotQuota, id: string): SlotQuota {
	return {...holding, lent: holding.lent.filter(loan => loan.id !== id)};
}

/** The borrower starts no further request on a loan that the lender wants back. */
export function recallSlotLoan(holding: SlotQuota, id: string): SlotQuota {
	return {...holding, borrowed: holding.borrowed.map(loan => loan.id === id ? {...loan, isRecalled: true} : loan)};
}

/**
 * The loans that the borrower should give back now: idle ones that are
 * recalled, not needed because own slots are free, or unused for some time.
 */
export function getSlotLoansToReturn(holding: SlotQuota, now: number): string[] {
	const isOwnFree = getFreeOwnSlots(holding) > 0;
	const idle = holding.borrowed.filter(loan => loan.inUse === 0);
	const due = idle.filter(loan => loan.isRecalled || now - loan.usedAt >= (isOwnFree ? spareLoanMilliseconds : idleLoanMilliseconds));
	return due.map(loan => loan.id);
}

/** The borrower gives up an idle loan for good; undefined while a request runs on it. */
export function returnSlotLoan(holding: SlotQuota, id: string): SlotQuota | undefined {
	const loan = holding.borrowed.find(candidate => candidate.id === id);
	return loan?.inUse === 0 ? {...holding, borrowed: holding.borrowed.filter(candidate => candidate.id !== id)} : undefined;
}

type BorrowedChange = {readonly change: 1 | -1; readonly now: number};

function changeBorrowed(holding: SlotQuota, id: string, {change, now}: BorrowedChange): SlotQuota {
	const borrowed = holding.borrowed.map(loan => loan.id === id ? {...loan, inUse: loan.inUse + change, usedAt: now} : loan);
	const changed = borrowed.find(loan => loan.id === id);
	assertInvariant(changed !== undefined && changed.inUse >= 0, 'a borrowed slot is released once', {id});
	return {...holding, borrowed};
}

export function getLentSlots(holding: SlotQuota): number {
	return holding.lent.reduce((total, loan) => total + loan.slots, 0);
}
