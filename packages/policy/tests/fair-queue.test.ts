import {expect, test} from 'vitest';
import {type TestRequest, createRequest} from './helpers-load.js';
import {createFairQueue} from '@catkindale/policy';

const limits = {requestsPerCustomer: 4, requests: 6, bulkShare: 0.5};

type Case = {readonly title: string; readonly requests: readonly TestRequest[]; readonly served: readonly string[]};

const cases: Case[] = [
	{
		title: 'one customer is served in the order of arrival',
		requests: ['a1', 'a2', 'a3'].map(id => createRequest(id)),
		served: ['a1', 'a2', 'a3'],
	},
	{
		title: 'a customer with one request doesn\'t wait for all earlier requests of another',
		requests: ['a1', 'a2', 'a3', 'b1'].map(id => createRequest(id)),
		served: ['a1', 'b1', 'a2', 'a3'],
	},
	{
		title: 'customers are served in proportion to their weights',
		requests: [...['a1', 'a2', 'a3'].map(id => createRequest(id)), ...['b1', 'b2', 'b3'].map(id => createRequest(id, {weight: 2}))],
		served: ['a1', 'b1', 'b2', 'a2', 'b3', 'a3'],
	},
	{
		title: 'interactive requests go first and bulk requests keep their share',
		requests: [...['a1', 'a2'].map(id => createRequest(id, {class: 'bulk'})), ...['b1', 'b2', 'b3'].map(id => createRequest(id))],
		served: ['b1', 'a1', 'b2', 'a2', 'b3'],
	},
	{
		title: 'requests of a customer beyond its limit are refused',
		requests: ['a1', 'a2', 'a3', 'a4', 'a5'].map(id => createRequest(id)),
		served: ['a1', 'a2', 'a3', 'a4'],
	},
	{
		title: 'in a full queue the newest request of the customer with most requests is displaced',
		requests: ['a1', 'a2', 'a3', 'a4', 'b1', 'b2', 'c1'].map(id => createRequest(id)),
		served: ['a1', 'b1', 'c1', 'a2', 'b2', 'a3'],
	},
];

test.each(cases)('$title', ({requests, served}) => {
	const queue = createFairQueue<TestRequest>(limits);
	for (const request of requests) {
		queue.add(request);
	}

	const order = Array.from({length: requests.length}, () => queue.take()?.id);
	expect(order.filter(id => id !== undefined)).toEqual(served);
	expect(queue.countCustomers()).toBe(0);
});

test('a removed request isn\'t served and isn\'t charged to its customer', () => {
	const queue = createFairQueue<TestRequest>(limits);
	const removed = createRequest('a1');
	for (const request of [removed, ...['b1', 'b2', 'a2'].map(id => createRequest(id))]) {
		queue.add(request);
	}

	expect(queue.remove(removed)).toBe(true);
	expect(queue.remove(removed)).toBe(false);
	expect([queue.take()?.id, queue.take()?.id, queue.take()?.id]).toEqual(['a2', 'b1', 'b2']);
});
