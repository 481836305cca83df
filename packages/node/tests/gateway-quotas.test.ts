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
		clock, ownId: 'own', configuredGateways: 1, tolerance: {overage: 0, slackRequests: 0, windowMilliseconds: 5000},
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

const heartbeatMilliseconds = 500;
const stepMilliseconds = 5;
const windowMilliseconds = 5000;
const tolerance = {overage: 0.1, slackRequests: 20, windowMilliseconds};

type Fleet = {
	/** Requests per second of the customer at each of the gateways, after so many milliseconds. */
	readonly getRates: (milliseconds: number) => readonly number[];
	readonly hot: TrafficCustomer;
	/** The time that a heartbeat is on its way. */
	readonly wayMilliseconds: number;
	readonly runMilliseconds: number;
};

/** When the fleet admitted requests; heartbeats of the gateways come one after the other. */
function runFleet({getRates, hot, wayMilliseconds, runMilliseconds}: Fleet): number[] {
	const clock = createManualClock();
	const ids = getRates(0).map((_, index) => `gateway-${index}`);
	const fleet = ids.map(ownId => {
		const quotas = createGatewayQuotas({
			clock, ownId, configuredGateways: 3, tolerance,
		});
		quotas.setCustomers([hot]);
		return {
			ownId, quotas, heard: new Map<string, Readonly<Record<string, number>>>(ids.map(id => [id, {}])), owed: 0,
		};
	});
	let underWay: Array<{readonly at: number; readonly from: string; readonly demands: Readonly<Record<string, number>>}> = [];
	const admittedAt: number[] = [];
	for (let now = 0; now < runMilliseconds; now += stepMilliseconds) {
		for (const told of underWay.filter(({at}) => at <= now)) {
			for (const {ownId, heard} of fleet) {
				if (ownId !== told.from) {
					heard.set(told.from, told.demands);
				}
			}
		}

		underWay = underWay.filter(({at}) => at > now);
		for (const [index, gateway] of fleet.entries()) {
			const phase = Math.floor(index * heartbeatMilliseconds / fleet.length / stepMilliseconds) * stepMilliseconds;
			if (now % heartbeatMilliseconds === phase) {
				const demands = gateway.quotas.measureDemands();
				gateway.heard.set(gateway.ownId, demands);
				underWay.push({at: now + wayMilliseconds, from: gateway.ownId, demands});
				gateway.quotas.setDemands(new Map(gateway.heard), ids.length);
			}

			gateway.owed += getRates(now)[index]! * stepMilliseconds / 1000;
			for (; gateway.owed >= 1; gateway.owed--) {
				if (gateway.quotas.admit(hot, 0).kind === 'admitted') {
					admittedAt.push(now);
				}
			}
		}

		clock.advance(stepMilliseconds);
	}

	return admittedAt;
}

function getMostInWindow(times: readonly number[]): number {
	return Math.max(...times.map((from, index) => times.slice(index).filter(time => time < from + windowMilliseconds).length));
}

describe('a customer whose callers come all at once', () => {
	const gateways = 12;
	const settleMilliseconds = 4000;
	const surge = (usual: number, hot: number) => (milliseconds: number): number[] =>
		Array.from({length: gateways}, () => milliseconds < settleMilliseconds ? usual : hot);
	const cases = [
		{
			name: 'many times its usual, at all gateways', ratePerSecond: 141, burst: 141, getRates: surge(5, 60), leastServedPart: 0.9,
		},
		{
			name: 'from nothing', ratePerSecond: 141, burst: 141, getRates: surge(0, 60), leastServedPart: 0.9,
		},
		{
			name: 'a growth by steps', ratePerSecond: 100, burst: 100, getRates: (milliseconds: number) => Array.from({length: gateways}, () => 4 * (2 ** Math.min(4, Math.floor(milliseconds / 1000)))), leastServedPart: 0.9,
		},
		{
			name: 'at one half of the gateways, then at the other', ratePerSecond: 141, burst: 141, getRates: (milliseconds: number) => Array.from({length: gateways}, (_, index) => (index < 6) === (milliseconds % 4000 < 2000) ? 60 : 1), leastServedPart: 0.5,
		}, // Shares follow a second later.
	];
	it.each(cases)('$name: no window sees more than what is tolerated', ({ratePerSecond, burst, getRates, leastServedPart}) => {
		const hot = {
			...customer, ratePerSecond, burst,
		};
		const admitted = runFleet({
			getRates, hot, wayMilliseconds: 55, runMilliseconds: 14_000,
		});
		const allowed = (ratePerSecond * windowMilliseconds / 1000) + burst;
		expect(getMostInWindow(admitted)).toBeLessThanOrEqual((allowed * (1 + tolerance.overage)) + tolerance.slackRequests);
		expect(admitted.filter(time => time >= 9000).length).toBeGreaterThan(leastServedPart * ratePerSecond * 5);
	});
});
