/**
 * Stand-in for a target. It sheds requests beyond its slots, echoes the request
 * identifier and returns the digest of the request body. It can be made cold,
 * slow or failing, truncate responses, echo a wrong request identifier and
 * report a wrong load.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {type Address, createRandom} from '@catkindale/common';
import {
	type Standin, listen, readJson, sendJson,
} from './standin.js';

export const targetBehaviourSchema = z.object({
	slots: z.int().positive().default(4),
	serviceMilliseconds: z.number().min(0).default(5),
	coldMilliseconds: z.number().min(0).default(0),
	coldSlowdown: z.number().min(1).default(1),
	/** Fraction of responses with status 500. */
	failureShare: z.number().min(0).max(1).default(0),
	/** Fraction of responses that are truncated. */
	cutShare: z.number().min(0).max(1).default(0),
	/** Fraction of responses that echo a wrong request identifier. */
	crossedShare: z.number().min(0).max(1).default(0),
	/** Whether each response announces that the target is leaving. */
	isDraining: z.boolean().default(false),
	/** Whether each request is recorded for `/log`. */
	isLogging: z.boolean().default(false),
	/** Load that `/health` reports instead of the actual one. */
	reportedLoad: z.number().min(0).optional(),
	isReportedHealthy: z.boolean().default(true),
	/** Whether `/health` doesn't respond. */
	isHealthSilent: z.boolean().default(false),
});

export type TargetBehaviour = z.infer<typeof targetBehaviourSchema>;

/** Counts for tests, as returned by `/counts`. */
export type TargetCounts = {
	received: number;
	shed: number;
	inFlight: number;
	mostInFlight: number;
	/** Number of requests for `/health`. */
	healthReads: number;
	/** The headers of the last request. */
	lastHeaders: Record<string, string | string[] | undefined>;
	/** Number of executions by idempotency key, or by body digest for requests without a key. */
	runs: Record<string, number>;
};

/** An arrived request, as returned by `/log`. */
export type TargetArrival = {
	/** Wall-clock time in milliseconds, with fractions. */
	readonly at: number;
	readonly requestId: string;
	readonly customer: string | undefined;
};

export type TargetStandin = Standin & {
	getCounts: () => TargetCounts;
	setBehaviour: (behaviour: Partial<TargetBehaviour>) => void;
};

const statusOk = 200;
const statusInternalError = 500;
const statusUnavailable = 503;
const downloadChunk = Buffer.alloc(65_536, 'catkindale ');

export async function startTargetStandin(address: Address, initialBehaviour: Partial<TargetBehaviour> = {}, seed = 1): Promise<TargetStandin> {
	let behaviour = targetBehaviourSchema.parse(initialBehaviour);
	const random = createRandom(seed);
	const startedAt = performance.now();
	const counts: TargetCounts = {
		received: 0, shed: 0, inFlight: 0, mostInFlight: 0, healthReads: 0, lastHeaders: {}, runs: {},
	};
	const arrivals: TargetArrival[] = [];

	const serve = async (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> => {
		const isCold = performance.now() - startedAt < behaviour.coldMilliseconds;
		const digest = await digestBody(request);
		await delay(behaviour.serviceMilliseconds * (isCold ? behaviour.coldSlowdown : 1), undefined, {signal: createCancellationSignal(response)});
		const runKey = request.headers['idempotency-key'] ?? digest;
		counts.runs[String(runKey)] = (counts.runs[String(runKey)] ?? 0) + 1;
		await sendResponse(request, response, {
			url, digest, behaviour, draw: random.fraction,
		});
	};

	const standin = await listen(address, async (request, response, url) => {
		if (url.pathname === '/health') {
			counts.healthReads += 1;
			if (!behaviour.isHealthSilent) {
				sendJson(response, statusOk, {healthy: behaviour.isReportedHealthy, load: behaviour.reportedLoad ?? counts.inFlight / behaviour.slots});
			}

			return;
		}

		if (url.pathname === '/behaviour') {
			behaviour = targetBehaviourSchema.parse({...behaviour, ...await readJson(request) as object});
			sendJson(response, statusOk, behaviour);
			return;
		}

		if (url.pathname === '/counts') {
			sendJson(response, statusOk, counts);
			return;
		}

		if (url.pathname === '/log') {
			sendJson(response, statusOk, arrivals);
			return;
		}

		counts.received += 1;
		if (behaviour.isLogging) {
			arrivals.push(createArrival(request));
		}

		counts.lastHeaders = request.headers;
		if (counts.inFlight >= behaviour.slots) {
			counts.shed += 1;
			sendRefusal(request, response);
			return;
		}

		counts.inFlight += 1;
		counts.mostInFlight = Math.max(counts.mostInFlight, counts.inFlight);
		try {
			await serve(request, response, url);
		} finally {
			counts.inFlight -= 1;
		}
	});
	return {
		...standin,
		getCounts: () => structuredClone(counts),
		setBehaviour(change) {
			behaviour = targetBehaviourSchema.parse({...behaviour, ...change});
		},
	};
}

function createArrival(request: IncomingMessage): TargetArrival {
	const customer = request.headers['catkindale-customer'];
	return {
		at: performance.timeOrigin + performance.now(),
		requestId: String(request.headers['catkindale-request-id'] ?? ''),
		customer: customer === undefined ? undefined : String(customer),
	};
}

/** Creates a signal that aborts when the caller disconnects, so that the slot is freed immediately. */
function createCancellationSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		controller.abort();
	});
	return controller.signal;
}

