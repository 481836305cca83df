/** Indexes a configuration for the lookups that an entry makes for each request. */
import createRouter, {type HTTPMethod, type HTTPVersion, type Instance} from 'find-my-way';
import {getErrorMessage, hashText} from '@catkindale/common';
import type {
	Configuration, ConfigurationIssue, Customer, Route, Target,
} from '@catkindale/policy';

export type RoutingTable = {
	/** The route of a request; undefined if none matches. */
	findRoute: (method: string, path: string) => Route | undefined;
	/** The customer that holds the key; undefined for an unknown or withdrawn key. */
	findCustomer: (key: string) => Customer | undefined;
	readonly customers: readonly Customer[];
	/** The targets of a service in the given version that aren't drained. */
	getTargets: (service: string, version: string) => readonly Target[];
};

type RouterInstance = Instance<HTTPVersion.V1>;
type RouteMatch = {readonly store: Route};

const tablesByConfiguration = new WeakMap<Configuration, RoutingTable>();

/** Returns the routing table of a configuration, which is created once and shared. */
export function getRoutingTable(configuration: Configuration): RoutingTable {
	const existing = tablesByConfiguration.get(configuration);
	if (existing) {
		return existing;
	}

	const table = createRoutingTable(configuration);
	tablesByConfiguration.set(configuration, table);
	return table;
}

export function createRoutingTable(configuration: Configuration): RoutingTable {
	const {router} = registerRoutes(configuration.routes);
	const customers = new Map(configuration.customers.map(customer => [customer.name, customer]));
	const customersByHash = new Map(configuration.keys.map(key => [key.hash, customers.get(key.customer)]));
	const targets = getTargetsByPool(configuration);
	return {
		findRoute(method, path) {
			const match: RouteMatch | null = router.find(method as HTTPMethod, path); // eslint-disable-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument
			return match?.store;
		},
		findCustomer: key => customersByHash.get(hashText(key)),
		customers: configuration.customers,
		getTargets: (service, version) => targets.get(getPoolName(service, version)) ?? [],
	};
}

/** Returns the routes whose paths can't be used together with those before them. */
export function findRouteIssues(routes: readonly Route[]): ConfigurationIssue[] {
	return registerRoutes(routes).issues;
}

function registerRoutes(routes: readonly Route[]): {readonly router: RouterInstance; readonly issues: ConfigurationIssue[]} {
	const router = createRouter({ignoreTrailingSlash: false, caseSensitive: true});
	const issues: ConfigurationIssue[] = [];
	for (const [index, route] of routes.entries()) {
		try {
			router.on(route.method, decodePattern(route.path), () => undefined, route);
		} catch (error) {
			issues.push({path: ['routes', index, 'path'], reason: `"${route.path}" can't be used: ${getErrorMessage(error)}`});
		}
	}

	return {router, issues};
}

/** Decodes a path, as the router does with the paths of requests. One that is no encoding is used as it is. */
function decodePattern(path: string): string {
	try {
		return decodeURI(path);
	} catch {
		return path;
	}
}

function getTargetsByPool(configuration: Configuration): Map<string, Target[]> {
	const drained = new Set(configuration.drains.filter(drain => drain.kind === 'target').map(drain => drain.name));
	const serving = configuration.targets.filter(target => !drained.has(target.name));
	const targets = new Map<string, Target[]>();
	for (const target of serving) {
		const name = getPoolName(target.service, target.version);
		const pool = targets.get(name) ?? [];
		pool.push(target);
		targets.set(name, pool);
	}

	return targets;
}

function getPoolName(service: string, version: string): string {
	return `${service} ${version}`;
}
