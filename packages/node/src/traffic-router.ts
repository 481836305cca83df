/** Indexes a traffic configuration for the lookups that a gateway makes for each request. */
import {hashText} from '@catkindale/common';
import {
	type DestinationRoundRobin, type PathPrefixes, type TrafficConfiguration, type TrafficCustomer, type TrafficRoute, type TrafficService,
	createDestinationRoundRobin, createPathPrefixes, encodePath, encodeReceivedPath, isPathPrefix,
} from '@catkindale/policy';
import {decodeHeaderText} from './request-headers.js';

export type TrafficRouter = {
	readonly configuration: TrafficConfiguration;
	/** Routes that are never used: an earlier one has the same host and prefix, or the prefix doesn't begin and end with a slash. */
	readonly unusedRoutes: readonly TrafficRoute[];
	/**
	 * The route of the host with the longest matching prefix of the path; undefined if none matches.
	 * @param host the `Host` header, as received
	 * @param url the target of the request, as received
	 */
	findRoute: (host: string, url: string) => TrafficRoute | undefined;
	findCustomer: (key: string) => TrafficCustomer | undefined;
	getCustomer: (name: string) => TrafficCustomer | undefined;
	getService: (name: string) => TrafficService | undefined;
	/** The service for the next request of the route. */
	chooseDestination: (route: TrafficRoute) => string | undefined;
};

const maximumCachedKeys = 10_000;
const portSuffix = /:\d+$/v;
/** What precedes the path in the absolute form of a request target. */
const originPattern = /^[a-z][a-z\d+.\-]*:\/\/[^\/]*/iv;

export function createTrafficRouter(configuration: TrafficConfiguration): TrafficRouter {
	const prefixesByHost = new Map<string, PathPrefixes<TrafficRoute>>();
	const unusedRoutes: TrafficRoute[] = [];
	for (const route of configuration.routes) {
		const host = normalizeHost(route.host);
		const prefixes = prefixesByHost.get(host) ?? createPathPrefixes();
		prefixesByHost.set(host, prefixes);
		if (!isPathPrefix(route.prefix) || !prefixes.add(encodePath(route.prefix), route)) {
			unusedRoutes.push(route);
		}
	}

	const customers = new Map(configuration.customers.flatMap(customer => customer.keyHashes.map(hash => [hash, customer] as const)));
	const customersByName = new Map(configuration.customers.map(customer => [customer.name, customer]));
	const services = new Map(configuration.services.map(service => [service.name, service]));
	const customersByKey = new Map<string, TrafficCustomer | undefined>();
	const findCustomer = (key: string): TrafficCustomer | undefined => {
		// Each key is hashed only once; the limit keeps unknown keys from filling the memory.
		if (!customersByKey.has(key)) {
			if (customersByKey.size >= maximumCachedKeys) {
				customersByKey.clear();
			}

			customersByKey.set(key, customers.get(hashText(decodeHeaderText(key))));
		}

		return customersByKey.get(key);
	};

	const roundRobins = new Map<TrafficRoute, DestinationRoundRobin>();
	return {
		configuration,
		unusedRoutes,
		findRoute: (host, url) => prefixesByHost.get(normalizeHost(decodeHeaderText(host)))?.find(getPath(url)),
		findCustomer,
		getCustomer: name => customersByName.get(name),
		getService: name => services.get(name),
		chooseDestination(route) {
			const [first, ...others] = route.destinations;
			if (others.length === 0) {
				return first?.service;
			}

			const roundRobin = roundRobins.get(route) ?? createDestinationRoundRobin(route.destinations);
			roundRobins.set(route, roundRobin);
			return roundRobin.next();
		},
	};
}

function normalizeHost(host: string): string {
	return host.replace(portSuffix, '').toLowerCase();
}

/** Returns the path of a request target, without its origin and query. */
function getPath(url: string): string {
	const [path = ''] = url.split('?', 1);
	return encodeReceivedPath(path.startsWith('/') ? path : path.replace(originPattern, ''));
}
