/** Indexes a traffic configuration for the lookups that a gateway makes for each request. */
import createRouter from 'find-my-way';
import {hashText} from '@catkindale/common';
import {
	type DestinationRoundRobin, type TrafficConfiguration, type TrafficCustomer, type TrafficRoute, type TrafficService, createDestinationRoundRobin,
} from '@catkindale/policy';

export type TrafficRouter = {
	readonly configuration: TrafficConfiguration;
	/** The route of the host with the longest matching prefix of the path; undefined if none matches. */
	findRoute: (host: string, path: string) => TrafficRoute | undefined;
	findCustomer: (key: string) => TrafficCustomer | undefined;
	getService: (name: string) => TrafficService | undefined;
	/** The service for the next request of the route. */
	chooseDestination: (route: TrafficRoute) => string | undefined;
};

/** Prefixes match all methods, so all routes are registered under a single one. */
const anyMethod = 'GET';
const maximumCachedKeys = 10_000;

export function createTrafficRouter(configuration: TrafficConfiguration): TrafficRouter {
	const router = createRouter({ignoreTrailingSlash: false, caseSensitive: true});
	for (const route of configuration.routes) {
		router.on(anyMethod, `${escapePattern(route.prefix)}*`, {constraints: {host: route.host}}, () => undefined, route);
	}

	const customers = new Map(configuration.customers.flatMap(customer => customer.keyHashes.map(hash => [hash, customer] as const)));
	const services = new Map(configuration.services.map(service => [service.name, service]));
	const customersByKey = new Map<string, TrafficCustomer | undefined>();
	const findCustomer = (key: string): TrafficCustomer | undefined => {
		// Each key is hashed only once; the limit keeps unknown keys from filling the memory.
		if (!customersByKey.has(key)) {
			if (customersByKey.size >= maximumCachedKeys) {
				customersByKey.clear();
			}

			customersByKey.set(key, customers.get(hashText(key)));
		}

		return customersByKey.get(key);
	};

	const roundRobins = new Map<string, DestinationRoundRobin>();
	return {
		configuration,
		findRoute(host, path) {
			const match: {readonly store: TrafficRoute} | null = router.find(anyMethod, path, {host});
			return match?.store;
		},
		findCustomer,
		getService: name => services.get(name),
		chooseDestination(route) {
			const [first, ...others] = route.destinations;
			if (others.length === 0) {
				return first?.service;
			}

			const roundRobin = roundRobins.get(route.name) ?? createDestinationRoundRobin(route.destinations);
			roundRobins.set(route.name, roundRobin);
			return roundRobin.next();
		},
	};
}

/** Escapes colons, which would begin a parameter. */
function escapePattern(prefix: string): string {
	return prefix.replaceAll(':', '::');
}