type ResponseOptions = {
	readonly url: URL;
	readonly digest: string;
	readonly behaviour: TargetBehaviour;
	readonly draw: () => number;
};

function sendRefusal(request: IncomingMessage, response: ServerResponse): void {
	request.resume();
	response.writeHead(statusUnavailable, {
		'content-type': 'application/json',
		'catkindale-outcome': 'not-run',
		'catkindale-request-id': request.headers['catkindale-request-id'] ?? '',
	});
	response.end('{"reason":"all slots are in use"}');
}

async function sendResponse(request: IncomingMessage, response: ServerResponse, options: ResponseOptions): Promise<void> {
	const {behaviour, draw, url} = options;
	const requestId = String(request.headers['catkindale-request-id'] ?? '');
	response.setHeader('catkindale-request-id', draw() < behaviour.crossedShare ? 'another-request' : requestId);
	if (behaviour.isDraining) {
		response.setHeader('catkindale-draining', 'true');
	}

	if (draw() < behaviour.failureShare) {
		sendJson(response, statusInternalError, {reason: 'internal failure'});
		return;
	}

	const bytes = Number(url.searchParams.get('bytes') ?? 0);
	if (bytes > 0) {
		await sendDownload(response, bytes);
		return;
	}

	const body = JSON.stringify({path: url.pathname, digest: options.digest, customer: request.headers['catkindale-customer']});
	if (draw() < behaviour.cutShare) {
		response.writeHead(statusOk, {'content-length': String(body.length)});
		response.write(body.slice(0, Math.floor(body.length / 2)));
		response.destroy();
		return;
	}

	response.writeHead(statusOk, {'content-type': 'application/json'});
	response.end(body);
}

async function sendDownload(response: ServerResponse, bytes: number): Promise<void> {
	response.writeHead(statusOk, {'content-type': 'application/octet-stream', 'content-length': String(bytes)});
	let remainingBytes = bytes;
	while (remainingBytes > 0 && !response.destroyed) {
		const chunk = downloadChunk.subarray(0, Math.min(remainingBytes, downloadChunk.length));
		remainingBytes -= chunk.length;
		if (!response.write(chunk)) {
			await new Promise<void>(resolve => {
				response.once('drain', resolve);
				response.once('close', resolve);
			});
		}
	}

	response.end();
}

async function digestBody(request: IncomingMessage): Promise<string> {
	const hash = createHash('sha256');
	for await (const chunk of request) {
		hash.update(chunk as Uint8Array);
	}

	return hash.digest('hex');
}
