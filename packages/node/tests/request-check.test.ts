/** Which requests an entry admits while what it knows goes out of date. */
import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import type {Customer, Route} from '@catkindale/policy';
import {checkRequest} from '../src/request-check.js';
import type {RequestQuotas} from '../src/request-quotas.js';
import type {RoutingTable} from '../src/routing-table.js';

const customer: Pick<Customer, 'name'> = {name: 'wideroe'};
const keyedRequest = {
	method: 'GET', url: '/prices/ENGM', headers: {authorization: 'Bearer key'}, rawHeaders: ['authorization', 'Bearer key'],
} as unknown as IncomingMessage;

type Case = {
	readonly name: string;
	readonly isOpen: boolean;
	readonly isCurrentBefore: boolean;
	readonly isCurrentAfter: boolean;
	readonly expected: string;
};

const cases: readonly Case[] = [
	{
		name: 'current all the time', isOpen: false, isCurrentBefore: true, isCurrentAfter: true, expected: 'admitted',
	},
	{
		name: 'out of date before', isOpen: false, isCurrentBefore: false, isCurrentAfter: false, expected: 'knowledge-out-of-date',
	},
	{
		name: 'out of date while the request waits for its token', isOpen: false, isCurrentBefore: true, isCurrentAfter: false, expected: 'knowledge-out-of-date',
	},
	{
		name: 'out of date, on a route that needs no key', isOpen: true, isCurrentBefore: false, isCurrentAfter: false, expected: 'admitted',
	},
];

describe('a request at an entry whose knowledge is', () => {
	// Guards against serving a key for seconds after it may have been withdrawn.
	it.each(cases)('$name: $expected', async ({isOpen, isCurrentBefore, isCurrentAfter, expected}) => {
		let isCurrent = isCurrentBefore;
		const route: Pick<Route, 'open'> = {open: isOpen};
		const checked = await checkRequest(keyedRequest, {
			routing: {findRoute: () => route, findCustomer: () => customer} as unknown as RoutingTable,
			quotas: {
				async admitOrWait() {
					isCurrent = isCurrentAfter;
					return {kind: 'admitted'};
				},
			} as unknown as RequestQuotas,
			isCurrent: () => isCurrent,
			onExpiry: () => () => undefined,
			isForwarded: false,
			getTokenDeadline: () => 0,
		});
		expect(checked.kind === 'refused' ? checked.problem.reason : checked.kind).toBe(expected);
	});

	// Guards against a wait of seconds for a token on a node that may use none any more.
	it('out of date while no token comes: refused at once', async () => {
		let isCurrent = true;
		let expire = (): void => undefined;
		let refuseWaiters = (): void => undefined;
		const checking = checkRequest(keyedRequest, {
			routing: {findRoute: () => ({open: false}), findCustomer: () => customer} as unknown as RoutingTable,
			quotas: {
				admitOrWait: async () => new Promise(resolve => {
					refuseWaiters = () => {
						resolve({kind: 'refused', retryAfterMilliseconds: 3000});
					};
				}),
				refuseWaiters() {
					refuseWaiters();
				},
			} as unknown as RequestQuotas,
			isCurrent: () => isCurrent,
			onExpiry(run) {
				expire = run;
				return () => undefined;
			},
			isForwarded: false,
			getTokenDeadline: () => Number.POSITIVE_INFINITY,
		});
		isCurrent = false;
		expire();
		const checked = await checking;
		expect(checked.kind === 'refused' && checked.problem).toMatchObject({status: 503, outcome: 'not-run', reason: 'knowledge-out-of-date'});
	});
});
