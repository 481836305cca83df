/** Tickets: validation of their keys, the handover at a planned stop, and the outcome of refused requests. */
import {describe, expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import type {TableService} from '@catkindale/ports';
import {createTicketStore} from '@catkindale/policy';
import {
	createIdempotencyClaims, createIdempotencyGuard, createTicketClock, createTicketSuccessors, createTicketPrefix, parseIdempotencyKey,
} from '@catkindale/node';

const secret = 'secret-of-the-fleet';
const prefix = createTicketPrefix(secret, {entryId: 'oslo-1', incarnation: 'first', issuedAt: 1000});
const foreignPrefix = createTicketPrefix('another secret', {entryId: 'oslo-1', incarnation: 'first', issuedAt: 1000});

describe('parsing an Idempotency-Key', () => {
	test.each([
		{name: 'ticket', key: `${prefix}order-1`, kind: 'ticket'},
		{name: 'ticket with dots in its suffix', key: `${prefix}a.b`, kind: 'ticket'},
		{name: 'ticket without a suffix', key: prefix, kind: 'invalid'},
		{name: 'ticket of another fleet', key: `${foreignPrefix}order-1`, kind: 'invalid'},
		{name: 'ticket with a changed payload', key: `${prefix.replace('t1.', 't1.x')}order-1`, kind: 'invalid'},
		{name: 'opaque key', key: 'order-1', kind: 'opaque'},
		{name: 'key beyond the maximum length', key: 'x'.repeat(513), kind: 'invalid'},
	])('returns $kind: $name', ({key, kind}) => {
		expect(parseIdempotencyKey(secret, key).kind).toBe(kind);
	});
});

describe('the successor of a stopped entry', () => {
	const claim = {
		id: 'one', customer: 'wideroe', fingerprint: 'order', forgetAt: 300_000,
	};
	const chunk = {
		incarnation: 'first', clock: 100_000, part: 0, isLast: true, requests: [{...claim, outcome: {kind: 'unknown'} as const}],
	};
	test.each([
		{
			name: 'returns a recorded outcome', chunks: [chunk], requested: claim, elapsed: 0, kind: 'finished',
		},
		{
			name: 'refuses another body with the same key', chunks: [chunk], requested: {...claim, fingerprint: 'other'}, elapsed: 0, kind: 'mismatch',
		},
		{
			name: 'reports that an unrecorded request never ran', chunks: [chunk], requested: {...claim, id: 'two'}, elapsed: 0, kind: 'never-ran',
		},
		{
			name: 'returns unknown once the outcome may have expired', chunks: [chunk], requested: {...claim, id: 'two'}, elapsed: 195_000, kind: 'unknown',
		},
		{
			name: 'returns unknown before the last chunk', chunks: [{...chunk, isLast: false}], requested: {...claim, id: 'two'}, elapsed: 0, kind: 'unknown',
		},
		{
			name: 'returns unknown if a chunk is missing', chunks: [{...chunk, isLast: false}, {...chunk, part: 2}], requested: {...claim, id: 'two'}, elapsed: 0, kind: 'unknown',
		},
		{
			name: 'returns nothing for an incarnation that handed nothing over', chunks: [], requested: claim, elapsed: 0, kind: undefined,
		},
	])('$name', ({chunks, requested, elapsed, kind}) => {
		const clock = createManualClock();
		const successors = createTicketSuccessors(clock);
		for (const chunkToReceive of chunks) {
			successors.receive(chunkToReceive);
		}

		clock.advance(elapsed);
		expect(successors.getHandedOverOutcome('first', requested, requested.forgetAt)?.kind).toBe(kind);
	});
});

const notDone = async () => ({kind: 'not-done', reason: 'unused'} as const);
const unusedTable: TableService = {
	get: notDone, list: notDone, transact: notDone, close: async () => undefined,
};

describe('the outcome of a refused request with a ticket', () => {
	const ownPrefix = createTicketPrefix(secret, {entryId: 'oslo-1', incarnation: 'first', issuedAt: 0});
	const rateProblem = {
		status: 429, outcome: 'not-run', reason: 'rate-exceeded', detail: 'no tokens',
	} as const;
	test.each([
		{
			name: 'that this entry has not received before', key: `${ownPrefix}new`, elapsed: 0, outcome: 'not-run',
		},
		{
			name: 'that ran at this entry', key: `${ownPrefix}ran`, elapsed: 0, outcome: 'unknown',
		},
		{
			name: 'that has expired', key: `${ownPrefix}new`, elapsed: 300_000, outcome: 'unknown',
		},
		{
			name: 'of another entry', key: `${createTicketPrefix(secret, {entryId: 'bergen-1', incarnation: 'other', issuedAt: 0})}new`, elapsed: 0, outcome: 'unknown',
		},
	])('$name is $outcome', async ({key, elapsed, outcome}) => {
		const clock = createManualClock();
		const claims = createIdempotencyClaims({
			table: unusedTable, node: 'oslo-1', incarnation: 'first', getTime: () => '',
		});
		const guard = createIdempotencyGuard({
			node: 'oslo-1', incarnation: 'first', secret, clock, ticketStore: createTicketStore(), claims, successors: createTicketSuccessors(clock),
		}, createTicketClock(clock));
		await guard.runAtMostOnce({
			key: `${ownPrefix}ran`, customer: 'wideroe', fingerprint: '', maximumWaitMilliseconds: 0, isForwarded: false, run: async () => ({kind: 'cut'}), forwardToEntry: async () => undefined,
		});
		clock.advance(elapsed);
		expect(guard.adjustProblemOutcome(key, rateProblem).outcome).toBe(outcome);
	});
});
