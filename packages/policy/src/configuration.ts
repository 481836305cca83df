/**
 * The configuration that operators apply, as a schema and the types inferred
 * from it. A manifest is this configuration written in TOML.
 */
import * as z from 'zod';

const name = z.string().regex(/^[\p{L}\p{N}][\p{L}\p{N}_.\-]*$/v, 'must start with a letter or digit and hold only letters, digits, ".", "_" and "-"').max(100);
const positive = z.number().positive();
const share = z.number().min(0).max(1);
const defaultDeadlineMilliseconds = 10_000;
const minimumLinkBurstBytes = 262_144;
export const defaultMinimumRequests = 30;

/** Classes of requests: interactive ones go first, bulk ones keep a minimum share. */
export const requestClasses = ['interactive', 'bulk'] as const;

export const regionSchema = z.strictObject({name, zones: z.array(name).min(1)});

export const linkSchema = z.strictObject({
	from: name,
	to: name,
	/** Bytes of request and response bodies per second that may cross, over all nodes. */
	bytesPerSecond: positive,
	/** Bytes that may cross at once; by default those of one second, but at least the minimum. */
	burstBytes: z.int().min(minimumLinkBurstBytes).optional(),
});

export const customerSchema = z.strictObject({
	name,
	/** Maximum requests per second over the whole fleet. */
	rate: positive,
	/** Maximum requests at once over the whole fleet. */
	burst: z.int().positive(),
});

export const keySchema = z.strictObject({
	customer: name,
	/** SHA-256 of the key in hexadecimal. */
	hash: z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 in 64 hexadecimal digits'),
});

export const routeSchema = z.strictObject({
	service: name,
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	path: z.string().startsWith('/'),
	idempotent: z.boolean(),
	/** An open route needs no key. */
	open: z.boolean().default(false),
	class: z.enum(requestClasses).default('interactive'),
	deadlineMilliseconds: positive.default(defaultDeadlineMilliseconds),
	/** Whether the request may also be sent to a second target when the first is slow. */
	hedge: z.boolean().default(false),
});

export const serviceSchema = z.strictObject({
	name,
	/** The version that takes all traffic outside a rollout. */
	version: name,
});

export const targetSchema = z.strictObject({
	name,
	service: name,
	version: name,
	region: name,
	zone: name,
	/** IP address and port. */
	address: z.string(),
	/** Maximum requests in flight at the target from the whole fleet. */
	slots: z.int().positive(),
});

export const rolloutSchema = z.strictObject({
	name,
	service: name,
	from: name,
	to: name,
	/** ISO 8601 time by which the rollout must be complete; otherwise it is reverted. */
	deadline: z.iso.datetime({offset: true}),
	/** The maximum share that the new version may gain in one step. */
	cap: share.default(1),
	/** Requests that the new version must have served before its share becomes large. */
	minimumRequests: z.int().min(0).default(defaultMinimumRequests),
});

export const shiftSchema = z.strictObject({
	name,
	service: name,
	from: name,
	to: name,
	/** The share of the service's traffic from callers in `from` that moves to `to`. */
	share,
	/** The maximum share that may move within one window. */
	cap: share,
	windowSeconds: positive,
});

export const drainSchema = z.strictObject({
	kind: z.enum(['vm', 'target']),
	name,
});

export const clientBlockSchema = z.strictObject({
	/** An IPv4 or IPv6 prefix such as `10.1.0.0/16`. */
	prefix: z.union([z.cidrv4(), z.cidrv6()]),
	region: name,
});

export const configurationSchema = z.strictObject({
	regions: z.array(regionSchema).min(1),
	links: z.array(linkSchema).default([]),
	customers: z.array(customerSchema).default([]),
	keys: z.array(keySchema).default([]),
	services: z.array(serviceSchema).default([]),
	routes: z.array(routeSchema).default([]),
	targets: z.array(targetSchema).default([]),
	rollouts: z.array(rolloutSchema).default([]),
	shifts: z.array(shiftSchema).default([]),
	drains: z.array(drainSchema).default([]),
	/** Name of a snapshot in the object store, for blocks too many for the manifest. */
	clientBlockSnapshot: z.string().min(1).optional(),
	/** Blocks that take precedence over those of the snapshot. */
	clientBlocks: z.array(clientBlockSchema).default([]),
});

export type Region = z.infer<typeof regionSchema>;
export type Link = z.infer<typeof linkSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type CustomerKey = z.infer<typeof keySchema>;
export type Route = z.infer<typeof routeSchema>;
export type RequestClass = typeof requestClasses[number];
export type Service = z.infer<typeof serviceSchema>;
export type Target = z.infer<typeof targetSchema>;
export type Rollout = z.infer<typeof rolloutSchema>;
export type Shift = z.infer<typeof shiftSchema>;
export type Drain = z.infer<typeof drainSchema>;
export type ClientBlock = z.infer<typeof clientBlockSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
/** A configuration as written, in which fields with a default may be omitted. */
export type ConfigurationInput = z.input<typeof configurationSchema>;

/** A configuration with the version under which the table stores it. */
export type VersionedConfiguration = {
	readonly version: number;
	readonly configuration: Configuration;
};
