/** Table driver for the HTTP interface of the stand-in. */
import * as z from 'zod';
import {tableDrivers} from './driver-registry.js';
import {type CallOutcome, createHttpCaller, parseJson} from './http-caller.js';
import type {Row, TableOutcome, TableService} from './table-port.js';

const rowSchema = z.object({
	key: z.string(), version: z.int(), changeId: z.string(), value: z.unknown(),
});
const rowsSchema = z.object({rows: z.array(rowSchema)});

const statusOk = 200;
const statusConflict = 409;
const statusUnavailable = 503;

tableDrivers.register('http', (settings): TableService => {
	const caller = createHttpCaller(settings);
	return {
		async get(key) {
			const outcome = parseResponse(await caller.call('GET', `/rows?key=${encodeURIComponent(key)}`), 'not-done');
			return outcome.kind === 'done' ? {kind: 'done', value: outcome.value[0]} : outcome;
		},
		async list(prefix) {
			return parseResponse(await caller.call('GET', `/rows?prefix=${encodeURIComponent(prefix)}`), 'not-done');
		},
		async transact(changeId, writes) {
			const body = JSON.stringify({changeId, writes});
			return parseResponse(await caller.call('POST', '/transactions', body), 'unknown');
		},
		close: async () => caller.close(),
	};
});

function parseResponse(outcome: CallOutcome, kindIfLost: 'not-done' | 'unknown'): TableOutcome<readonly Row[]> {
	if (outcome.kind === 'not-sent') {
		return {kind: 'not-done', reason: outcome.reason};
	}

	if (outcome.kind === 'lost') {
		return {kind: kindIfLost, reason: outcome.reason};
	}

	if (outcome.status === statusUnavailable) {
		return {kind: 'not-done', reason: 'the table service is unavailable'};
	}

	if (outcome.status !== statusOk && outcome.status !== statusConflict) {
		return {kind: kindIfLost, reason: `the table service responded with status ${outcome.status}`};
	}

	const rows = parseRows(outcome.body);
	if (!rows) {
		return {kind: kindIfLost, reason: 'the response of the table service is malformed'};
	}

	return outcome.status === statusConflict ? {kind: 'conflict', rows} : {kind: 'done', value: rows};
}

function parseRows(body: Uint8Array): readonly Row[] | undefined {
	try {
		return rowsSchema.parse(parseJson(body)).rows;
	} catch {
		return undefined;
	}
}
