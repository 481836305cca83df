/**
 * Moves request tokens between nodes without the table. The lender takes the
 * tokens, and the capacity and rate that go with them, out of its bucket
 * before it answers, and gets capacity and rate back only after the loan's
 * time has passed on its own clock. The borrower counts that time from when it
 * sent its request, so that its use always ends first. A lost, late or
 * repeated message loses tokens and never makes any.
 */
import {
	type CustomerQuota, type TokenLoan, clampTokens, getCapacity, getFillRate, isOverLent,
} from './customer-quota.js';

/** How long a loan lasts for the borrower, from its request. */
export const tokenLoanMilliseconds = 2000;
/** How much longer the lender counts it, for clocks that run at different rates. */
export const tokenLoanMarginMilliseconds = 100;

/** What a borrower asks for: tokens for waiting requests, and a lasting rate. The identifier of a loan renews it. */
export type TokenLoanRequest = {readonly id: string; readonly rate: number; readonly burst: number};

export type TokenGrant = {
	readonly rate: number;
	readonly burst: number;
	/** Tokens that go with it, in parts too; at most the burst. */
	readonly tokens: number;
};

export type LendResult = {readonly quota: CustomerQuota; readonly grant: TokenGrant};

/** Less than this part of a token isn't worth a loan. */
const leastLoan = 0.05;

const nothing: TokenGrant = {rate: 0, burst: 0, tokens: 0};

/**
 * Lends from a filled quota: tokens that are there for the requests that wait
 * at the borrower, and up to `spareRate` of the rate with its part of the
 * capacity. The grant's burst is 0 if there is nothing to spare.
 */
export function lendTokens(quota: CustomerQuota, wish: TokenLoanRequest, spareRate: number, now: number): LendResult {
	const known = quota.lent.find(loan => loan.id === wish.id);
	if (known) {
		return renewLoan(quota, known, now);
	}

	const ownBurst = Math.min(quota.allocation.burst - getLent(quota, 'burst'), getCapacity(quota));
	const ownRate = Math.min(quota.allocation.rate - getLent(quota, 'rate'), getFillRate(quota));
	const rate = Math.max(0, Math.min(wish.rate, spareRate, ownRate));
	const share = rate > 0 ? rate / ownRate : 0;
	const waiting = Math.min(wish.burst, ownBurst, quota.tokens);
	const burst = Math.max(0, waiting, ownBurst * share);
	if (burst < leastLoan) {
		return {quota, grant: nothing};
	}

	const tokens = Math.max(0, waiting, Math.min(burst, quota.tokens * share));
	const loan: TokenLoan = {
		id: wish.id, rate, burst, until: getLenderEnd(now),
	};
	const lent = clampTokens({...quota, tokens: quota.tokens - tokens, lent: [...quota.lent, loan]});
	return {quota: lent, grant: {rate, burst, tokens}};
}

/** The loans without a rate whose tokens have been used; their capacity may go back early. */
export function getUsedTokenLoans(quota: CustomerQuota): TokenLoan[] {
	let free = getCapacity(quota) - quota.tokens;
	return quota.borrowed.filter(loan => {
		const isUsed = loan.rate === 0 && loan.burst <= free;
		free -= isUsed ? loan.burst : 0;
		return isUsed;
	});
}

/** The borrower gives a loan up for good. */
export function returnTokenLoan(quota: CustomerQuota, id: string): CustomerQuota {
	return clampTokens({...quota, borrowed: quota.borrowed.filter(loan => loan.id !== id)});
}

/** The lender takes back what the borrower has given up. */
export function reclaimTokenLoan(quota: CustomerQuota, id: string): CustomerQuota {
	return {...quota, lent: quota.lent.filter(loan => loan.id !== id)};
}

/** A grant as it came in; `askedAt` is when its request was sent. */
export type ReceivedTokenGrant = {readonly id: string; readonly grant: TokenGrant; readonly requestedAt: number};

/** Takes a grant into a filled quota. A late one is discarded. */
export function borrowTokens(quota: CustomerQuota, {id, grant, requestedAt: askedAt}: ReceivedTokenGrant, now: number): CustomerQuota {
	const until = askedAt + tokenLoanMilliseconds;
	if (until <= now || grant.burst === 0) {
		return quota;
	}

	const loan: TokenLoan = {
		id, rate: grant.rate, burst: grant.burst, until,
	};
	const others = quota.borrowed.filter(other => other.id !== id);
	return clampTokens({...quota, tokens: quota.tokens + grant.tokens, borrowed: [...others, loan]});
}

function renewLoan(quota: CustomerQuota, known: TokenLoan, now: number): LendResult {
	if (isOverLent(quota)) {
		return {quota, grant: nothing};
	}

	const renewed = {...known, until: Math.max(known.until, getLenderEnd(now))};
	const lent = quota.lent.map(loan => loan.id === known.id ? renewed : loan);
	return {quota: {...quota, lent}, grant: {rate: known.rate, burst: known.burst, tokens: 0}};
}

function getLenderEnd(now: number): number {
	return now + tokenLoanMilliseconds + tokenLoanMarginMilliseconds;
}

function getLent(quota: CustomerQuota, part: 'rate' | 'burst'): number {
	let total = 0;
	for (const loan of quota.lent) {
		total += loan[part];
	}

	return total;
}
