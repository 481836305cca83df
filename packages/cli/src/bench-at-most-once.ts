/**
 * Cost of running a request at most once: time and memory of a ticket, compared
 * with a table row for every request at the network latencies of both
 * deployments.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import {systemClock} from '@catkindale/common';
import {
	type ExchangeResult, type IdempotencyGuard, createIdempotencyClaims, createIdempotencyGuard, createTicketClock, createTicketSuccessors, createTicketPrefix,
} from '@catkindale/node';
import type {Row, TableService} from '@catkindale/ports';
import {type TicketStore, createTicketStore, defaultTicketStoreLimits} from '@catkindale/policy';
import {registerBench} from './bench-registry.js';

const secret = 'secret-of-the-measured-fleet';
const customerNames = ['wideroe', 'nordavia'];
const incarnation = 'first';
const microsecondsPerMillisecond = 1000;
const rowRequestCount = 200;
const tableWritesPerSecond = 300;
const writesPerRequest = 2;
const tableDistances = [
	{name: 'same zone', oneWayMilliseconds: 0.5},
	{name: 'Fjordvik, other region', oneWayMilliseconds: 12},
	{name: 'Mahlzeit, other region', oneWayMilliseconds: 55},
];

registerBench({
	name: 'at-most-once',
	describe: 'time and memory of a ticket, compared with a table row for every request',
	async run({print}) {
		const count = defaultTicketStoreLimits.requests - 1;
		const tickets = createTicketStore();
		const guard = createGuard(createDistantTable(0), tickets);
		const prefix = createTicketPrefix(secret, {entryId: 'oslo-1', incarnation, issuedAt: Date.now()});
		const before = getHeapBytes();
		const startedAt = performance.now();
		for (let index = 0; index < count; index++) {
			await runOnce(guard, `${prefix}${index}`, index);
		}

		const microseconds = (performance.now() - startedAt) * microsecondsPerMillisecond / count;
		const bytes = (getHeapBytes() - before) / count;
		print(`ticket: ${microseconds.toFixed(1)} microseconds and ${bytes.toFixed(0)} bytes of heap each, ${tickets.getSize()} remembered, no table write`);
		for (const {name, oneWayMilliseconds} of tableDistances) {
			const delayMilliseconds = await measureRows(oneWayMilliseconds);
			print(`row for every request, ${name}: ${delayMilliseconds.toFixed(1)} ms before dispatch, ${writesPerRequest} table writes each`);
		}

		print(`at ${tableWritesPerSecond} table writes/s, rows allow ${tableWritesPerSecond / writesPerRequest} requests/s in the whole fleet`);
		return true;
	},
});

async function measureRows(oneWayMilliseconds: number): Promise<number> {
	const guard = createGuard(createDistantTable(oneWayMilliseconds), createTicketStore());
	const startedAt = performance.now();
	const dispatchMilliseconds: number[] = [];
	await Promise.all(Array.from({length: rowRequestCount}, async (_, index) => runOnce(guard, `opaque-${index}`, index, () => {
		dispatchMilliseconds.push(performance.now() - startedAt);
	})));
	const sorted = dispatchMilliseconds.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function runOnce(guard: IdempotencyGuard, key: string, index: number, onRun?: () => void): Promise<ExchangeResult> {
	return guard.runAtMostOnce({
		key,
		customer: customerNames[index % customerNames.length] ?? '',
		fingerprint: 'fingerprint',
		maximumWaitMilliseconds: 1000,
		isForwarded: false,
		async run() {
			onRun?.();
			return {kind: 'streamed', status: 200};
		},
		forwardToEntry: async () => undefined,
	});
}

function createGuard(table: TableService, tickets: TicketStore): IdempotencyGuard {
	const claims = createIdempotencyClaims({
		table, node: 'oslo-1', incarnation, getTime: () => '',
	});
	return createIdempotencyGuard({
		node: 'oslo-1', incarnation, secret, clock: systemClock, ticketStore: tickets, claims, successors: createTicketSuccessors(systemClock),
	}, createTicketClock(systemClock));
}

/** A table that responds after one network round trip, without any processing time. */
function createDistantTable(oneWayMilliseconds: number): TableService {
	const rows = new Map<string, Row>();
	return {
		async get(key) {
			await delay(oneWayMilliseconds * 2);
			return {kind: 'done', value: rows.get(key)};
		},
		list: async () => ({kind: 'done', value: []}),
		async transact(changeId, writes) {
			await delay(oneWayMilliseconds * 2);
			const written = writes.map(({key, expectedVersion, value}) => ({
				key, version: expectedVersion + 1, changeId, value,
			}));
			for (const row of written) {
				rows.set(row.key, row);
			}

			return {kind: 'done', value: written};
		},
		close: async () => undefined,
	};
}

function getHeapBytes(): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	return process.memoryUsage().heapUsed;
}
