/** Tickets: who may issue one, and who answers for it after a planned stop. */
import {describe, expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import type {TableService} from '@catkindale/ports';
import {createTicketStore} from '@catkindale/policy';
import {
	createIdempotencyClaims, createIdempotencyGuard, createTicketClock, createTicketSuccessors, createTicketPrefix, parseIdempotencyKey,
} from '@catkindale/node';

const secret = 'secret-of-the-fleet';
const prefix = createTicketPrefix(secret, {entryId: 'oslo-1', incarnation: 'first', issuedAt: 1000});
const foreign = createTicketPrefix('another secret', {entryId: 'oslo-1', incarnation: 'first', issuedAt: 1000});

describe('an Idempotency-Key', () => {
	test.each([
		{name: 'ticket', key: `${prefix}order-1`, kind: 'ticket'},
		{name: 'ticket with dots in its suffix', key: `${prefix}a.b`, kind: 'ticket'},
		{name: 'ticket without a suffix', key: prefix, kind: 'invalid'},
		{name: 'ticket of another fleet', key: `${foreign}order-1`, kind: 'invalid'},
		{name: 'ticket with a changed payload', key: `${prefix.replace('t1.', 't1.x')}order-1`, kind: 'invalid'},
		{name: 'opaque key', key: 'order-1', kind: 'opaque'},
		{name: 'overlong key', key: 'x'.repeat(513), kind: 'invalid'},
	])('is told apart: $name', ({key, kind}) => {
		expect(parseIdempotencyKey(secret, key).kind).toBe(kind);
	});
});

describe('the heir of a stopped entry', () => {
	const claim = {
		id: 'one', customer: 'wideroe', fingerprint: 'order', forgetAt: 300_000,
	};
	const part = {
		incarnation: 'first', clock: 100_000, part: 0, isLast: true, requests: [{...claim, outcome: {kind: 'unknown'} as const}],
	};
	test.each([
		{
			name: 'remembers', parts: [part], asked: claim, elapsed: 0, kind: 'finished',
		},
		{
			name: 'refuses another body', parts: [part], asked: {...claim, fingerprint: 'other'}, elapsed: 0, kind: 'mismatch',
		},
		{
			name: 'knows what never ran', parts: [part], asked: {...claim, id: 'two'}, elapsed: 0, kind: 'never-ran',
		},
		{
			name: 'doesn\'t know what may be forgotten', parts: [part], asked: {...claim, id: 'two'}, elapsed: 195_000, kind: 'unknown',
		},
		{
			name: 'doesn\'t know before the last part', parts: [{...part, isLast: false}], asked: {...claim, id: 'two'}, elapsed: 0, kind: 'unknown',
		},
		{
			name: 'doesn\'t know with a part missing', parts: [{...part, isLast: false}, {...part, part: 2}], asked: {...claim, id: 'two'}, elapsed: 0, kind: 'unknown',
		},
		{
			name: 'isn\'t heir of others', parts: [], asked: claim, elapsed: 0, kind: undefined,
		},
	])('$name', ({parts, asked, elapsed, kind}) => {
		const clock = createManualClock();
		const heirs = createTicketSuccessors(clock);
		for (const each of parts) {
			heirs.receive(each);
		}

		clock.advance(elapsed);
		expect(heirs.getHandedOverOutcome('first', asked, asked.forgetAt)?.kind).toBe(kind);
	});
});

const refuse = async () => ({kind: 'not-done', reason: 'unused'} as const);
const unusedTable: TableService = {
	get: refuse, list: refuse, transact: refuse, close: async () => undefined,
};

describe('a refusal of a request with a ticket', () => {
	const own = createTicketPrefix(secret, {entryId: 'oslo-1', incarnation: 'first', issuedAt: 0});
	const refusal = {
		status: 429, outcome: 'not-run', reason: 'rate-exceeded', detail: 'no tokens',
	} as const;
	test.each([
		{
			name: 'that never came here', key: `${own}new`, elapsed: 0, outcome: 'not-run',
		},
		{
			name: 'that ran here', key: `${own}ran`, elapsed: 0, outcome: 'unknown',
		},
		{
			name: 'that may be forgotten', key: `${own}new`, elapsed: 300_000, outcome: 'unknown',
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
			node: 'oslo-1', incarnation: 'first', secret, clock, memory: createTicketStore(), claims, successors: createTicketSuccessors(clock),
		}, createTicketClock(clock));
		await guard.runAtMostOnce({
			key: `${own}ran`, customer: 'wideroe', fingerprint: '', maximumWaitMilliseconds: 0, isForwarded: false, run: async () => ({kind: 'cut'}), forwardToEntry: async () => undefined,
		});
		clock.advance(elapsed);
		expect(guard.adjustProblemOutcome(key, refusal).outcome).toBe(outcome);
	});
});
