/** The delays after which a hedged attempt is sent to a second target: a high quantile of the route's recent latencies. */
import {
	type LatencyCounts, type Route, createLatencyCounts, getLatencyQuantile, updateLatencyCounts,
} from '@catkindale/policy';

export type HedgeDelays = {
	recordLatency: (route: Route, milliseconds: number) => void;
	/** Undefined if the route isn't hedged or its latencies aren't known yet. */
	getDelay: (route: Route) => number | undefined;
};

const hedgeQuantile = 0.95;

export function createHedgeDelays(): HedgeDelays {
	const countsByRoute = new Map<string, LatencyCounts>();
	return {
		recordLatency(route, milliseconds) {
			if (route.hedge && route.idempotent) {
				const name = getRouteName(route);
				countsByRoute.set(name, updateLatencyCounts(countsByRoute.get(name) ?? createLatencyCounts(), milliseconds));
			}
		},
		getDelay(route) {
			const counts = route.hedge && route.idempotent ? countsByRoute.get(getRouteName(route)) : undefined;
			return counts && getLatencyQuantile(counts, hedgeQuantile);
		},
	};
}

function getRouteName(route: Route): string {
	return `${route.service} ${route.method} ${route.path}`;
}
