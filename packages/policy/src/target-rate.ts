/**
 * Limits the requests to a target to a rate for all nodes together: that of a
 * cold target, or the limit that a target names while it is in need. Each node
 * uses its own part of the rate, so that no request has to ask another node.
 * Each node may be one request ahead of its part, so a low rate is divided
 * among few nodes; the others send nothing to the target meanwhile.
 */
import {rankMembers} from '@catkindale/common';
import {
	type TokenBucket, fillTokenBucket, getTokenDelay, takeToken,
} from './token-bucket.js';

/** A token bucket without its rate, which changes with the nodes, the configuration and the target. */
export type RateBucket = Pick<TokenBucket, 'tokens' | 'filledAt'>;

/** A node that may send requests to a target. */
export type RateNode = {
	readonly id: string;
	/** Undefined if it isn't known. */
	readonly region: string | undefined;
	/** Requests per second that the node receives. */
	readonly demand: number;
};

export type RateTarget = {readonly id: string; readonly region: string};

export type LimitShareInput = {
	readonly ownId: string;
	/** This node and all others whose demand is known, in the order of {@link rankLimitNodes}. */
	readonly nodes: readonly RateNode[];
	/** Number of all nodes, including those whose demand isn't known. */
	readonly knownNodes: number;
	readonly target: RateTarget;
	readonly limitPerSecond: number;
};

/** Number of nodes that may send to one cold target. With more of them, each would have less than one request at a time. */
export const warmupNodesPerTarget = 2;
/** Number of requests that may be sent at once. */
const burst = 1;
/** Nodes per request per second of a target's limit; all of them may send a request at the same moment. */
const limitNodesPerRequest = 1.5;
const minimumLimitNodes = 2;
/** A lower limit is rounded up to this one: only a response can show that the limit has ended. */
export const minimumLimitPerSecond = 0.5;
/** Nodes of another region reach the target at a higher cost and use little of their part. */
const remoteWeight = 0.25;
/** The fraction of the limit that doesn't depend on demand, so that a node's first requests have a part. */
const guaranteedFraction = 0.25;

/** Returns the part of a cold target's rate that the node may use, in requests per second. */
export function getWarmupNodeRate(ownId: string, nodeIds: readonly string[], targetId: string, ratePerSecond: number): number {
	const ranked = rankMembers(targetId, nodeIds.map(id => ({id})));
	const nodes = ranked.slice(0, warmupNodesPerTarget);
	return nodes.some(({id}) => id === ownId) ? ratePerSecond / nodes.length : 0;
}

/** Returns the nodes in the order in which they get parts of the target's limit: those of its region first. It depends on no demand. */
export function rankLimitNodes<Node extends Pick<RateNode, 'id' | 'region'>>(target: RateTarget, nodes: readonly Node[]): Node[] {
	const ranked = rankMembers(target.id, nodes);
	return [...ranked.filter(({region}) => region === target.region), ...ranked.filter(({region}) => region !== target.region)];
}

/**
 * Returns the part of a target's limit that the node may use, in requests per
 * second. A node that knows the demands of at most half of the nodes may be cut
 * off from a majority that uses the whole limit, and uses less than an equal part.
 */
export function getLimitNodeRate({ownId, nodes, knownNodes, target, limitPerSecond}: LimitShareInput): number {
	const limit = Math.max(minimumLimitPerSecond, limitPerSecond);
	if (nodes.length * 2 <= knownNodes) {
		return limit / (2 * knownNodes);
	}

	const maximumSenders = Math.max(minimumLimitNodes, Math.floor(limitNodesPerRequest * limit));
	const isLocal = ({region}: RateNode): boolean => region === target.region;
	const senders = nodes.slice(0, maximumSenders);
	const meanDemand = senders.reduce((total, {demand}) => total + demand, 0) / senders.length;
	const getWeight = (node: RateNode): number => {
		const demandWeight = meanDemand > 0 ? node.demand / meanDemand : 1;
		return (isLocal(node) ? 1 : remoteWeight) * (guaranteedFraction + ((1 - guaranteedFraction) * demandWeight));
	};

	const own = senders.find(({id}) => id === ownId);
	return own ? limit * getWeight(own) / senders.reduce((total, node) => total + getWeight(node), 0) : 0;
}

export function createRateBucket(now: number): RateBucket {
	return {tokens: burst, filledAt: now};
}

/**
 * Takes the token of one request; returns undefined if none is available.
 * @param nodeRatePerSecond infinite if the target has no limit
 */
export function takeRateToken(bucket: RateBucket, nodeRatePerSecond: number, now: number): RateBucket | undefined {
	return nodeRatePerSecond > 0 ? takeToken(fillTokenBucket({...bucket, rate: nodeRatePerSecond, burst}, now)) : undefined;
}

/** Returns the milliseconds until a token is available; infinite without a rate. */
export function getRateTokenDelay(bucket: RateBucket, nodeRatePerSecond: number, now: number): number {
	return nodeRatePerSecond > 0 ? getTokenDelay(fillTokenBucket({...bucket, rate: nodeRatePerSecond, burst}, now)) : Number.POSITIVE_INFINITY;
}
