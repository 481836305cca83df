/**
 * Stand-in for the platform's table service. `POST /faults` injects faults: an
 * outage, a delay, and a fraction of transactions whose response is lost after
 * the change took effect.
 */
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {type Address, createRandom} from '@catkindale/common';
import type {Row} from '@catkindale/ports';
import {
	type Standin, listen, readJson, sendJson,
} from './standin.js';

const transactionSchema = z.object({
	changeId: z.string(),
	writes: z.array(z.object({key: z.string(), expectedVersion: z.int(), value: z.unknown()})),
});
const faultsSchema = z.object({
	outage: z.boolean().default(false),
	delayMilliseconds: z.number().min(0).default(0),
	lostAnswerShare: z.number().min(0).max(1).default(0),
});

type Faults = z.infer<typeof faultsSchema>;
type Transaction = z.infer<typeof transactionSchema>;
type TransactionResult
	= | {readonly kind: 'done'; readonly rows: readonly Row[]}
		| {readonly kind: 'conflict'; readonly rows: readonly Row[]};

const statusOk = 200;
const statusNotFound = 404;
const statusConflict = 409;
const statusUnavailable = 503;

export async function startTableStandin(address: Address, seed = 1): Promise<Standin> {
	const rows = new Map<string, Row>();
	const random = createRandom(seed);
	let faults: Faults = faultsSchema.parse({});
	return listen(address, async (request, response, url) => {
		if (url.pathname === '/faults') {
			faults = faultsSchema.parse(await readJson(request));
			sendJson(response, statusOk, faults);
			return;
		}

		await delay(faults.delayMilliseconds);
		if (faults.outage) {
			sendJson(response, statusUnavailable, {reason: 'outage'});
			return;
		}

		if (url.pathname === '/rows') {
			sendJson(response, statusOk, {rows: findRows(rows, url.searchParams)});
			return;
		}

		if (url.pathname !== '/transactions') {
			sendJson(response, statusNotFound, {reason: 'unknown path'});
			return;
		}

		const result = runTransaction(rows, transactionSchema.parse(await readJson(request)));
		if (random.fraction() < faults.lostAnswerShare) {
			response.destroy();
			return;
		}

		sendJson(response, result.kind === 'done' ? statusOk : statusConflict, {rows: result.rows});
	});
}

function findRows(rows: ReadonlyMap<string, Row>, query: URLSearchParams): Row[] {
	const key = query.get('key');
	const prefix = query.get('prefix');
	return [...rows.values()].filter(row => key === null ? row.key.startsWith(prefix ?? '') : row.key === key);
}

function runTransaction(rows: Map<string, Row>, transaction: Transaction): TransactionResult {
	const conflicts = transaction.writes.filter(write => (rows.get(write.key)?.version ?? 0) !== write.expectedVersion);
	if (conflicts.length > 0) {
		const current = conflicts.map(write => rows.get(write.key)).filter(row => row !== undefined);
		return {kind: 'conflict', rows: current};
	}

	const written = transaction.writes.map(write => ({
		key: write.key, version: write.expectedVersion + 1, changeId: transaction.changeId, value: write.value,
	}));
	for (const row of written) {
		if (row.value === undefined) {
			rows.delete(row.key);
		} else {
			rows.set(row.key, row);
		}
	}

	return {kind: 'done', rows: written};
}
