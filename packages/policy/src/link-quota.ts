/**
 * One node's part of the bytes that may cross the link from one region to
 * another: a token bucket whose tokens are reserved before bytes may come and
 * used when they have come. What is reserved counts against the burst, so that
 * in any window the bytes of all nodes stay within the link's burst and rate,
 * however long a reservation waits for its bytes.
 */
import {assertInvariant, millisecondsPerSecond} from '@catkindale/common';
import type {RequestClass} from './configuration.js';

/** Bytes per second, and at once, that a node may let cross without asking. */
export type LinkAllocation = {readonly rate: number; readonly burst: number};

export type LinkQuota = {
	readonly allocation: LinkAllocation;
	/** Bytes that may be reserved now. */
	readonly tokens: number;
	/** Bytes that are reserved and haven't crossed. */
	readonly reserved: number;
	/** The monotonic time up to which tokens have been added. */
	readonly filledAt: number;
};

/** The bytes that wait for a class's next reservation; undefined if none waits. */
export type WaitingLinkBytes = Record<RequestClass, number | undefined>;

export const emptyLinkAllocation: LinkAllocation = {rate: 0, burst: 0};

/** Of the bytes that cross while both classes wait, the part that bulk requests keep. */
const bulkShare = 0.1;

export function createLinkQuota(now: number): LinkQuota {
	return {
		allocation: emptyLinkAllocation, tokens: 0, reserved: 0, filledAt: now,
	};
}

/** Adds the tokens that have grown since the last call. */
export function fillLinkQuota(quota: LinkQuota, now: number): LinkQuota {
	const grown = quota.allocation.rate * Math.max(0, now - quota.filledAt) / millisecondsPerSecond;
	return limitTokens({...quota, tokens: quota.tokens + grown, filledAt: Math.max(now, quota.filledAt)});
}

/** Lowers the floor to at most the given one. */
export function reduceLinkAllocation(quota: LinkQuota, floor: LinkAllocation, now: number): LinkQuota {
	const filled = fillLinkQuota(quota, now);
	const lowered = {rate: Math.min(filled.allocation.rate, floor.rate), burst: Math.min(filled.allocation.burst, floor.burst)};
	return limitTokens({...filled, allocation: lowered});
}

/** Sets the floor; what it gains starts empty. */
export function setLinkAllocation(quota: LinkQuota, floor: LinkAllocation, now: number): LinkQuota {
	return limitTokens({...fillLinkQuota(quota, now), allocation: floor});
}

/** Whether more is reserved than the floor's burst. */
export function isLinkOverAllocated(quota: LinkQuota): boolean {
	return quota.reserved > quota.allocation.burst;
}

/** Reserves bytes; undefined if there are too few tokens. The quota must be filled. */
export function reserveLinkBytes(quota: LinkQuota, bytes: number): LinkQuota | undefined {
	return quota.tokens >= bytes ? {...quota, tokens: quota.tokens - bytes, reserved: quota.reserved + bytes} : undefined;
}

/** Notes that reserved bytes have crossed. Time that found the bucket full makes no tokens for the room that they leave. */
export function consumeLinkBytes(quota: LinkQuota, bytes: number, now: number): LinkQuota {
	assertInvariant(bytes <= quota.reserved, 'bytes that cross a link are reserved', {bytes, reserved: quota.reserved});
	return {...fillLinkQuota(quota, now), reserved: quota.reserved - bytes};
}

/** Counts bytes that crossed without a reservation; they are missing from what may cross next. */
export function chargeLinkBytes(quota: LinkQuota, bytes: number): LinkQuota {
	return {...quota, tokens: quota.tokens - bytes};
}

/** Gives back reserved bytes that didn't cross. */
export function releaseLinkBytes(quota: LinkQuota, bytes: number, now: number): LinkQuota {
	assertInvariant(bytes <= quota.reserved, 'only reserved bytes are given back', {bytes, reserved: quota.reserved});
	const filled = fillLinkQuota(quota, now);
	return limitTokens({...filled, tokens: filled.tokens + bytes, reserved: quota.reserved - bytes});
}

/** Milliseconds until so many bytes can be reserved; infinite if they never can. */
export function getLinkDelay(quota: LinkQuota, bytes: number): number {
	const missing = bytes - quota.tokens;
	return missing <= 0 ? 0 : missing * millisecondsPerSecond / quota.allocation.rate;
}

/**
 * The class that reserves next: interactive requests first, but bulk requests
 * keep a part. `interactiveBytes` have crossed in succession while bulk waited.
 */
export function getNextLinkClass(waits: WaitingLinkBytes, interactiveBytes: number): RequestClass | undefined {
	const {interactive, bulk} = waits;
	if (interactive === undefined) {
		return bulk === undefined ? undefined : 'bulk';
	}

	const isBulkDue = bulk !== undefined && interactiveBytes * bulkShare >= bulk * (1 - bulkShare);
	return isBulkDue ? 'bulk' : 'interactive';
}

function limitTokens(quota: LinkQuota): LinkQuota {
	return {...quota, tokens: Math.min(quota.tokens, Math.max(0, quota.allocation.burst - quota.reserved))};
}
