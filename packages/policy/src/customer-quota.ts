/**
 * The part of one customer's rate and burst that a node may give out: its
 * floor, less what it has lent, plus what it has borrowed, as one token
 * bucket. Over all nodes the capacities add up to no more than the burst, the
 * rates to no more than the rate, and tokens are never made by a change of
 * either, so that the whole fleet keeps within burst + rate x window.
 */
import {millisecondsPerSecond} from '@catkindale/common';
import {type TokenAllocation, emptyTokenAllocation} from './token-allocation.js';

/** A part lent until a monotonic time; the lender counts it for longer than the borrower. */
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
	/** The monotonic time up to which tokens have been added. */
	readonly filledAt: number;
};

const noLoans: readonly TokenLoan[] = [];
/** Forgives the rounding of a fill that should have made a whole token. */
const roundingTolerance = 1e-9;

/** A quota without floor or tokens. */
export function createCustomerQuota(now: number): CustomerQuota {
	return {
		allocation: emptyTokenAllocation, lent: noLoans, borrowed: noLoans, tokens: 0, filledAt: now,
	};
}

export function getCapacity(quota: CustomerQuota): number {
	return Math.max(0, quota.allocation.burst + sum(quota.borrowed, 'burst') - sum(quota.lent, 'burst'));
}

export function getFillRate(quota: CustomerQuota): number {
	return Math.max(0, quota.allocation.rate + sum(quota.borrowed, 'rate') - sum(quota.lent, 'rate'));
}

/** Adds the tokens that have grown since the last call and ends loans that are over. */
export function fillCustomerQuota(quota: CustomerQuota, now: number): CustomerQuota {
	if (quota.lent.length === 0 && quota.borrowed.length === 0) {
		return fillUntil(quota, now);
	}

	let filled = quota;
	for (let end = getNextEnd(filled); end <= now; end = getNextEnd(filled)) {
		filled = endTokenLoans(fillUntil(filled, end), end);
	}

	return fillUntil(filled, now);
}

/** Sets the floor. Tokens above the new capacity are dropped; a gain starts empty. */
export function setTokenAllocation(quota: CustomerQuota, floor: TokenAllocation, now: number): CustomerQuota {
	return clampTokens({...fillCustomerQuota(quota, now), allocation: floor});
}

/** Lowers the floor to at most this one. */
export function reduceTokenAllocation(quota: CustomerQuota, floor: TokenAllocation, now: number): CustomerQuota {
	return setTokenAllocation(quota, {
		rate: Math.min(quota.allocation.rate, floor.rate),
		burst: Math.min(quota.allocation.burst, floor.burst),
	}, now);
}

/** Takes one token; undefined if there is none. The quota must be filled. */
export function takeCustomerToken(quota: CustomerQuota): CustomerQuota | undefined {
	return quota.tokens >= 1 - roundingTolerance ? {...quota, tokens: Math.max(0, quota.tokens - 1)} : undefined;
}

/** Milliseconds until the next token, for a filled quota; infinite if none will come. */
export function getCustomerTokenDelay(quota: CustomerQuota): number {
	const rate = getFillRate(quota);
	return getCapacity(quota) < 1 || rate === 0 ? Number.POSITIVE_INFINITY : Math.max(0, (1 - quota.tokens) / rate * millisecondsPerSecond);
}

/** Ends what is borrowed earlier by the time that this node was frozen. */
export function shortenTokenLoans(quota: CustomerQuota, milliseconds: number): CustomerQuota {
	if (quota.borrowed.length === 0) {
		return quota;
	}

	return {...quota, borrowed: quota.borrowed.map(loan => ({...loan, until: loan.until - milliseconds}))};
}

/** Whether more is lent than the floor still covers. */
export function isOverLent(quota: CustomerQuota): boolean {
	return quota.lent.length > 0
		&& (sum(quota.lent, 'burst') > quota.allocation.burst || sum(quota.lent, 'rate') > quota.allocation.rate + roundingTolerance);
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

	const grown = getFillRate(quota) * (now - quota.filledAt) / millisecondsPerSecond;
	return {...quota, tokens: Math.min(getCapacity(quota), quota.tokens + grown), filledAt: now};
}

function getNextEnd(quota: CustomerQuota): number {
	let next = Number.POSITIVE_INFINITY;
	for (const {until} of quota.lent) {
		next = Math.min(next, until);
	}

	for (const {until} of quota.borrowed) {
		next = Math.min(next, until);
	}

	return next;
}

function sum(loans: readonly TokenLoan[], part: 'rate' | 'burst'): number {
	let total = 0;
	for (const loan of loans) {
		total += loan[part];
	}

	return total;
}
