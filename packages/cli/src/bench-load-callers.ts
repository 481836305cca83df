/** Callers of the load bench: the requests of each customer arrive as a Poisson process. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Histogram, build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createRandom, millisecondsPerSecond} from '@catkindale/common';
import {drawExponential} from './bench-load-simulation.js';

/** The callers of one customer. */
export type LoadSource = {
	readonly customer: string;
	/** Requests per second. */
	readonly rate: number;
	readonly headers: Record<string, string>;
	/** Base addresses; each request goes to one of them at random. */
	readonly addresses: readonly string[];
};

export type LoadSourceResult = {
	sent: number;
	/** Served with status 200 within the deadline. */
	succeeded: number;
	/** Refused by the customer's rate limit. */
	rateRefused: number;
	/** Refused because no target could serve the request in time. */
	refused: number;
	/** All other requests: connection errors, other statuses, and responses after the deadline. */
	failed: number;
	/** Number of refusals other than for the rate limit, by the reason in the response. */
	readonly reasons: Map<string, number>;
	/** Latency of the successful requests in microseconds. */
	readonly latency: Histogram;
};

export type LoadPhase = {
	readonly seed: number;
	readonly seconds: number;
	readonly deadlineMilliseconds: number;
	readonly sources: readonly LoadSource[];
	/** Called every 20 ms during the phase. */
	readonly sample: () => void;
	/** Called when an entry or target refuses a request because it can't be served in time. */
	readonly onRefused?: (refusal: LoadRefusal) => void;
};

export type LoadRefusal = {
	/** Base address of the entry or target that refused. */
	readonly address: string;
	readonly reason: string;
	readonly waitedMilliseconds: number;
};

const connectionsPerAddress = 256;
const sampleIntervalMilliseconds = 20;
const microsecondsPerMillisecond = 1000;
const maximumLatencyMicroseconds = 100_000_000;
const statusOk = 200;
const statusRateExceeded = 429;
const statusUnavailable = 503;
const statusTimeout = 504;

export async function runLoadPhase(phase: LoadPhase): Promise<Map<string, LoadSourceResult>> {
	const agent = new Agent({connections: connectionsPerAddress, pipelining: 1});
	const random = createRandom(phase.seed);
	const pendingRequests: Array<Promise<void>> = [];
	const results = new Map(phase.sources.map(source => [source.customer, createLoadSourceResult()]));
	const sampleTimer = setInterval(phase.sample, sampleIntervalMilliseconds);
	const endsAt = performance.now() + (phase.seconds * millisecondsPerSecond);
	await Promise.all(phase.sources.map(async source => {
		const result = results.get(source.customer) ?? createLoadSourceResult();
		let nextAt = performance.now();
		for (;;) {
			nextAt += drawExponential(millisecondsPerSecond / source.rate, random);
			if (nextAt > endsAt) {
				break;
			}

			await delay(Math.max(0, nextAt - performance.now()));
			const address = source.addresses[random.integer(0, source.addresses.length - 1)];
			pendingRequests.push(sendRequest({
				agent, source, result, phase, address: address ?? '',
			}));
		}
	}));
	await Promise.all(pendingRequests);
	clearInterval(sampleTimer);
	await agent.close();
	return results;
}

type SendOptions = {
	readonly agent: Agent;
	readonly source: LoadSource;
	readonly result: LoadSourceResult;
	readonly phase: LoadPhase;
	readonly address: string;
};

async function sendRequest({agent, source, result, phase, address}: SendOptions): Promise<void> {
	const {deadlineMilliseconds, onRefused} = phase;
	const startedAt = performance.now();
	result.sent += 1;
	try {
		const response = await request(`${address}/prices/ENGM`, {
			dispatcher: agent, headers: {...source.headers, 'catkindale-deadline': String(deadlineMilliseconds)},
		});
		const body = await response.body.text();
		const waitedMilliseconds = performance.now() - startedAt;
		countResponse(result, response.statusCode, waitedMilliseconds, deadlineMilliseconds);
		if (response.statusCode === statusUnavailable || response.statusCode === statusTimeout) {
			const {reason} = JSON.parse(body) as {reason: string};
			result.reasons.set(reason, (result.reasons.get(reason) ?? 0) + 1);
			onRefused?.({address, reason, waitedMilliseconds});
		}
	} catch {
		result.failed += 1;
	}
}

function countResponse(result: LoadSourceResult, status: number, milliseconds: number, deadlineMilliseconds: number): void {
	if (status === statusOk && milliseconds <= deadlineMilliseconds) {
		result.succeeded += 1;
		result.latency.recordValue(Math.round(milliseconds * microsecondsPerMillisecond));
	} else if (status === statusRateExceeded) {
		result.rateRefused += 1;
	} else if (status === statusUnavailable || status === statusTimeout) {
		result.refused += 1;
	} else {
		result.failed += 1;
	}
}

function createLoadSourceResult(): LoadSourceResult {
	return {
		sent: 0,
		succeeded: 0,
		rateRefused: 0,
		refused: 0,
		failed: 0,
		reasons: new Map(),
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: maximumLatencyMicroseconds, numberOfSignificantValueDigits: 3}),
	};
}
