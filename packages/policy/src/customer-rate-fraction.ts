/**
 * Splits a customer's rate over the nodes by what each of them was asked for
 * lately, told in heartbeats. The shares of all nodes add up to the rate; a
 * silent node keeps its last share until it must have given it up, and a node
 * that hears from nobody falls back to an equal part.
 */

export type RateFractionInput = {
	readonly ownId: string;
	/** Requests per second at every node that may use a share now, this one included. */
	readonly demands: ReadonlyMap<string, number>;
};

/** Each node may have this part of an equal share in any case, so that a first request isn't refused. */
const floorPart = 0.25;

/** The node's part of the rate, from 0 to 1. */
export function getCustomerRateFraction({ownId, demands}: RateFractionInput): number {
	const nodes = Math.max(1, demands.size);
	let total = 0;
	for (const demand of demands.values()) {
		total += demand;
	}

	const floor = floorPart / nodes;
	const own = demands.get(ownId) ?? 0;
	const byDemand = total > 0 ? own / total : 1 / nodes;
	return floor + ((1 - floorPart) * byDemand);
}
