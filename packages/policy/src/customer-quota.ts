/**
 * One node's token bucket for a customer: its allocation of the customer's
 * rate and burst, less what it has lent, plus what it has borrowed. Over all
 * nodes the capacities add up to at most the burst and the fill rates to at
 * most the rate. A change of either never creates tokens, so the whole fleet
 * admits at most burst + rate x window requests in any window.
 */
import {millisecondsPerSecond} from '@catkindale/common';
import {type TokenAllocation, emptyTokenAllocation} from './token-allocation.js';

/** Rate and burst lent until a monotonic time, which is later for the lender than for the borrower. */
export type TokenLoan = {
	readonly id: string;
	readonly rate: number;
	readonly burst: number;
	readonly until: number;
};

export type CustomerQuota = {
	readonly allocation: TokenAllocation;
	readonly lent: readonly TokenLoan[];
	readonly borrowed: readonly TokenLoan[];
	readonly tokens: number;
	/** Monotonic time in milliseconds up to which tokens have been added. */
	readonly filledAt: number;
};

const noLoans: readonly TokenLoan[] = [];
/** Rounding error up to which a nearly whole token counts as whole. */
const roundingTolerance = 1e-9;

/** A quota without allocation or tokens. */
export function createCustomerQuota(now: number): CustomerQuota {
	return {
		allocation: emptyTokenAllocation, lent: noLoans, borrowed: noLoans, tokens: 0, filledAt: now,
	};
}

export function getCapacity(quota: CustomerQuota): number {
	return Math.max(0, quota.allocation.burst + sumLoans(quota.borrowed, 'burst') - sumLoans(quota.lent, 'burst'));
}

export function getFillRate(quota: CustomerQuota): number {
	return Math.max(0, quota.allocation.rate + sumLoans(quota.borrowed, 'rate') - sumLoans(quota.lent, 'rate'));
}

/** Adds the tokens accrued since the last call and ends loans whose time is over. */
export function fillCustomerQuota(quota: CustomerQuota, now: number): CustomerQuota {
	if (quota.lent.length === 0 && quota.borrowed.length === 0) {
		return fillUntil(quota, now);
	}

	let filled = quota;
	for (let end = getNextLoanEnd(filled); end <= now; end = getNextLoanEnd(filled)) {
		filled = endTokenLoans(fillUntil(filled, end), end);
	}

	return fillUntil(filled, now);
}

/** Sets the allocation. Tokens above the new capacity are dropped; added capacity starts empty. */
export function setTokenAllocation(quota: CustomerQuota, allocation: TokenAllocation, now: number): CustomerQuota {
	return clampTokens({...fillCustomerQuota(quota, now), allocation});
}

/** Reduces the allocation to at most this one. */
export function reduceTokenAllocation(quota: CustomerQuota, allocation: TokenAllocation, now: number): CustomerQuota {
	return setTokenAllocation(quota, {
		rate: Math.min(quota.allocation.rate, allocation.rate),
		burst: Math.min(quota.allocation.burst, allocation.burst),
	}, now);
}

/** Takes one token; undefined if there is none. The quota must be filled. */
export function takeCustomerToken(quota: CustomerQuota): CustomerQuota | undefined {
	return quota.tokens >= 1 - roundingTolerance ? {...quota, tokens: Math.max(0, quota.tokens - 1)} : undefined;
}

/** Milliseconds until the next token; infinite if there will be none. The quota must be filled. */
export function getCustomerTokenDelay(quota: CustomerQuota): number {
	const rate = getFillRate(quota);
	return getCapacity(quota) < 1 || rate === 0 ? Number.POSITIVE_INFINITY : Math.max(0, (1 - quota.tokens) / rate * millisecondsPerSecond);
}

/** Ends borrowed loans earlier by the time during which this node was paused. */
export function shortenTokenLoans(quota: CustomerQuota, milliseconds: number): CustomerQuota {
	if (quota.borrowed.length === 0) {
		return quota;
	}

	return {...quota, borrowed: quota.borrowed.map(loan => ({...loan, until: loan.until - milliseconds}))};
}

/** Whether more is lent than allocated. */
export function isOverLent(quota: CustomerQuota): boolean {
	return quota.lent.length > 0
		&& (sumLoans(quota.lent, 'burst') > quota.allocation.burst || sumLoans(quota.lent, 'rate') > quota.allocation.rate + roundingTolerance);
}

export function endTokenLoans(quota: CustomerQuota, now: number): CustomerQuota {
	return clampTokens({
		...quota,
		lent: quota.lent.filter(loan => loan.until > now),
		borrowed: quota.borrowed.filter(loan => loan.until > now),
	});
}

export function clampTokens(quota: CustomerQuota): CustomerQuota {
	return {...quota, tokens: Math.min(quota.tokens, getCapacity(quota))};
}

function fillUntil(quota: CustomerQuota, now: number): CustomerQuota {
	if (now <= quota.filledAt) {
		return quota;
	}

	const added = getFillRate(quota) * (now - quota.filledAt) / millisecondsPerSecond;
	return {...quota, tokens: Math.min(getCapacity(quota), quota.tokens + added), filledAt: now};
}

function getNextLoanEnd(quota: CustomerQuota): number {
	let next = Number.POSITIVE_INFINITY;
	for (const {until} of quota.lent) {
		next = Math.min(next, until);
	}

	for (const {until} of quota.borrowed) {
		next = Math.min(next, until);
	}

	return next;
}

function sumLoans(loans: readonly TokenLoan[], field: 'rate' | 'burst'): number {
	let total = 0;
	for (const loan of loans) {
		total += loan[field];
	}

	return total;
}
