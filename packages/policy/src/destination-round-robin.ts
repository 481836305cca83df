/**
 * Smooth weighted round robin over the destinations of one route. The shares
 * are accurate even over few requests.
 *
 * Source: nginx, 2012.
 */
import type {Destination} from './traffic-configuration.js';

export type DestinationRoundRobin = {
	/** Returns the service for the next request, or undefined if there are no destinations. */
	next: () => string | undefined;
};

export function createDestinationRoundRobin(destinations: readonly Destination[]): DestinationRoundRobin {
	const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
	const states = destinations.map(({service, weight}) => ({service, weight, credit: 0}));
	return {
		next() {
			for (const state of states) {
				state.credit += state.weight;
			}

			const [chosen] = states.toSorted((left, right) => right.credit - left.credit);
			if (chosen) {
				chosen.credit -= total;
			}

			return chosen?.service;
		},
	};
}
