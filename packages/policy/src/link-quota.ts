/**
 * One node's token bucket for the bytes that may cross the link from one
 * region to another. Tokens are reserved before bytes may cross and consumed
 * when they have crossed. Reserved bytes count against the burst, so in any
 * window the bytes of all nodes stay within the link's burst and rate, however
 * long a reservation lasts before its bytes cross.
 */
import {assertInvariant, millisecondsPerSecond} from '@catkindale/common';
import type {RequestClass} from './configuration.js';

/** A node's guaranteed bytes per second, and bytes at once, over a link. */
export type LinkAllocation = {readonly rate: number; readonly burst: number};

export type LinkQuota = {
	readonly allocation: LinkAllocation;
	/** Bytes that may be reserved now. */
	readonly tokens: number;
	/** Bytes that are reserved and haven't crossed yet. */
	readonly reserved: number;
	/** Monotonic time in milliseconds up to which tokens have been added. */
	readonly filledAt: number;
};

/** The bytes of each class's next waiting reservation; undefined if none waits. */
export type WaitingLinkBytes = Record<RequestClass, number | undefined>;

export const emptyLinkAllocation: LinkAllocation = {rate: 0, burst: 0};

/** The minimum fraction of bytes for bulk requests while both classes wait. */
const bulkFraction = 0.1;

export function createLinkQuota(now: number): LinkQuota {
	return {
		allocation: emptyLinkAllocation, tokens: 0, reserved: 0, filledAt: now,
	};
}

/** Adds the tokens accrued since the last call. */
export function fillLinkQuota(quota: LinkQuota, now: number): LinkQuota {
	const added = quota.allocation.rate * Math.max(0, now - quota.filledAt) / millisecondsPerSecond;
	return limitTokens({...quota, tokens: quota.tokens + added, filledAt: Math.max(now, quota.filledAt)});
}

/** Reduces the allocation to at most the given one. */
export function reduceLinkAllocation(quota: LinkQuota, allocation: LinkAllocation, now: number): LinkQuota {
	const filled = fillLinkQuota(quota, now);
	const reduced = {rate: Math.min(filled.allocation.rate, allocation.rate), burst: Math.min(filled.allocation.burst, allocation.burst)};
	return limitTokens({...filled, allocation: reduced});
}

/** Sets the allocation; added capacity starts empty. */
export function setLinkAllocation(quota: LinkQuota, allocation: LinkAllocation, now: number): LinkQuota {
	return limitTokens({...fillLinkQuota(quota, now), allocation});
}

/** Whether more bytes are reserved than the allocation's burst. */
export function isLinkOverAllocated(quota: LinkQuota): boolean {
	return quota.reserved > quota.allocation.burst;
}

/** Reserves bytes; undefined if there are too few tokens. The quota must be filled. */
export function reserveLinkBytes(quota: LinkQuota, bytes: number): LinkQuota | undefined {
	return quota.tokens >= bytes ? {...quota, tokens: quota.tokens - bytes, reserved: quota.reserved + bytes} : undefined;
}

/** Consumes reserved bytes that have crossed. The room that they leave fills from now on: no tokens accrue for time during which the bucket was full. */
export function consumeLinkBytes(quota: LinkQuota, bytes: number, now: number): LinkQuota {
	assertInvariant(bytes <= quota.reserved, 'bytes consumed on a link are at most those reserved', {bytes, reserved: quota.reserved});
	return {...fillLinkQuota(quota, now), reserved: quota.reserved - bytes};
}

/** Charges bytes that crossed without a reservation against later reservations; the tokens may become negative. */
export function chargeLinkBytes(quota: LinkQuota, bytes: number): LinkQuota {
	return {...quota, tokens: quota.tokens - bytes};
}

/** Releases reserved bytes that didn't cross. */
export function releaseLinkBytes(quota: LinkQuota, bytes: number, now: number): LinkQuota {
	assertInvariant(bytes <= quota.reserved, 'bytes released on a link are at most those reserved', {bytes, reserved: quota.reserved});
	const filled = fillLinkQuota(quota, now);
	return limitTokens({...filled, tokens: filled.tokens + bytes, reserved: quota.reserved - bytes});
}

/** Milliseconds until that many bytes can be reserved; infinite at a rate of 0. */
export function getLinkDelay(quota: LinkQuota, bytes: number): number {
	const missing = bytes - quota.tokens;
	return missing <= 0 ? 0 : missing * millisecondsPerSecond / quota.allocation.rate;
}

/**
 * The class that reserves next: interactive requests first, but bulk requests
 * keep a minimum fraction of the bytes. `interactiveBytes` is how many
 * interactive bytes have crossed in succession while a bulk request waited.
 */
export function getNextLinkClass(waiting: WaitingLinkBytes, interactiveBytes: number): RequestClass | undefined {
	const {interactive, bulk} = waiting;
	if (interactive === undefined) {
		return bulk === undefined ? undefined : 'bulk';
	}

	const isBulkNext = bulk !== undefined && interactiveBytes * bulkFraction >= bulk * (1 - bulkFraction);
	return isBulkNext ? 'bulk' : 'interactive';
}

function limitTokens(quota: LinkQuota): LinkQuota {
	return {...quota, tokens: Math.min(quota.tokens, Math.max(0, quota.allocation.burst - quota.reserved))};
}
