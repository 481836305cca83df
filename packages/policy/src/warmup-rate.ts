/**
 * Limits the requests to a cold target to the rate that it can serve. The rate
 * is divided among the first nodes of a ranking that is the same on all nodes.
 * The other nodes send nothing to the target until it is warm.
 */
import {rankMembers} from '@catkindale/common';
import {type TokenBucket, fillTokenBucket, takeToken} from './token-bucket.js';

/** Number of nodes that may send to one cold target. With more of them, each would have less than one request at a time. */
export const warmupNodesPerTarget = 2;

/** A token bucket without its rate, which changes with the nodes and the configuration. */
export type WarmupBucket = Pick<TokenBucket, 'tokens' | 'filledAt'>;

/** Number of requests that may be sent at once. */
const burst = 1;

/** Returns the part of a cold target's rate that the node may use, in requests per second. */
export function getWarmupNodeRate(ownId: string, nodeIds: readonly string[], targetId: string, ratePerSecond: number): number {
	const ranked = rankMembers(targetId, nodeIds.map(id => ({id})));
	const nodes = ranked.slice(0, warmupNodesPerTarget);
	return nodes.some(({id}) => id === ownId) ? ratePerSecond / nodes.length : 0;
}

export function createWarmupBucket(now: number): WarmupBucket {
	return {tokens: burst, filledAt: now};
}

/**
 * Takes the token of one request; returns undefined if none is available.
 * @param nodeRatePerSecond infinite if the target's service has no warmup rate
 */
export function takeWarmupToken(bucket: WarmupBucket, nodeRatePerSecond: number, now: number): WarmupBucket | undefined {
	return nodeRatePerSecond > 0 ? takeToken(fillTokenBucket({...bucket, rate: nodeRatePerSecond, burst}, now)) : undefined;
}
