/** A status that HTTP doesn't know, from another entry, must not become an answer: writing its head would throw. */
import {describe, expect, test} from 'vitest';
import {type PeerMessage, parsePeerMessage} from '@catkindale/protocol';

function createHandover(status: unknown): unknown {
	const message = {
		type: 'ticket-handover', incarnation: 'first', clock: 1, part: 0, isLast: true,
		requests: [{
			id: 'one', customer: 'wideroe', fingerprint: 'order', forgetAt: 300_000, outcome: {kind: 'ran', answer: {status, headers: [], body: new Uint8Array(2)}},
		}],
	} satisfies Omit<PeerMessage & {type: 'ticket-handover'}, 'requests'> & {requests: unknown};
	return message;
}

describe('a handed-over outcome', () => {
	test.each([200, 204, 304, 404, 503, 599])('is accepted with status %s', status => {
		expect(parsePeerMessage(createHandover(status)).ok).toBe(true);
	});

	test.each([0, -1, 99, 100, 199, 600, 999, 1000, 200.5, Number.NaN, '200', null, undefined])('is refused with status %s', status => {
		expect(parsePeerMessage(createHandover(status)).ok).toBe(false);
	});
});
