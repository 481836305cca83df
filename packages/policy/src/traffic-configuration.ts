/**
 * Configuration from which a gateway routes requests: routes by host and path
 * prefix, customers with their keys and quotas, services, and the targets that
 * are currently registered.
 */
import * as z from 'zod';

const milliseconds = z.number().min(0);

export const destinationSchema = z.object({service: z.string(), weight: z.number().positive()});

export const trafficRouteSchema = z.object({
	name: z.string(),
	host: z.string(),
	/** Begins and ends with a slash; the longest matching prefix of a path wins. */
	prefix: z.string(),
	/** Whether a request may run more than once. */
	isIdempotent: z.boolean(),
	/** Whether the route requires no API key. */
	isOpen: z.boolean(),
	/** Whether targets respond faster for objects that they handled recently. */
	isSticky: z.boolean(),
	/** Requests are split over these services by weight. */
	destinations: z.array(destinationSchema).min(1),
	/** Maximum time for which a request is kept waiting; undefined for no limit. */
	timeoutMilliseconds: milliseconds.optional(),
	/** A response within this time has its full value. */
	targetLatencyMilliseconds: milliseconds.optional(),
	/** 0 is the most urgent. */
	priority: z.int().min(0),
	/** Maximum number of targets to which one request may be sent. */
	maximumAttempts: z.int().min(1),
	/** Regions that may serve the route; empty for all. */
	regions: z.array(z.string()),
});

export const trafficServiceSchema = z.object({
	name: z.string(),
	/** Requests per second that a cold target can serve; undefined for no limit. */
	warmupRequestsPerSecond: z.number().positive().optional(),
});

export const trafficCustomerSchema = z.object({
	name: z.string(),
	/** SHA-256 of each key in hexadecimal. */
	keyHashes: z.array(z.string()),
	/** Overrides the priority of the route. */
	priority: z.int().min(0).optional(),
	/** Requests per second over the whole fleet; undefined for no limit. */
	ratePerSecond: z.number().positive().optional(),
	burst: z.number().min(0),
	/** Regions that may serve the customer; empty for all. */
	regions: z.array(z.string()),
});

export const callerLimitsSchema = z.object({
	headerBytes: z.int().positive(),
	bodyBytes: z.int().positive(),
	headerTimeoutMilliseconds: milliseconds,
	idleTimeoutMilliseconds: milliseconds,
});

export const trafficConfigurationSchema = z.object({
	version: z.int(),
	routes: z.array(trafficRouteSchema),
	services: z.array(trafficServiceSchema),
	customers: z.array(trafficCustomerSchema),
	limits: callerLimitsSchema,
});

export const trafficTargetSchema = z.object({
	id: z.string(),
	/** Revision of the target's registration; increases with each change. */
	revision: z.int(),
	/** Distinguishes starts with the same identifier; milliseconds since the epoch. */
	startedAt: z.number(),
	service: z.string(),
	/** IP address and port. */
	address: z.string(),
	zone: z.string(),
	region: z.string(),
	version: z.string(),
	slots: z.int().positive(),
	isLeaving: z.boolean(),
	/** Remaining time for which the target is cold, from its latest registration. */
	coldForMilliseconds: milliseconds,
});

/** An operator's order to move a service to a version within the given time. */
export const versionOrderSchema = z.object({
	service: z.string(),
	version: z.string(),
	/** Revision of the order's row; a later order of the same service has a higher one. */
	revision: z.int(),
	durationMilliseconds: milliseconds,
});

export type Destination = z.infer<typeof destinationSchema>;
export type TrafficRoute = z.infer<typeof trafficRouteSchema>;
export type TrafficService = z.infer<typeof trafficServiceSchema>;
export type TrafficCustomer = z.infer<typeof trafficCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type TrafficConfiguration = z.infer<typeof trafficConfigurationSchema>;
export type TrafficTarget = z.infer<typeof trafficTargetSchema>;
export type VersionOrder = z.infer<typeof versionOrderSchema>;

/** Returns the regions allowed by both the route and the customer, where an empty list allows all. Undefined means every region. */
export function getAllowedRegions(route: TrafficRoute, customer: TrafficCustomer | undefined): ReadonlySet<string> | undefined {
	const lists = [route.regions, customer?.regions ?? []].filter(list => list.length > 0);
	if (lists.length === 0) {
		return undefined;
	}

	const [first = [], ...others] = lists;
	return new Set(first.filter(region => others.every(list => list.includes(region))));
}

/** Returns the priority of a request; 0 is the most urgent. */
export function getPriority(route: TrafficRoute, customer: TrafficCustomer | undefined): number {
	return customer?.priority ?? route.priority;
}
