/** The two deployments of the brief, scaled to the slots that one entry VM holds. */
import {getCustomerWeight} from '@catkindale/policy';
import type {SimulatedTarget} from './bench-load-baselines.js';
import type {SimulatedCustomer} from './bench-load-simulation.js';

export type DeploymentShape = {
	readonly name: string;
	readonly region: string;
	readonly otherRegions: readonly string[];
	/** One-way latency between regions. */
	readonly regionMilliseconds: number;
	/** Slots that the entry VM holds at each target of its region. */
	readonly slots: readonly number[];
	/** Mean time that a target works on a request. */
	readonly serviceMilliseconds: number;
};

/**
 * Four entry VMs share the seven targets of their region: of 4 slots each
 * (Fjordvik, pricing) or of 5 (Mahlzeit, status look-up).
 */
export const deploymentShapes: readonly DeploymentShape[] = [
	{
		name: 'fjordvik pricing', region: 'oslo', otherRegions: ['bergen', 'tromso'], regionMilliseconds: 12, slots: [1, 1, 1, 1, 1, 1, 1], serviceMilliseconds: 20,
	},
	{
		name: 'mahlzeit status', region: 'ost', otherRegions: ['sued', 'west'], regionMilliseconds: 55, slots: [1, 1, 1, 1, 1, 2, 2], serviceMilliseconds: 20,
	},
];

/** Parts of the traffic of eight customers, a few of them large. */
const customerParts = [0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02];
export const largeCustomer = 'customer-2';

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

/** Customers whose requests together make up the given part of the capacity. */
export function getCustomers(shape: DeploymentShape, load: number, limitedTo?: number, getWeight: (rate: number) => number = getCustomerWeight): SimulatedCustomer[] {
	const capacity = getCapacity(shape);
	return customerParts.map((part, index) => ({
		name: `customer-${index + 1}`,
		sent: part * load * capacity,
		rate: limitedTo === undefined ? undefined : part * limitedTo * capacity,
		weight: getWeight(part * capacity),
	}));
}
