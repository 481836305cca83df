/** The settings of one node: a TOML file checked as a whole. */
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

/** An object may hold many megabytes, a row of the table only some. */
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
	/** How long a stopping node goes on serving callers that hold an older look-up. */
	lookupHoldMilliseconds: z.int().min(0).default(10_000),
});

/** A gateway's bounds; an adapter derives them from those of its platform. */
const gatewaySchema = z.strictObject({
	/** How long callers may keep the answer of a look-up. */
	lookupMilliseconds: z.int().positive().default(2000),
	/** A peer that tells nothing for so long is left out of look-ups. */
	peerSilenceMilliseconds: z.int().positive().default(2000),
	/** A silent peer keeps its share of customers' rates for so long. */
	shareHoldMilliseconds: z.int().positive().default(4000),
	/** What the fleet may let pass beyond customers' rates and bursts in any window. */
	quotaTolerance: z.strictObject({
		overage: z.number().min(0).default(0),
		slackRequests: z.number().min(0).default(0),
		windowMilliseconds: z.int().positive().default(5000),
	}).prefault({}),
	/** Requests sent to a second target: a part of all, and a number that all nodes share in each window. */
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
		/** Look-ups of gateways; left out, they share the callers' address. */
		directory: addressSchema.optional(),
		/** The platform's own question whether the node is ready; left out, only the metrics address answers it. */
		readiness: addressSchema.optional(),
	}),
	platform: z.strictObject({
		table: serviceSettingsSchema,
		objects: serviceSettingsSchema.extend({timeoutMilliseconds: z.number().positive().default(objectTimeoutMilliseconds)}),
		machines: serviceSettingsSchema,
		/** How targets are asked for their health; left out, none is asked. */
		targetHealth: targetHealthSettingsSchema.optional(),
	}),
	/** Addresses of peers to ask when the table can't be reached at start. */
	peers: z.array(addressSchema).default([]),
	secrets: z.strictObject({
		peer: z.string().min(16),
		operatorToken: z.string().min(16),
	}),
	limits: limitsSchema.prefault({}),
	timing: timingSchema.prefault({}),
	gateway: gatewaySchema.prefault({}),
	/** For tests only: lets an operator cut this node's connections. */
	testing: z.strictObject({allowCuts: z.boolean().default(false)}).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;

/** Reads a settings file. Throws {@link SettingsError} with a line per fault. */
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
