/** The two reference deployments, reduced to the slots that one entry VM holds. */
import {getCustomerWeight} from '@catkindale/policy';
import type {SimulatedTarget} from './bench-load-baselines.js';
import type {SimulatedCustomer} from './bench-load-simulation.js';

export type DeploymentShape = {
	readonly name: string;
	readonly region: string;
	readonly otherRegions: readonly string[];
	/** One-way latency between regions. */
	readonly regionLatencyMilliseconds: number;
	/** Slots that the entry VM holds at each target of its region. */
	readonly slots: readonly number[];
	/** Mean service time of a target. */
	readonly serviceMilliseconds: number;
};

/**
 * Four entry VMs share the seven targets of their region. Each target has 4
 * slots (Fjordvik, pricing) or 5 slots (Mahlzeit, status lookup).
 */
export const deploymentShapes: readonly DeploymentShape[] = [
	{
		name: 'fjordvik pricing', region: 'oslo', otherRegions: ['bergen', 'tromso'], regionLatencyMilliseconds: 12, slots: [1, 1, 1, 1, 1, 1, 1], serviceMilliseconds: 20,
	},
	{
		name: 'mahlzeit status', region: 'ost', otherRegions: ['sued', 'west'], regionLatencyMilliseconds: 55, slots: [1, 1, 1, 1, 1, 2, 2], serviceMilliseconds: 20,
	},
];

/** Shares of the traffic of eight customers, a few of which are large. */
const customerShares = [0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02];
export const floodingCustomer = 'customer-2';

export function getTargets(shape: DeploymentShape): SimulatedTarget[] {
	return shape.slots.map((slots, index) => ({name: `${shape.region}-${index + 1}`, region: shape.region, slots}));
}

export function countSlots(targets: readonly SimulatedTarget[]): number {
	return targets.reduce((sum, target) => sum + target.slots, 0);
}

/** Requests per second that the slots can serve. */
export function getCapacity(shape: DeploymentShape): number {
	return countSlots(getTargets(shape)) * 1000 / shape.serviceMilliseconds;
}

/**
 * Customers whose requests add up to a fraction of the capacity.
 * @param rateLimitFraction sum of their rate limits as a fraction of the capacity; no limits if undefined
 */
export function getCustomers(shape: DeploymentShape, loadFraction: number, rateLimitFraction?: number, getWeight: (rate: number) => number = getCustomerWeight): SimulatedCustomer[] {
	const capacity = getCapacity(shape);
	return customerShares.map((share, index) => ({
		name: `customer-${index + 1}`,
		arrivalRate: share * loadFraction * capacity,
		rateLimit: rateLimitFraction === undefined ? undefined : share * rateLimitFraction * capacity,
		weight: getWeight(share * capacity),
	}));
}
