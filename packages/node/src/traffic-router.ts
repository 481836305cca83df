/** A traffic configuration in the form that a gateway needs for each request. */
import createRouter from 'find-my-way';
import {hashText} from '@catkindale/common';
import {
	type DestinationRoundRobin, type TrafficConfiguration, type TrafficCustomer, type TrafficRoute, type TrafficService, createDestinationRoundRobin,
} from '@catkindale/policy';

export type TrafficRouter = {
	readonly configuration: TrafficConfiguration;
	/** The route of the host with the longest prefix that begins the path; undefined if none does. */
	findRoute: (host: string, path: string) => TrafficRoute | undefined;
	findCustomer: (key: string) => TrafficCustomer | undefined;
	getService: (name: string) => TrafficService | undefined;
	/** The service for the next request of the route. */
	chooseDestination: (route: TrafficRoute) => string | undefined;
};

/** Prefixes hold for all methods, so that the router needs only one. */
const anyMethod = 'GET';
const mostRememberedKeys = 10_000;

export function createTrafficRouter(configuration: TrafficConfiguration): TrafficRouter {
	const router = createRouter({ignoreTrailingSlash: false, caseSensitive: true});
	for (const route of configuration.routes) {
		router.on(anyMethod, `${escapePattern(route.prefix)}*`, {constraints: {host: route.host}}, () => undefined, route);
	}

	const customers = new Map(configuration.customers.flatMap(customer => customer.keyHashes.map(hash => [hash, customer] as const)));
	const services = new Map(configuration.services.map(service => [service.name, service]));
	const customersByKey = new Map<string, TrafficCustomer | undefined>();
	const findCustomer = (key: string): TrafficCustomer | undefined => {
		// A key that came before needs no hash; unknown keys mustn't fill the memory.
		if (!customersByKey.has(key)) {
			if (customersByKey.size >= mostRememberedKeys) {
				customersByKey.clear();
			}

			customersByKey.set(key, customers.get(hashText(key)));
		}

		return customersByKey.get(key);
	};

	const counters = new Map<string, DestinationRoundRobin>();
	return {
		configuration,
		findRoute(host, path) {
			const found: {readonly store: TrafficRoute} | null = router.find(anyMethod, path, {host});
			return found?.store;
		},
		findCustomer,
		getService: name => services.get(name),
		chooseDestination(route) {
			const [only, ...others] = route.destinations;
			if (others.length === 0) {
				return only?.service;
			}

			const counter = counters.get(route.name) ?? createDestinationRoundRobin(route.destinations);
			counters.set(route.name, counter);
			return counter.next();
		},
	};
}

/** A colon would begin a parameter. */
function escapePattern(prefix: string): string {
	return prefix.replaceAll(':', '::');
}
