/**
 * Splits the requests of one route over its destinations by counting, so that
 * each share is met closely also over a few requests.
 *
 * Source: the smooth weighted round robin of nginx, 2012.
 */
import type {Destination} from './traffic-configuration.js';

export type DestinationRoundRobin = {
	/** The service for the next request; undefined without destinations. */
	next: () => string | undefined;
};

export function createDestinationRoundRobin(destinations: readonly Destination[]): DestinationRoundRobin {
	const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
	const entries = destinations.map(({service, weight}) => ({service, weight, credit: 0}));
	return {
		next() {
			for (const entry of entries) {
				entry.credit += entry.weight;
			}

			const [first] = entries.toSorted((left, right) => right.credit - left.credit);
			if (first) {
				first.credit -= total;
			}

			return first?.service;
		},
	};
}
