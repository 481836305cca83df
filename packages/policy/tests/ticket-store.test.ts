/** The records of requests that may run only once, by which repetitions are recognized. */
import {describe, expect, test} from 'vitest';
import {
	type TicketClaim, type TicketOutcome, createTicketStore,
} from '@catkindale/policy';

const claim: TicketClaim = {
	id: 'one', customer: 'wideroe', fingerprint: 'order', forgetAt: 1000,
};
const ran: TicketOutcome = {kind: 'ran', answer: {status: 200, headers: [], body: new Uint8Array(10)}};
const limits = {requests: 3, requestsPerCustomer: 2, bodyBytes: 15};

describe('a repeated request', () => {
	test.each([
		{
			name: 'while the first runs', outcome: undefined, repeated: claim, expected: {kind: 'running'},
		},
		{
			name: 'after the first ran', outcome: ran, repeated: claim, expected: {kind: 'finished', outcome: ran},
		},
		{
			name: 'after a lost response', outcome: {kind: 'unknown'} as const, repeated: claim, expected: {kind: 'finished', outcome: {kind: 'unknown'}},
		},
		{
			name: 'of another customer', outcome: ran, repeated: {...claim, customer: 'other'}, expected: {kind: 'mismatch'},
		},
		{
			name: 'with another body', outcome: ran, repeated: {...claim, fingerprint: 'other'}, expected: {kind: 'mismatch'},
		},
		{
			name: 'under another identifier', outcome: ran, repeated: {...claim, id: 'two'}, expected: {kind: 'begun'},
		},
	])('$name', ({outcome, repeated, expected}) => {
		const store = createTicketStore(limits);
		expect(store.begin(claim, 0)).toEqual({kind: 'begun'});
		if (outcome) {
			store.finish(claim.id, outcome);
		}

		expect(store.begin(repeated, 1)).toEqual(expected);
	});

	test('may run if the first provably didn\'t', () => {
		const store = createTicketStore(limits);
		store.begin(claim, 0);
		store.remove(claim.id);
		expect(store.begin(claim, 1)).toEqual({kind: 'begun'});
	});
});

describe('a full store', () => {
	test.each([
		{
			name: 'for one customer', customers: ['a', 'a'], next: 'a', expected: 'full',
		},
		{
			name: 'but not for another', customers: ['a', 'a'], next: 'b', expected: 'begun',
		},
		{
			name: 'for all', customers: ['a', 'b', 'c'], next: 'd', expected: 'full',
		},
	])('refuses $name', ({customers, next, expected}) => {
		const store = createTicketStore(limits);
		for (const [index, customer] of customers.entries()) {
			store.begin({...claim, id: `${index}`, customer}, 0);
		}

		expect(store.begin({...claim, id: 'next', customer: next}, 0).kind).toBe(expected);
		expect(store.begin({...claim, id: 'next', customer: next}, claim.forgetAt).kind).toBe('begun');
	});

	test('stores outcomes without bodies beyond its limit of bytes', () => {
		const store = createTicketStore(limits);
		for (const id of ['one', 'two']) {
			store.begin({...claim, id}, 0);
			store.finish(id, ran);
		}

		const bodyLengths = store.getUnexpired(0).map(({outcome}) => outcome.kind === 'ran' && outcome.answer.body?.length);
		expect(bodyLengths).toEqual([10, undefined]);
	});
});
