/**
 * Holds a cold target to the rate that it bears. The rate is split over few
 * nodes, the first of an order that all nodes share; the others send nothing
 * there until it is warm.
 */
import {rankMembers} from '@catkindale/common';
import {type TokenBucket, fillTokenBucket, takeToken} from './token-bucket.js';

/** Nodes that may send to one cold target. More would leave each less than a request at a time. */
export const warmupNodesPerTarget = 2;

/** The rate itself changes with the nodes and the configuration. */
export type WarmupBucket = Pick<TokenBucket, 'tokens' | 'filledAt'>;

/** Requests that may be sent at once. */
const burst = 1;

/** The share of a cold target's rate that the node may use, in requests per second. */
export function getWarmupNodeRate(ownId: string, nodeIds: readonly string[], targetId: string, ratePerSecond: number): number {
	const ranked = rankMembers(targetId, nodeIds.map(id => ({id})));
	const senders = ranked.slice(0, warmupNodesPerTarget);
	return senders.some(({id}) => id === ownId) ? ratePerSecond / senders.length : 0;
}

export function createWarmupBucket(now: number): WarmupBucket {
	return {tokens: burst, filledAt: now};
}

/**
 * Takes one request from the rate; undefined if there is none now.
 * @param sharePerSecond infinite where the target's service tells no rate
 */
export function takeWarmupToken(rate: WarmupBucket, sharePerSecond: number, now: number): WarmupBucket | undefined {
	return sharePerSecond > 0 ? takeToken(fillTokenBucket({...rate, rate: sharePerSecond, burst}, now)) : undefined;
}
