/**
 * Stand-in of a target: it has slots, sheds above them, can be cold, slow,
 * failing, can cut or cross answers and can mislead about its load. It echoes
 * the request identifier and answers with the digest of what it received.
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
	failureShare: z.number().min(0).max(1).default(0),
	cutShare: z.number().min(0).max(1).default(0),
	crossedShare: z.number().min(0).max(1).default(0),
	/** Whether each answer says that the target is leaving. */
	isDraining: z.boolean().default(false),
	/** Whether each request is noted for `/log`. */
	isLogging: z.boolean().default(false),
	/** What `/health` reports in place of the truth. */
	reportedLoad: z.number().min(0).optional(),
	isReportedHealthy: z.boolean().default(true),
	/** Whether `/health` gives no answer. */
	isHealthSilent: z.boolean().default(false),
});

export type TargetBehaviour = z.infer<typeof targetBehaviourSchema>;

/** What the stand-in has seen, for tests. */
export type TargetCounts = {
	received: number;
	shed: number;
	inFlight: number;
	mostInFlight: number;
	/** How often its health was asked for. */
	healthReads: number;
	/** The headers of the last request. */
	lastHeaders: Record<string, string | string[] | undefined>;
	/** How often each request body digest was run. */
	runs: Record<string, number>;
};

/** One request as it arrived. */
export type TargetArrival = {
	/** Milliseconds of the wall clock, with fractions. */
	readonly at: number;
	readonly requestId: string;
	readonly customer: string | undefined;
};

export type TargetStandin = Standin & {
	counts: () => TargetCounts;
	behave: (behaviour: Partial<TargetBehaviour>) => void;
};

const statusDone = 200;
const statusFailed = 500;
const statusShed = 503;
const downloadChunk = Buffer.alloc(65_536, 'catkindale ');

export async function startTargetStandin(address: Address, initial: Partial<TargetBehaviour> = {}, seed = 1): Promise<TargetStandin> {
	let behaviour = targetBehaviourSchema.parse(initial);
	const random = createRandom(seed);
	const startedAt = performance.now();
	const counts: TargetCounts = {
		received: 0, shed: 0, inFlight: 0, mostInFlight: 0, healthReads: 0, lastHeaders: {}, runs: {},
	};
	const arrivals: TargetArrival[] = [];

	const serve = async (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> => {
		const isCold = performance.now() - startedAt < behaviour.coldMilliseconds;
		const digest = await digestBody(request);
		await delay(behaviour.serviceMilliseconds * (isCold ? behaviour.coldSlowdown : 1), undefined, {signal: getCancellation(response)});
		const run = request.headers['idempotency-key'] ?? digest;
		counts.runs[String(run)] = (counts.runs[String(run)] ?? 0) + 1;
		await answer(request, response, {
			url, digest, behaviour, draw: random.fraction,
		});
	};

	const standin = await listen(address, async (request, response, url) => {
		if (url.pathname === '/health') {
			counts.healthReads += 1;
			if (!behaviour.isHealthSilent) {
				sendJson(response, statusDone, {healthy: behaviour.isReportedHealthy, load: behaviour.reportedLoad ?? counts.inFlight / behaviour.slots});
			}

			return;
		}

		if (url.pathname === '/behaviour') {
			behaviour = targetBehaviourSchema.parse({...behaviour, ...await readJson(request) as object});
			sendJson(response, statusDone, behaviour);
			return;
		}

		if (url.pathname === '/counts') {
			sendJson(response, statusDone, counts);
			return;
		}

		if (url.pathname === '/log') {
			sendJson(response, statusDone, arrivals);
			return;
		}

		counts.received += 1;
		if (behaviour.isLogging) {
			arrivals.push(createArrival(request));
		}

		counts.lastHeaders = request.headers;
		if (counts.inFlight >= behaviour.slots) {
			counts.shed += 1;
			sendShed(request, response);
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
		counts: () => structuredClone(counts),
		behave(change) {
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

/** Aborts when the caller cancels: the slot is free again at once. */
function getCancellation(response: ServerResponse): AbortSignal {
	const cancellation = new AbortController();
	response.once('close', () => {
		cancellation.abort();
	});
	return cancellation.signal;
}

type AnswerOptions = {
	readonly url: URL;
	readonly digest: string;
	readonly behaviour: TargetBehaviour;
	readonly draw: () => number;
};

function sendShed(request: IncomingMessage, response: ServerResponse): void {
	request.resume();
	response.writeHead(statusShed, {
		'content-type': 'application/json',
		'catkindale-outcome': 'not-run',
		'catkindale-request-id': request.headers['catkindale-request-id'] ?? '',
	});
	response.end('{"reason":"all slots are in use"}');
}

async function answer(request: IncomingMessage, response: ServerResponse, options: AnswerOptions): Promise<void> {
	const {behaviour, draw, url} = options;
	const requestId = String(request.headers['catkindale-request-id'] ?? '');
	response.setHeader('catkindale-request-id', draw() < behaviour.crossedShare ? 'another-request' : requestId);
	if (behaviour.isDraining) {
		response.setHeader('catkindale-draining', 'true');
	}

	if (draw() < behaviour.failureShare) {
		sendJson(response, statusFailed, {reason: 'internal failure'});
		return;
	}

	const bytes = Number(url.searchParams.get('bytes') ?? 0);
	if (bytes > 0) {
		await sendDownload(response, bytes);
		return;
	}

	const body = JSON.stringify({path: url.pathname, digest: options.digest, customer: request.headers['catkindale-customer']});
	if (draw() < behaviour.cutShare) {
		response.writeHead(statusDone, {'content-length': String(body.length)});
		response.write(body.slice(0, Math.floor(body.length / 2)));
		response.destroy();
		return;
	}

	response.writeHead(statusDone, {'content-type': 'application/json'});
	response.end(body);
}

async function sendDownload(response: ServerResponse, bytes: number): Promise<void> {
	response.writeHead(statusDone, {'content-type': 'application/octet-stream', 'content-length': String(bytes)});
	let left = bytes;
	while (left > 0 && !response.destroyed) {
		const chunk = downloadChunk.subarray(0, Math.min(left, downloadChunk.length));
		left -= chunk.length;
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
