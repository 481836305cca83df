/**
 * Holds a cold target to the rate that it bears. The rate is split over few
 * nodes, the first of an order that all nodes share; the others send nothing
 * there until it is warm.
 */
import {rankMembers} from '@catkindale/common';

/** Nodes that may send to one cold target. More would leave each less than a request at a time. */
export const warmupSenders = 2;

export type WarmupRate = {readonly tokens: number; readonly filledAt: number};

/** The share of a cold target's rate that the node may use, in requests per second. */
export function getWarmupShare(ownId: string, nodeIds: readonly string[], targetId: string, ratePerSecond: number): number {
	const ranked = rankMembers(targetId, nodeIds.map(id => ({id})));
	const senders = ranked.slice(0, warmupSenders);
	return senders.some(({id}) => id === ownId) ? ratePerSecond / senders.length : 0;
}

export function createWarmupRate(now: number): WarmupRate {
	return {tokens: 1, filledAt: now};
}

/** Takes one request from the rate; undefined if there is none now. */
export function takeWarmupRequest(rate: WarmupRate, sharePerSecond: number, now: number): WarmupRate | undefined {
	const tokens = Math.min(1, rate.tokens + (Math.max(0, now - rate.filledAt) / 1000 * sharePerSecond));
	return tokens >= 1 && sharePerSecond > 0 ? {tokens: tokens - 1, filledAt: now} : undefined;
}
