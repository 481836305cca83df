/**
 * A priority queue as a binary heap whose items can be removed or moved after
 * their order has changed. Each operation takes time logarithmic in its length.
 */
import {assertInvariant} from '@catkindale/common';

/** An item knows its place in the one heap that holds it; -1 outside of any. */
export type PrioritizedItem = {heapPosition: number};

export type PriorityQueue<Item> = {
	readonly getLength: () => number;
	readonly has: (item: Item) => boolean;
	/** The item that comes before all others. */
	readonly peek: () => Item | undefined;
	readonly add: (item: Item) => void;
	readonly remove: (item: Item) => boolean;
	/** Moves an item whose order has changed to its place. */
	readonly update: (item: Item) => void;
};

/** Creates an empty queue; the order of an item may change only before `update` is called for it. */
export function createPriorityQueue<Item extends PrioritizedItem>(isBefore: (left: Item, right: Item) => boolean): PriorityQueue<Item> {
	const items: Item[] = [];

	const getItem = (position: number): Item => {
		const item = items[position];
		assertInvariant(item !== undefined, 'a heap position holds an item', {position, length: items.length});
		return item;
	};

	const place = (item: Item, position: number): void => {
		items[position] = item;
		item.heapPosition = position;
	};

	const moveUp = (item: Item, from: number): number => {
		let position = from;
		while (position > 0) {
			const parentPosition = Math.floor((position - 1) / 2);
			const parent = getItem(parentPosition);
			if (!isBefore(item, parent)) {
				break;
			}

			place(parent, position);
			position = parentPosition;
		}

		place(item, position);
		return position;
	};

	const moveDown = (item: Item, from: number): void => {
		let position = from;
		for (;;) {
			let childPosition = (2 * position) + 1;
			if (childPosition >= items.length) {
				break;
			}

			if (childPosition + 1 < items.length && isBefore(getItem(childPosition + 1), getItem(childPosition))) {
				childPosition += 1;
			}

			const child = getItem(childPosition);
			if (!isBefore(child, item)) {
				break;
			}

			place(child, position);
			position = childPosition;
		}

		place(item, position);
	};

	const settle = (item: Item, position: number): void => {
		moveDown(item, moveUp(item, position));
	};

	const has = (item: Item): boolean => items[item.heapPosition] === item;

	return {
		getLength: () => items.length,
		has,
		peek: () => items[0],
		add(item) {
			assertInvariant(item.heapPosition === -1, 'an item is in one heap only');
			items.push(item);
			moveUp(item, items.length - 1);
		},
		remove(item) {
			const last = items.at(-1);
			if (!has(item) || last === undefined) {
				return false;
			}

			const position = item.heapPosition;
			items.pop();
			item.heapPosition = -1;
			if (last !== item) {
				settle(last, position);
			}

			return true;
		},
		update(item) {
			assertInvariant(has(item), 'only an item of the heap is moved');
			settle(item, item.heapPosition);
		},
	};
}
