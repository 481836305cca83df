/** A row of a claim with a status that HTTP doesn't know must not become an answer: writing its head would throw. */
import {describe, expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import {createTicketStore} from '@catkindale/policy';
import {
	createIdempotencyClaims, createIdempotencyGuard, createTicketClock, createTicketSuccessors,
} from '@catkindale/node';

/** Repeats a request whose claim is finished in the table with the status. */
async function repeatFinished(status: unknown): Promise<unknown> {
	const clock = createManualClock();
	const value = {
		state: 'finished', fingerprint: 'order', node: 'bergen-1', incarnation: 'other', claimedAt: '', outcome: 'ran', status, headers: [], body: 'b2s=',
	};
	const claims = createIdempotencyClaims({
		table: {
			get: async () => ({kind: 'not-done', reason: 'unused'}),
			list: async () => ({kind: 'not-done', reason: 'unused'}),
			transact: async (_changeId, [change]) => ({
				kind: 'conflict', rows: [{
					key: change!.key, version: 3, changeId: 'other', value,
				}],
			}),
			close: async () => undefined,
		},
		node: 'oslo-1', incarnation: 'first', getTime: () => '',
	});
	const guard = createIdempotencyGuard({
		node: 'oslo-1', incarnation: 'first', secret: 'secret-of-the-fleet', clock, ticketStore: createTicketStore(), claims, successors: createTicketSuccessors(clock),
	}, createTicketClock(clock));
	return guard.runAtMostOnce({
		key: 'opaque', customer: 'wideroe', fingerprint: 'order', maximumWaitMilliseconds: 0, isForwarded: false,
		async run() {
			throw new Error('the request ran again');
		},
		forwardToEntry: async () => undefined,
	});
}

describe('the repetition of a request with a finished claim', () => {
	test.each([200, 204, 404, 599])('receives the recorded answer with status %s', async status => {
		expect(await repeatFinished(status)).toMatchObject({kind: 'answered', response: {status}});
	});

	test.each([0, -1, 99, 100, 199, 600, 999, 1000, 200.5, '200', null, undefined])('is told that the outcome is unknown if the status is %s', async status => {
		expect(await repeatFinished(status)).toMatchObject({kind: 'problem', problem: {status: 409, outcome: 'unknown', reason: 'outcome-unknown'}});
	});
});
