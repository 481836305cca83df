/**
 * Requests that a gateway has read and not begun: the most urgent begin first,
 * of these the oldest. As in the variant of CoDel that B. Maurer describes
 * ("Fail at Scale", ACM Queue 13/8, 2015), the wait that is allowed depends on
 * how long the queue has stood: a burst, as after a loss of all gateways, is
 * served whole, if late; what stands for longer is more than can be served, and
 * is refused so early that the rest isn't late.
 */
import {isShedLate} from './late-shedding.js';

export type IntakeItem = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The time that the request has, from its arrival. */
	readonly limitMilliseconds: number;
	/** Monotonic; about when it could first have been read. */
	readonly arrivedAt: number;
};

export type IntakeQueue<Item extends IntakeItem> = {
	readonly getLength: () => number;
	/** Whether the request would wait too long if it were added. */
	readonly isTooLate: (item: IntakeItem, state: IntakeState) => boolean;
	readonly add: (item: Item, now: number) => void;
	/** Takes out the request to begin now, if it is ready. */
	readonly take: (isReady: (item: Item) => boolean) => Item | undefined;
	/** Takes out the requests that would wait too long by now. */
	readonly takeLate: (state: IntakeState) => Item[];
	readonly remove: (item: Item) => void;
};

export type IntakeState = {
	readonly now: number;
	/** How long connections may have waited to be accepted. */
	readonly acceptMilliseconds: number;
};

/** CoDel's interval is 100 ms, a way there and back in the network; a process that starts amid callers needs a second to serve those that waited for it. */
const burstMilliseconds = 1000;
/** What a request may wait in a burst; the other half of its time is for its run. */
const burstPart = 0.5;
/** Until some have begun: twice the processor time of a request, since nodes have about half a core. */
const assumedIntervalMilliseconds = 8;
const startsToMeasure = 8;

export function createIntakeQueue<Item extends IntakeItem>(): IntakeQueue<Item> {
	/** By priority, ascending; each in order of arrival. */
	const classes: Array<{readonly priority: number; items: Item[]}> = [];
	let length = 0;
	let standingSince = 0;
	let starts = 0;

	const getClass = (priority: number): {items: Item[]} => {
		const index = classes.findIndex(known => known.priority >= priority);
		const known = classes[index];
		if (known?.priority === priority) {
			return known;
		}

		const added = {priority, items: []};
		classes.splice(index === -1 ? classes.length : index, 0, added);
		return added;
	};

	const getInterval = (now: number): number => starts < startsToMeasure ? assumedIntervalMilliseconds : (now - standingSince) / starts;

	const isLate = ({priority, limitMilliseconds, arrivedAt}: IntakeItem, {now, acceptMilliseconds}: IntakeState, ahead: number): boolean => {
		const wait = now - arrivedAt + (ahead * getInterval(now));
		const standing = Math.max(acceptMilliseconds, length === 0 ? 0 : now - standingSince);
		return standing > burstMilliseconds ? isShedLate(Math.max(wait, acceptMilliseconds), priority) : wait > limitMilliseconds * burstPart;
	};

	return {
		getLength: () => length,
		isTooLate(item, state) {
			let ahead = 0;
			for (const {priority, items} of classes) {
				ahead += priority <= item.priority ? items.length : 0;
			}

			return isLate(item, state, ahead);
		},
		add(item, now) {
			if (length === 0) {
				standingSince = now;
				starts = 0;
			}

			getClass(item.priority).items.push(item);
			length += 1;
		},
		take(isReady) {
			const first = classes.find(({items}) => items.length > 0);
			if (!first || !isReady(first.items[0]!)) {
				return undefined;
			}

			length -= 1;
			starts += 1;
			return first.items.shift();
		},
		takeLate(state) {
			const late: Item[] = [];
			let ahead = 0;
			for (const known of classes) {
				const kept: Item[] = [];
				for (const item of known.items) {
					(isLate(item, state, ahead + kept.length) ? late : kept).push(item);
				}

				known.items = kept;
				ahead += kept.length;
			}

			length = ahead;
			return late;
		},
		remove(item) {
			const known = getClass(item.priority);
			const kept = known.items.filter(other => other !== item);
			length -= known.items.length - kept.length;
			known.items = kept;
		},
	};
}
