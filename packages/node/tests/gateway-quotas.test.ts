/** What callers beyond their customer's rate are told, so that each comes back once, for a token of its own. */
import {describe, expect, it} from 'vitest';
import {createManualClock} from '@catkindale/common';
import type {TrafficCustomer} from '@catkindale/policy';
import {createGatewayQuotas} from '../src/gateway-quotas.js';

const customer: TrafficCustomer = {
	name: 'small', keyHashes: [], ratePerSecond: 10, burst: 1, regions: [],
};

/** The times that a flood of callers with this much time left is told, in milliseconds. */
function floodQuota(callers: number, leftMilliseconds: number): number[] {
	const clock = createManualClock();
	const quotas = createGatewayQuotas({
		clock, ownId: 'own', namedGateways: 1, tolerance: {overage: 0, slackRequests: 0, windowMilliseconds: 5000},
	});
	quotas.setDemands(new Map([['own', {small: 100}]]), 1);
	return Array.from({length: callers}, () => {
		const admission = quotas.admit(customer, leftMilliseconds);
		return admission.kind === 'admitted' ? 0 : admission.retryAfterMilliseconds;
	});
}

describe('a customer at many times its rate', () => {
	const cases = [
		{callers: 5, leftMilliseconds: 10_000, told: [100, 200, 300, 400, 500]},
		// The tokens of the first 0.3 s are promised; who has no more time than that learns when the next one comes.
		{callers: 6, leftMilliseconds: 300, told: [100, 200, 300, 400, 400, 400]},
	];
	it.each(cases)('tells $callers callers with $leftMilliseconds ms left to come after $told', ({callers, leftMilliseconds, told}) => {
		expect(floodQuota(callers, leftMilliseconds).map(milliseconds => Math.round(milliseconds))).toEqual(told);
	});
});
