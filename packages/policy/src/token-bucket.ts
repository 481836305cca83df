/**
 * A token bucket that accrues tokens at a rate up to the burst. Its creator
 * chooses whether it starts empty or full; a full bucket allows a burst at once.
 *
 * Source: Turner, "New directions in communications", IEEE Communications
 * Magazine 24(10), 1986.
 */
import {millisecondsPerSecond} from '@catkindale/common';

export type TokenBucket = {
	/** Tokens per second. */
	readonly rate: number;
	readonly burst: number;
	readonly tokens: number;
	/** Monotonic time in milliseconds up to which tokens have been added. */
	readonly filledAt: number;
};

export function createTokenBucket(rate: number, burst: number, tokens: number, now: number): TokenBucket {
	return {
		rate, burst, tokens: Math.min(tokens, burst), filledAt: now,
	};
}

/** Adds the tokens accrued since the last call. An infinite rate fills the bucket at once. */
export function fillTokenBucket(bucket: TokenBucket, now: number): TokenBucket {
	const elapsed = Math.max(0, now - bucket.filledAt);
	const added = bucket.rate === Number.POSITIVE_INFINITY ? bucket.burst : bucket.rate * elapsed / millisecondsPerSecond;
	const tokens = Math.min(bucket.burst, bucket.tokens + added);
	return {...bucket, tokens, filledAt: Math.max(now, bucket.filledAt)};
}

/** Takes one token; undefined if there is none. The bucket must be filled. */
export function takeToken<Bucket extends {readonly tokens: number}>(bucket: Bucket): Bucket | undefined {
	return bucket.tokens >= 1 ? {...bucket, tokens: bucket.tokens - 1} : undefined;
}

/** Milliseconds until the bucket holds a whole token; 0 if it does now. The bucket must be filled. */
export function getTokenDelay({rate, tokens}: TokenBucket): number {
	return tokens >= 1 ? 0 : (1 - tokens) / rate * millisecondsPerSecond;
}
