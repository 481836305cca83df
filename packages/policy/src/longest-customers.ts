/**
 * Finds the customer with most waiting requests in constant time: customers
 * are kept by their number of requests, which changes by one at a time.
 */
import {assertInvariant} from '@catkindale/common';

export type LongestCustomers = {
	readonly increase: (customer: string) => void;
	readonly decrease: (customer: string) => void;
	/** Undefined when nothing waits. */
	readonly getLongest: () => string | undefined;
};

export function createLongestCustomers(): LongestCustomers {
	const lengths = new Map<string, number>();
	const customersByLength: Array<Set<string>> = [];
	let longest = 0;

	const change = (customer: string, difference: 1 | -1): void => {
		const before = lengths.get(customer) ?? 0;
		const after = before + difference;
		assertInvariant(after >= 0, 'no customer has fewer than no waiting requests', {customer});
		customersByLength[before]?.delete(customer);
		if (after === 0) {
			lengths.delete(customer);
		} else {
			lengths.set(customer, after);
			const others = customersByLength[after] ?? new Set();
			others.add(customer);
			customersByLength[after] = others;
		}

		longest = Math.max(longest, after);
		if ((customersByLength[longest]?.size ?? 0) === 0) {
			longest = Math.max(0, longest - 1);
		}
	};

	return {
		increase(customer) {
			change(customer, 1);
		},
		decrease(customer) {
			change(customer, -1);
		},
		getLongest() {
			const [customer] = customersByLength[longest] ?? [];
			return customer;
		},
	};
}
