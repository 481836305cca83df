/**
 * Priority queue as a binary heap whose items can be removed, or moved after
 * their priority has changed. Each operation takes logarithmic time.
 */
import {assertInvariant} from '@catkindale/common';

/** Index of the item in the heap that contains it, or -1. An item is in at most one heap. */
export type PrioritizedItem = {heapPosition: number};

export type PriorityQueue<Item> = {
	readonly getLength: () => number;
	readonly has: (item: Item) => boolean;
	/** Returns the first item without removing it. */
	readonly peek: () => Item | undefined;
	readonly add: (item: Item) => void;
	readonly remove: (item: Item) => boolean;
	/** Restores the order after the priority of the item has changed. */
	readonly update: (item: Item) => void;
};

/** Creates an empty queue. After a change of an item's priority, call `update` before any other operation. */
export function createPriorityQueue<Item extends PrioritizedItem>(isBefore: (left: Item, right: Item) => boolean): PriorityQueue<Item> {
	const items: Item[] = [];

	const getItem = (position: number): Item => {
		const item = items[position];
		assertInvariant(item !== undefined, 'every position of the heap holds an item', {position, length: items.length});
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

	const restoreOrder = (item: Item, position: number): void => {
		moveDown(item, moveUp(item, position));
	};

	const has = (item: Item): boolean => items[item.heapPosition] === item;

	return {
		getLength: () => items.length,
		has,
		peek: () => items[0],
		add(item) {
			assertInvariant(item.heapPosition === -1, 'an item is in at most one heap');
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
				restoreOrder(last, position);
			}

			return true;
		},
		update(item) {
			assertInvariant(has(item), 'an item that is updated is in the heap');
			restoreOrder(item, item.heapPosition);
		},
	};
}
