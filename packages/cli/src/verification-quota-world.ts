/**
 * Environment of a simulated fleet: an event queue in simulated time, and a
 * table with delays, outages and lost responses. All randomness comes from one
 * seed.
 */
import type {Random} from '@catkindale/common';
import type {
	Row, RowWrite, TableOutcome, TableService,
} from '@catkindale/ports';

export type World = {
	readonly random: Random;
	now: () => number;
	/** Runs more microtasks after the current event; called by an event that resolves a promise with a chain of continuations. */
	allowMoreMicrotasks: () => void;
	/** Runs the function after this many milliseconds of simulated time. */
	after: (milliseconds: number, run: () => void) => void;
	/** Runs all events up to this time; continuations of the promises that an event resolves run before the next event. */
	runUntil: (time: number) => Promise<void>;
};

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** Microtasks that run after an event that completes a table call; enough for the longest chain of continuations. */
const maximumMicrotasks = 8;
/** Microtasks that run after any other event, whose promises have a single continuation. */
const normalMicrotasks = 2;

export function createWorld(random: Random): World {
	const events: Event[] = [];
	let now = 0;
	let order = 0;
	let microtasks = normalMicrotasks;
	return {
		random,
		now: () => now,
		allowMoreMicrotasks() {
			microtasks = maximumMicrotasks;
		},
		after(milliseconds, run) {
			order += 1;
			pushEvent(events, {at: now + Math.max(0, milliseconds), order, run});
		},
		async runUntil(time) {
			for (let next = events[0]; next && next.at <= time; next = events[0]) {
				popEvent(events);
				now = next.at;
				next.run();
				for (let microtask = 0; microtask < microtasks; microtask++) {
					await Promise.resolve();
				}

				microtasks = normalMicrotasks;
			}

			now = time;
		},
	};
}

export type FakeTable = {
	isDown: boolean;
	lostResponseFraction: number;
	readonly rows: Map<string, Row>;
	/** Creates a node's client of the table; `deliver` runs the handling of a response on that node. */
	connect: (deliver: (run: () => void) => void, isReachable: () => boolean) => TableService;
};

const maximumTableDelayMilliseconds = 150;

export function createFakeTable(world: World): FakeTable {
	const rows = new Map<string, Row>();
	const fake: FakeTable = {
		isDown: false,
		lostResponseFraction: 0,
		rows,
		connect(deliver, isReachable) {
			const call = async <Value>(run: () => TableOutcome<Value>, lostOutcome: TableOutcome<Value>): Promise<TableOutcome<Value>> => new Promise(resolve => {
				world.after(world.random.integer(0, maximumTableDelayMilliseconds), () => {
					const isUp = !fake.isDown && isReachable();
					const outcome = isUp ? run() : {kind: 'not-done' as const, reason: 'outage'};
					const isLost = isUp && world.random.fraction() < fake.lostResponseFraction;
					world.after(world.random.integer(0, maximumTableDelayMilliseconds), () => {
						deliver(() => {
							resolve(isLost ? lostOutcome : outcome);
							world.allowMoreMicrotasks();
						});
					});
				});
			});
			return {
				get: async key => call(() => ({kind: 'done', value: rows.get(key)}), {kind: 'not-done', reason: 'lost'}),
				list: async prefix => call(() => ({kind: 'done', value: [...rows.values()].filter(row => row.key.startsWith(prefix))}), {kind: 'not-done', reason: 'lost'}),
				transact: async (changeId, writes) => call(() => transact(rows, changeId, writes), {kind: 'unknown', reason: 'lost'}),
				async close() {
					// No resources to release.
				},
			};
		},
	};
	return fake;
}

function transact(rows: Map<string, Row>, changeId: string, writes: readonly RowWrite[]): TableOutcome<readonly Row[]> {
	const conflicts = writes.filter(write => (rows.get(write.key)?.version ?? 0) !== write.expectedVersion);
	if (conflicts.length > 0) {
		return {kind: 'conflict', rows: conflicts.flatMap(write => rows.get(write.key) ?? [])};
	}

	const written = writes.map(write => ({
		key: write.key, version: write.expectedVersion + 1, changeId, value: write.value,
	}));
	for (const row of written) {
		rows.set(row.key, row);
	}

	return {kind: 'done', value: written};
}

function isBefore(left: Event, right: Event): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}

/** Adds an event to the binary heap. */
function pushEvent(events: Event[], event: Event): void {
	let index = events.length;
	events.push(event);
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isBefore(event, events[parent]!)) {
			break;
		}

		events[index] = events[parent]!;
		index = parent;
	}

	events[index] = event;
}

/** Removes the earliest event from the binary heap. */
function popEvent(events: Event[]): void {
	const last = events.pop();
	if (!last || events.length === 0) {
		return;
	}

	let index = 0;
	for (let child = 1; child < events.length; child = (2 * index) + 1) {
		const right = child + 1;
		const earlier = right < events.length && isBefore(events[right]!, events[child]!) ? right : child;
		if (!isBefore(events[earlier]!, last)) {
			break;
		}

		events[index] = events[earlier]!;
		index = earlier;
	}

	events[index] = last;
}
