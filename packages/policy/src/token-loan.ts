/**
 * Lends tokens between nodes without the table. The lender removes the tokens
 * and their capacity and rate from its bucket before it responds. It gets
 * capacity and rate back only after the loan's time has passed on its own
 * clock. The borrower counts that time from when it sent its loan request, so
 * its use always ends first. A lost, late or duplicated message loses tokens
 * and never creates any.
 */
import {
	type CustomerQuota, type TokenLoan, clampTokens, getCapacity, getFillRate, isOverLent,
} from './customer-quota.js';

/** How long a loan lasts for the borrower, counted from its loan request. */
export const tokenLoanMilliseconds = 2000;
/** How much longer the loan lasts for the lender, as clocks run at different rates. */
export const tokenLoanMarginMilliseconds = 100;

/** Requests a burst for waiting requests and a rate for the time of the loan. The identifier of an existing loan renews it. */
export type TokenLoanRequest = {readonly id: string; readonly rate: number; readonly burst: number};

export type TokenGrant = {
	readonly rate: number;
	readonly burst: number;
	/** Tokens lent with it, which may be a fractional number; at most the burst. */
	readonly tokens: number;
};

export type LendResult = {readonly quota: CustomerQuota; readonly grant: TokenGrant};

/** Smaller bursts aren't worth a loan. */
const minimumLoanTokens = 0.05;

const emptyGrant: TokenGrant = {rate: 0, burst: 0, tokens: 0};

/**
 * Lends from a filled quota: available tokens for the requests that wait at
 * the borrower, and up to `spareRate` of the rate with its fraction of the
 * capacity. The grant's burst is 0 if nothing can be lent.
 */
export function lendTokens(quota: CustomerQuota, request: TokenLoanRequest, spareRate: number, now: number): LendResult {
	const existing = quota.lent.find(loan => loan.id === request.id);
	if (existing) {
		return renewLoan(quota, existing, now);
	}

	const ownBurst = Math.min(quota.allocation.burst - sumLent(quota, 'burst'), getCapacity(quota));
	const ownRate = Math.min(quota.allocation.rate - sumLent(quota, 'rate'), getFillRate(quota));
	const rate = Math.max(0, Math.min(request.rate, spareRate, ownRate));
	const fraction = rate > 0 ? rate / ownRate : 0;
	const waiting = Math.min(request.burst, ownBurst, quota.tokens);
	const burst = Math.max(0, waiting, ownBurst * fraction);
	if (burst < minimumLoanTokens) {
		return {quota, grant: emptyGrant};
	}

	const tokens = Math.max(0, waiting, Math.min(burst, quota.tokens * fraction));
	const loan: TokenLoan = {
		id: request.id, rate, burst, until: getLenderLoanEnd(now),
	};
	const lent = clampTokens({...quota, tokens: quota.tokens - tokens, lent: [...quota.lent, loan]});
	return {quota: lent, grant: {rate, burst, tokens}};
}

/** The borrowed loans without a rate whose tokens have been used, so that their capacity may be returned early. */
export function getUsedTokenLoans(quota: CustomerQuota): TokenLoan[] {
	let free = getCapacity(quota) - quota.tokens;
	return quota.borrowed.filter(loan => {
		const isUsed = loan.rate === 0 && loan.burst <= free;
		free -= isUsed ? loan.burst : 0;
		return isUsed;
	});
}

/** The borrower returns a loan before its end. */
export function returnTokenLoan(quota: CustomerQuota, id: string): CustomerQuota {
	return clampTokens({...quota, borrowed: quota.borrowed.filter(loan => loan.id !== id)});
}

/** The lender reclaims a loan that the borrower has returned. */
export function reclaimTokenLoan(quota: CustomerQuota, id: string): CustomerQuota {
	return {...quota, lent: quota.lent.filter(loan => loan.id !== id)};
}

/** A received grant; `requestedAt` is the monotonic time at which its loan request was sent. */
export type ReceivedTokenGrant = {readonly id: string; readonly grant: TokenGrant; readonly requestedAt: number};

/** Adds a grant to a filled quota; a grant received after the end of its loan is discarded. */
export function borrowTokens(quota: CustomerQuota, {id, grant, requestedAt}: ReceivedTokenGrant, now: number): CustomerQuota {
	const until = requestedAt + tokenLoanMilliseconds;
	if (until <= now || grant.burst === 0) {
		return quota;
	}

	const loan: TokenLoan = {
		id, rate: grant.rate, burst: grant.burst, until,
	};
	const others = quota.borrowed.filter(other => other.id !== id);
	return clampTokens({...quota, tokens: quota.tokens + grant.tokens, borrowed: [...others, loan]});
}

function renewLoan(quota: CustomerQuota, existing: TokenLoan, now: number): LendResult {
	if (isOverLent(quota)) {
		return {quota, grant: emptyGrant};
	}

	const renewed = {...existing, until: Math.max(existing.until, getLenderLoanEnd(now))};
	const lent = quota.lent.map(loan => loan.id === existing.id ? renewed : loan);
	return {quota: {...quota, lent}, grant: {rate: existing.rate, burst: existing.burst, tokens: 0}};
}

function getLenderLoanEnd(now: number): number {
	return now + tokenLoanMilliseconds + tokenLoanMarginMilliseconds;
}

function sumLent(quota: CustomerQuota, field: 'rate' | 'burst'): number {
	let total = 0;
	for (const loan of quota.lent) {
		total += loan[field];
	}

	return total;
}
