/** Callers of the load bench: each customer's requests arrive as a Poisson process. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Histogram, build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createRandom, millisecondsPerSecond} from '@catkindale/common';
import {drawExponential} from './bench-load-simulation.js';

export type Sender = {
	readonly customer: string;
	/** Requests per second. */
	readonly rate: number;
	readonly headers: Record<string, string>;
	/** Base addresses, one of which is drawn for each request. */
	readonly addresses: readonly string[];
};

export type SenderResult = {
	sent: number;
	answered: number;
	/** Refused by the customer's rate. */
	rateRefused: number;
	/** Refused because no target could take it in time. */
	refused: number;
	failed: number;
	/** How many were refused for each reason that an entry named. */
	readonly reasons: Map<string, number>;
	/** Microseconds of the requests that were answered. */
	readonly latency: Histogram;
};

export type LoadPhase = {
	readonly seed: number;
	readonly seconds: number;
	readonly deadlineMilliseconds: number;
	readonly senders: readonly Sender[];
	/** Called every 20 ms. */
	readonly sample: () => void;
	/** Called when an entry or target couldn't take a request in time. */
	readonly onRefused?: (refusal: LoadRefusal) => void;
};

export type LoadRefusal = {
	/** The base address that refused. */
	readonly address: string;
	readonly reason: string;
	readonly waitedMilliseconds: number;
};

const connectionsPerEntry = 256;
const sampleMilliseconds = 20;
const microsecondsPerMillisecond = 1000;
const longestMicroseconds = 100_000_000;
const statusDone = 200;
const statusRateExceeded = 429;
const statusUnavailable = 503;
const statusTimeout = 504;

export async function runLoadPhase(phase: LoadPhase): Promise<Map<string, SenderResult>> {
	const agent = new Agent({connections: connectionsPerEntry, pipelining: 1});
	const random = createRandom(phase.seed);
	const pending: Array<Promise<void>> = [];
	const results = new Map(phase.senders.map(sender => [sender.customer, createSenderResult()]));
	const sampling = setInterval(phase.sample, sampleMilliseconds);
	const endsAt = performance.now() + (phase.seconds * millisecondsPerSecond);
	await Promise.all(phase.senders.map(async sender => {
		const result = results.get(sender.customer) ?? createSenderResult();
		let nextAt = performance.now();
		for (;;) {
			nextAt += drawExponential(millisecondsPerSecond / sender.rate, random);
			if (nextAt > endsAt) {
				break;
			}

			await delay(Math.max(0, nextAt - performance.now()));
			const address = sender.addresses[random.integer(0, sender.addresses.length - 1)];
			pending.push(send({
				agent, sender, result, phase, address: address ?? '',
			}));
		}
	}));
	await Promise.all(pending);
	clearInterval(sampling);
	await agent.close();
	return results;
}

type Sending = {
	readonly agent: Agent;
	readonly sender: Sender;
	readonly result: SenderResult;
	readonly phase: LoadPhase;
	readonly address: string;
};

async function send({agent, sender, result, phase, address}: Sending): Promise<void> {
	const {deadlineMilliseconds, onRefused} = phase;
	const startedAt = performance.now();
	result.sent += 1;
	try {
		const answer = await request(`${address}/prices/ENGM`, {
			dispatcher: agent, headers: {...sender.headers, 'catkindale-deadline': String(deadlineMilliseconds)},
		});
		const body = await answer.body.text();
		const waitedMilliseconds = performance.now() - startedAt;
		count(result, answer.statusCode, waitedMilliseconds, deadlineMilliseconds);
		if (answer.statusCode === statusUnavailable || answer.statusCode === statusTimeout) {
			const {reason} = JSON.parse(body) as {reason: string};
			result.reasons.set(reason, (result.reasons.get(reason) ?? 0) + 1);
			onRefused?.({address, reason, waitedMilliseconds});
		}
	} catch {
		result.failed += 1;
	}
}

function count(result: SenderResult, status: number, milliseconds: number, deadlineMilliseconds: number): void {
	if (status === statusDone && milliseconds <= deadlineMilliseconds) {
		result.answered += 1;
		result.latency.recordValue(Math.round(milliseconds * microsecondsPerMillisecond));
	} else if (status === statusRateExceeded) {
		result.rateRefused += 1;
	} else if (status === statusUnavailable || status === statusTimeout) {
		result.refused += 1;
	} else {
		result.failed += 1;
	}
}

function createSenderResult(): SenderResult {
	return {
		sent: 0,
		answered: 0,
		rateRefused: 0,
		refused: 0,
		failed: 0,
		reasons: new Map(),
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: longestMicroseconds, numberOfSignificantValueDigits: 3}),
	};
}
