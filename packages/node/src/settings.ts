/** The settings of a node, read from a TOML file. All issues are reported together. */
import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import * as z from 'zod';
import {getErrorMessage, parseAddress} from '@catkindale/common';
import {gatewayRole, roles} from './constants.js';
import {SettingsError} from './errors.js';

const addressSchema = z.string().refine(text => parseAddress(text).ok, {
	error: issue => describeAddress(String(issue.input)),
});

const serviceSettingsSchema = z.strictObject({
	driver: z.string().default('http'),
	address: z.url(),
	timeoutMilliseconds: z.number().positive().default(1000),
	maximumCallsInFlight: z.int().positive().default(8),
});

/** Objects need a longer timeout than table rows because they may hold many megabytes. */
const objectTimeoutMilliseconds = 10_000;

const targetHealthSettingsSchema = z.strictObject({
	driver: z.string().default('http'),
	path: z.string().startsWith('/').default('/health'),
	timeoutMilliseconds: z.number().positive().default(1000),
	maximumCallsInFlight: z.int().positive().default(8),
});

const limitsSchema = z.strictObject({
	headerBytes: z.int().positive().default(16_384),
	bodyBytes: z.int().positive().default(1_073_741_824),
	callerConnections: z.int().positive().default(10_000),
	headerTimeoutMilliseconds: z.int().positive().default(10_000),
	idleTimeoutMilliseconds: z.int().positive().default(30_000),
	connectionsPerTarget: z.int().positive().default(32),
});

const timingSchema = z.strictObject({
	tablePollMilliseconds: z.int().positive().default(500),
	targetHealthPollMilliseconds: z.int().positive().default(1000),
	machineListPollMilliseconds: z.int().positive().default(1000),
	heartbeatMilliseconds: z.int().positive().default(500),
	freshnessLimitMilliseconds: z.int().positive().default(2500),
	pauseLimitMilliseconds: z.int().positive().default(2000),
	graceMilliseconds: z.int().positive().default(30_000),
	/** How long a stopping node continues to serve callers that hold an older lookup. */
	lookupHoldMilliseconds: z.int().min(0).default(10_000),
	/** Time for the plug-ins to stop after callers have their responses; requests whose callers have left may need it. */
	maximumStopMilliseconds: z.int().positive().default(30_000),
});

/** Limits of a gateway. An adapter derives them from the limits of its platform. */
const gatewaySchema = z.strictObject({
	/** How long callers may cache the response to a lookup. */
	lookupMilliseconds: z.int().positive().default(2000),
	/** Time without reports after which lookups leave out a peer. */
	peerSilenceMilliseconds: z.int().positive().default(2000),
	/** How long an unresponsive peer keeps its share of customers' rates. */
	shareHoldMilliseconds: z.int().positive().default(4000),
	/** How far the fleet may exceed customers' rates and bursts in any window. */
	quotaTolerance: z.strictObject({
		overage: z.number().min(0).default(0),
		slackRequests: z.number().min(0).default(0),
		windowMilliseconds: z.int().positive().default(5000),
	}).prefault({}),
	/** Limits of requests repeated at a second target: a fraction of all requests, plus a number per window for all nodes together. */
	repeatRatio: z.number().min(0).max(1).default(0.1),
	repeatReserve: z.number().min(0).default(20),
	repeatWindowMilliseconds: z.int().positive().default(10_000),
});

export const settingsSchema = z.strictObject({
	node: z.strictObject({
		name: z.string().min(1),
		region: z.string().min(1),
		zone: z.string().min(1),
		roles: z.array(z.enum([...roles, gatewayRole])).min(1).default([...roles]),
	}),
	listen: z.strictObject({
		caller: addressSchema,
		peer: addressSchema,
		admin: addressSchema,
		metrics: addressSchema,
		/** Address for lookups of gateways; by default the caller address. */
		directory: addressSchema.optional(),
		/** Address for the platform's readiness check; by default only the metrics address serves it. */
		readiness: addressSchema.optional(),
	}),
	platform: z.strictObject({
		table: serviceSettingsSchema,
		objects: serviceSettingsSchema.extend({timeoutMilliseconds: z.number().positive().default(objectTimeoutMilliseconds)}),
		machines: serviceSettingsSchema,
		/** How the health of targets is polled; by default it isn't. */
		targetHealth: targetHealthSettingsSchema.optional(),
	}),
	/** Addresses of peers to contact if the table can't be reached at startup. */
	peers: z.array(addressSchema).default([]),
	secrets: z.strictObject({
		peer: z.string().min(16),
		operatorToken: z.string().min(16),
	}),
	limits: limitsSchema.prefault({}),
	timing: timingSchema.prefault({}),
	gateway: gatewaySchema.prefault({}),
	/** For tests only: allows an operator to cut this node's connections. */
	testing: z.strictObject({allowCuts: z.boolean().default(false)}).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;

/** Reads a settings file. Throws {@link SettingsError} with one line per issue. */
export async function readSettings(file: string): Promise<Settings> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new SettingsError([`${file}: can't be read: ${getErrorMessage(error)}`]);
	}

	return parseSettings(text, file);
}

export function parseSettings(text: string, file: string): Settings {
	let data: unknown;
	try {
		data = parse(text);
	} catch (error) {
		throw new SettingsError([`${file}: ${getErrorMessage(error)}`]);
	}

	const parsed = settingsSchema.safeParse(data);
	if (!parsed.success) {
		throw new SettingsError(parsed.error.issues.map(issue => `${file}: ${issue.path.join('.') || 'top level'}: ${issue.message}`));
	}

	return parsed.data;
}

function describeAddress(text: string): string {
	const address = parseAddress(text);
	return address.ok ? 'is an address' : address.error;
}
