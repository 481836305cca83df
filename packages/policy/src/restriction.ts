/**
 * Restrictions that a node applies as soon as it receives them and keeps until
 * a configuration in the table contains them. A restriction only removes
 * permissions, so no combination of restrictions permits anything that the
 * configuration doesn't.
 */
import * as z from 'zod';
import {
	type Configuration, type Customer, type Drain, drainSchema,
} from './configuration.js';

const restrictionBase = {
	/** The identifier of the operator's change. */
	id: z.string().min(1),
	author: z.string(),
};

export const restrictionSchema = z.discriminatedUnion('kind', [
	z.object({...restrictionBase, kind: z.literal('key-withdrawn'), hash: z.string()}),
	z.object({...restrictionBase, kind: z.literal('drained'), drain: drainSchema}),
	z.object({
		...restrictionBase, kind: z.literal('rate-lowered'), customer: z.string(), rate: z.number().positive(), burst: z.int().positive(),
	}),
]);

export type Restriction = z.infer<typeof restrictionSchema>;

/** The configuration with all restrictions applied. */
export function restrictConfiguration(configuration: Configuration, restrictions: readonly Restriction[]): Configuration {
	let restricted = configuration;
	for (const restriction of restrictions) {
		restricted = applyRestriction(restricted, restriction);
	}

	return restricted;
}

/** Whether the configuration without the restriction already has its effect. */
export function containsRestriction(configuration: Configuration, restriction: Restriction): boolean {
	switch (restriction.kind) {
		case 'key-withdrawn': {
			return configuration.keys.every(key => key.hash !== restriction.hash);
		}

		case 'drained': {
			return configuration.drains.some(drain => isSameDrain(drain, restriction.drain));
		}

		case 'rate-lowered': {
			return configuration.customers.every(customer =>
				customer.name !== restriction.customer || (customer.rate <= restriction.rate && customer.burst <= restriction.burst));
		}
	}
}

function applyRestriction(configuration: Configuration, restriction: Restriction): Configuration {
	switch (restriction.kind) {
		case 'key-withdrawn': {
			return {...configuration, keys: configuration.keys.filter(key => key.hash !== restriction.hash)};
		}

		case 'drained': {
			return containsRestriction(configuration, restriction) ? configuration : {...configuration, drains: [...configuration.drains, restriction.drain]};
		}

		case 'rate-lowered': {
			return {...configuration, customers: configuration.customers.map(customer => reduceRate(customer, restriction))};
		}
	}
}

function reduceRate(customer: Customer, restriction: Extract<Restriction, {kind: 'rate-lowered'}>): Customer {
	return customer.name === restriction.customer
		? {...customer, rate: Math.min(customer.rate, restriction.rate), burst: Math.min(customer.burst, restriction.burst)}
		: customer;
}

function isSameDrain(left: Drain, right: Drain): boolean {
	return left.kind === right.kind && left.name === right.name;
}
