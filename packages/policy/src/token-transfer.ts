/**
 * Moves request tokens between nodes without the table. The lender takes the
 * tokens, and the capacity and rate that go with them, out of its bucket
 * before it answers, and gets capacity and rate back only after the loan's
 * time has passed on its own clock. The borrower counts that time from when it
 * sent its request, so that its use always ends first. A lost, late or
 * repeated message loses tokens and never makes any.
 */
import {
	type CustomerQuota, type RequestLoan, clamp, getCapacity, getFillRate, hasLentBeyondFloor,
} from './customer-quota.js';

/** How long a loan lasts for the borrower, from its request. */
export const requestLoanMilliseconds = 2000;
/** How much longer the lender counts it, for clocks that run at different rates. */
export const requestLoanMarginMilliseconds = 100;

/** What a borrower asks for; the identifier of a loan renews it. */
export type LoanWish = {readonly id: string; readonly rate: number; readonly burst: number};

/** What a lender keeps for its own callers. */
export type LoanReserve = {readonly rate: number; readonly burst: number};

export type RequestGrant = {
	readonly rate: number;
	readonly burst: number;
	/** Whole tokens that go with it; at most the burst. */
	readonly tokens: number;
};

export type LendResult = {readonly quota: CustomerQuota; readonly grant: RequestGrant};

const nothing: RequestGrant = {rate: 0, burst: 0, tokens: 0};

/** Lends from a filled quota; the grant's burst is 0 if there is nothing to spare. */
export function lendTokens(quota: CustomerQuota, wish: LoanWish, reserve: LoanReserve, now: number): LendResult {
	const {id} = wish;
	const known = quota.lent.find(loan => loan.id === id);
	if (known) {
		return renewLoan(quota, known, now);
	}

	const ownBurst = quota.floor.burst - getLent(quota, 'burst');
	const ownRate = quota.floor.rate - getLent(quota, 'rate');
	const spareBurst = Math.min(ownBurst, getCapacity(quota)) - reserve.burst;
	const burst = Math.max(0, Math.floor(Math.min(wish.burst, spareBurst)));
	if (burst === 0) {
		return {quota, grant: nothing};
	}

	const rate = Math.max(0, Math.min(wish.rate, ownRate - reserve.rate, getFillRate(quota) - reserve.rate));
	const tokens = Math.max(0, Math.min(burst, Math.floor(quota.tokens)));
	const loan: RequestLoan = {
		id, rate, burst, until: getLenderEnd(now),
	};
	const lent = clamp({...quota, tokens: quota.tokens - tokens, lent: [...quota.lent, loan]});
	return {quota: lent, grant: {rate, burst, tokens}};
}

/** A grant as it came in; `askedAt` is when its request was sent. */
export type ReceivedGrant = {readonly id: string; readonly grant: RequestGrant; readonly askedAt: number};

/** Takes a grant into a filled quota. A late one is discarded. */
export function borrowTokens(quota: CustomerQuota, {id, grant, askedAt}: ReceivedGrant, now: number): CustomerQuota {
	const until = askedAt + requestLoanMilliseconds;
	if (until <= now || grant.burst === 0) {
		return quota;
	}

	const loan: RequestLoan = {
		id, rate: grant.rate, burst: grant.burst, until,
	};
	const others = quota.borrowed.filter(other => other.id !== id);
	return clamp({...quota, tokens: quota.tokens + grant.tokens, borrowed: [...others, loan]});
}

function renewLoan(quota: CustomerQuota, known: RequestLoan, now: number): LendResult {
	if (hasLentBeyondFloor(quota)) {
		return {quota, grant: nothing};
	}

	const renewed = {...known, until: Math.max(known.until, getLenderEnd(now))};
	const lent = quota.lent.map(loan => loan.id === known.id ? renewed : loan);
	return {quota: {...quota, lent}, grant: {rate: known.rate, burst: known.burst, tokens: 0}};
}

function getLenderEnd(now: number): number {
	return now + requestLoanMilliseconds + requestLoanMarginMilliseconds;
}

function getLent(quota: CustomerQuota, part: 'rate' | 'burst'): number {
	let total = 0;
	for (const loan of quota.lent) {
		total += loan[part];
	}

	return total;
}
