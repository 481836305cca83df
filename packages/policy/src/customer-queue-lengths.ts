/**
 * Counts the waiting requests of each customer and finds the customer with the
 * most of them, in constant time. Customers are grouped by their number of
 * requests, which changes by one at a time.
 */
import {assertInvariant} from '@catkindale/common';

export type CustomerQueueLengths = {
	readonly increase: (customer: string) => void;
	readonly decrease: (customer: string) => void;
	readonly getLength: (customer: string) => number;
	/** Returns the customer with the most waiting requests, or undefined if none waits. */
	readonly getLongest: () => string | undefined;
};

type CustomerCount = {
	readonly customer: string;
	length: number;
	/** Index among the customers of the same length. */
	position: number;
};

export function createCustomerQueueLengths(): CustomerQueueLengths {
	const counts = new Map<string, CustomerCount>();
	const countsByLength: CustomerCount[][] = [];
	let longest = 0;

	const removeFromLength = (count: CustomerCount): void => {
		const sameLength = countsByLength[count.length];
		const last = sameLength?.pop();
		if (sameLength && last && last !== count) {
			sameLength[count.position] = last;
			last.position = count.position;
		}
	};

	const addToLength = (count: CustomerCount): void => {
		const sameLength = countsByLength[count.length] ?? [];
		countsByLength[count.length] = sameLength;
		count.position = sameLength.push(count) - 1;
	};

	return {
		increase(customer) {
			const count = counts.get(customer) ?? {customer, length: 0, position: 0};
			if (count.length === 0) {
				counts.set(customer, count);
			} else {
				removeFromLength(count);
			}

			count.length += 1;
			addToLength(count);
			longest = Math.max(longest, count.length);
		},
		decrease(customer) {
			const count = counts.get(customer);
			assertInvariant(count !== undefined, 'the number of waiting requests of a customer is never negative', {customer});
			removeFromLength(count);
			if (count.length === longest && countsByLength[longest]?.length === 0) {
				longest -= 1;
			}

			count.length -= 1;
			if (count.length === 0) {
				counts.delete(customer);
			} else {
				addToLength(count);
			}
		},
		getLength: customer => counts.get(customer)?.length ?? 0,
		getLongest: () => countsByLength[longest]?.at(-1)?.customer,
	};
}
