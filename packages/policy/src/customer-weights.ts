/**
 * The weights of customers in the fair queue: the square root of their rate.
 * With equal weights, large customers wait even within their rate; with
 * weights proportional to the rate, bursts of small customers wait long.
 */
import type {Customer} from './configuration.js';

export type CustomerWeights = {
	/** The weight of the customer; the mean weight for one that isn't configured. */
	readonly getWeight: (customer: string) => number;
};

export function createCustomerWeights(customers: ReadonlyArray<Pick<Customer, 'name' | 'rate'>>): CustomerWeights {
	const weights = new Map(customers.map(({name, rate}) => [name, getCustomerWeight(rate)]));
	const sum = [...weights.values()].reduce((total, weight) => total + weight, 0);
	const mean = weights.size > 0 ? sum / weights.size : 1;
	return {getWeight: customer => weights.get(customer) ?? mean};
}

export function getCustomerWeight(rate: number): number {
	return Math.sqrt(rate);
}
