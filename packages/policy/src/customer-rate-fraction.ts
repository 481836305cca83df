/**
 * Divides a customer's rate among the nodes by their recent demand, which
 * they report in heartbeats. The fractions of all nodes add up to 1. The input
 * keeps the last demand of an unresponsive node until that node must have
 * stopped using its fraction. Without any demand the nodes get equal fractions.
 * A node must not use the result while it has received the demands of too few
 * others: with only its own demand, its fraction would be 1.
 */

export type RateFractionInput = {
	readonly ownId: string;
	/** Requests per second at every node that may use a fraction now, this one included. */
	readonly demands: ReadonlyMap<string, number>;
	/** Number of nodes that may use a fraction, if it is higher than that of the demands. */
	readonly nodeCount?: number;
};

/** The fraction of the rate that is divided equally, so that a node's first request isn't refused. */
const guaranteedFraction = 0.25;

/** This node's fraction of the rate, from 0 to 1. */
export function getCustomerRateFraction({ownId, demands, nodeCount: minimumNodes = 1}: RateFractionInput): number {
	const nodeCount = Math.max(minimumNodes, demands.size);
	let total = 0;
	for (const demand of demands.values()) {
		total += demand;
	}

	const guaranteed = guaranteedFraction / nodeCount;
	const own = demands.get(ownId) ?? 0;
	const demandFraction = total > 0 ? own / total : 1 / nodeCount;
	return guaranteed + ((1 - guaranteedFraction) * demandFraction);
}
