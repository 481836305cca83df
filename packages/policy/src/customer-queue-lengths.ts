/**
 * Counts the waiting requests of each customer and finds the customer with
 * most of them in constant time: customers are kept by their number of
 * requests, which changes by one at a time.
 */
import {assertInvariant} from '@catkindale/common';

export type CustomerQueueLengths = {
	readonly increase: (customer: string) => void;
	readonly decrease: (customer: string) => void;
	readonly getLength: (customer: string) => number;
	/** Undefined when nothing waits. */
	readonly getLongest: () => string | undefined;
};

type Count = {
	readonly customer: string;
	length: number;
	/** Place among the customers of the same length. */
	position: number;
};

export function createCustomerQueueLengths(): CustomerQueueLengths {
	const counts = new Map<string, Count>();
	const countsByLength: Count[][] = [];
	let longest = 0;

	const leave = (count: Count): void => {
		const others = countsByLength[count.length];
		const last = others?.pop();
		if (others && last && last !== count) {
			others[count.position] = last;
			last.position = count.position;
		}
	};

	const join = (count: Count): void => {
		const others = countsByLength[count.length] ?? [];
		countsByLength[count.length] = others;
		count.position = others.push(count) - 1;
	};

	return {
		increase(customer) {
			const count = counts.get(customer) ?? {customer, length: 0, position: 0};
			if (count.length === 0) {
				counts.set(customer, count);
			} else {
				leave(count);
			}

			count.length += 1;
			join(count);
			longest = Math.max(longest, count.length);
		},
		decrease(customer) {
			const count = counts.get(customer);
			assertInvariant(count !== undefined, 'no customer has fewer than no waiting requests', {customer});
			leave(count);
			if (count.length === longest && countsByLength[longest]?.length === 0) {
				longest -= 1;
			}

			count.length -= 1;
			if (count.length === 0) {
				counts.delete(customer);
			} else {
				join(count);
			}
		},
		getLength: customer => counts.get(customer)?.length ?? 0,
		getLongest: () => countsByLength[longest]?.at(-1)?.customer,
	};
}
