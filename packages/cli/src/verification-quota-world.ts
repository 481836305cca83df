/**
 * The surroundings of the quotas' randomised run: simulated time, a lossy
 * channel between nodes, a table with outages and lost answers, and a lagging
 * list of VMs. All randomness comes from one seed.
 */
import type {Random} from '@catkindale/common';
import type {
	Row, RowWrite, TableOutcome, TableService,
} from '@catkindale/ports';

export type World = {
	readonly random: Random;
	now: () => number;
	/** Called by an event that resolves a promise with several steps behind it. */
	settle: () => void;
	/** Runs the function after so many milliseconds of simulated time. */
	after: (milliseconds: number, run: () => void) => void;
	/** Runs all events up to the time; promises that they resolve go on in between. */
	runUntil: (time: number) => Promise<void>;
};

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** A promise that an event resolves is followed by so many steps at most before the next event. */
const microtaskTurns = 8;
/** Events without an answer of the table resolve promises of one step. */
const usualTurns = 2;

export function createWorld(random: Random): World {
	const events: Event[] = [];
	let now = 0;
	let order = 0;
	let turns = usualTurns;
	return {
		random,
		now: () => now,
		settle() {
			turns = microtaskTurns;
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
				for (let turn = 0; turn < turns; turn++) {
					await Promise.resolve();
				}

				turns = usualTurns;
			}

			now = time;
		},
	};
}

export type FakeTable = {
	isDown: boolean;
	lostAnswerShare: number;
	readonly rows: Map<string, Row>;
	/** The table as one node reaches it; `deliver` runs what comes back on that node. */
	connect: (deliver: (run: () => void) => void, isReachable: () => boolean) => TableService;
};

const longestTableDelayMilliseconds = 150;

export function createFakeTable(world: World): FakeTable {
	const rows = new Map<string, Row>();
	const fake: FakeTable = {
		isDown: false,
		lostAnswerShare: 0,
		rows,
		connect(deliver, isReachable) {
			const call = async <Value>(run: () => TableOutcome<Value>, lost: TableOutcome<Value>): Promise<TableOutcome<Value>> => new Promise(resolve => {
				world.after(world.random.integer(0, longestTableDelayMilliseconds), () => {
					const isUp = !fake.isDown && isReachable();
					const outcome = isUp ? run() : {kind: 'not-done' as const, reason: 'outage'};
					const isLost = isUp && world.random.fraction() < fake.lostAnswerShare;
					world.after(world.random.integer(0, longestTableDelayMilliseconds), () => {
						deliver(() => {
							resolve(isLost ? lost : outcome);
							world.settle();
						});
					});
				});
			});
			return {
				get: async key => call(() => ({kind: 'done', value: rows.get(key)}), {kind: 'not-done', reason: 'lost'}),
				list: async prefix => call(() => ({kind: 'done', value: [...rows.values()].filter(row => row.key.startsWith(prefix))}), {kind: 'not-done', reason: 'lost'}),
				transact: async (changeId, writes) => call(() => transact(rows, changeId, writes), {kind: 'unknown', reason: 'lost'}),
				async close() {
					// Nothing is held.
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

/** Adds to the binary heap. */
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

/** Removes the earliest event of the binary heap. */
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
