/**
 * Nodes that follow a rollout in simulated time, for randomised runs and
 * measurements. The nodes' own code runs; the table and the channel between
 * the nodes are small fakes that delay, lose and repeat.
 */
import {
	type Clock, type Random, createIdentifier, createSilentLogger,
} from '@catkindale/common';
import {
	type RolloutTask, type VersionChooser, commitWrite, createReport, createRolloutTask, createVersionChooser, getTaskShare, planNextWrite, applyRow, setDesiredState, applyReport,
} from '@catkindale/node';
import type {Configuration, RolloutReport, RolloutRow} from '@catkindale/policy';
import type {Row, TableOutcome, TableService} from '@catkindale/ports';

/** Times in milliseconds, shares from 0 to 1. */
export type FleetFaults = {
	messageLossShare: number;
	messageRepeatShare: number;
	longestMessageLag: number;
	answerLossShare: number;
	/** How long a write may travel until it takes effect, also past its time limit. */
	longestWriteLag: number;
	isTableDown: boolean;
	/** Whether two nodes can't hear each other. */
	isCut: (left: string, right: string) => boolean;
	/** Whether a node can't reach the table while others can. */
	isTableCut: (node: string) => boolean;
};

export type FleetNode = {
	readonly name: string;
	readonly clock: Clock;
	task: RolloutTask;
	readonly chooser: VersionChooser;
	state: 'live' | 'frozen' | 'dead';
	/** Messages that wait in the sockets of a frozen node. */
	readonly inbox: Array<() => void>;
	lastRefresh: number;
};

export type FleetOptions = {
	readonly random: Random;
	readonly nodes: number;
	readonly configuration: Configuration;
	readonly rollout: string;
	readonly tickMilliseconds: number;
	/** Runs whenever the row changed, with the table's own time. */
	readonly onRow?: (row: RolloutRow, at: number) => void;
	/** Runs after each tick of a node. */
	readonly onTick: (node: FleetNode) => void;
};

export type RolloutFleet = {
	readonly nodes: readonly FleetNode[];
	readonly faults: FleetFaults;
	readonly table: TableService;
	now: () => number;
	getRow: () => RolloutRow | undefined;
	getMembers: () => readonly string[];
	restart: (node: FleetNode) => void;
	wake: (node: FleetNode) => void;
	schedule: (delay: number, run: () => void) => void;
	runUntil: (time: number) => Promise<void>;
};

type Event = {readonly at: number; readonly run: () => void};

const callTimeoutMilliseconds = 1000;
const shortestLagMilliseconds = 1;
const largestClockOffset = 50;
const microtasksPerAnswer = 5;
const configurationVersion = 1;

export function createRolloutFleet(options: FleetOptions): RolloutFleet {
	const {random, configuration, rollout, tickMilliseconds} = options;
	const events: Event[] = [];
	const rows = new Map<string, Row>();
	let now = 0;
	let isAnswered = false;
	const faults: FleetFaults = {
		messageLossShare: 0,
		messageRepeatShare: 0,
		longestMessageLag: 2 * shortestLagMilliseconds,
		answerLossShare: 0,
		longestWriteLag: 20,
		isTableDown: false,
		isCut: () => false,
		isTableCut: () => false,
	};

	const schedule = (delay: number, run: () => void): void => {
		const at = now + delay;
		let index = events.length;
		while (index > 0 && (events[index - 1]?.at ?? 0) < at) {
			index -= 1;
		}

		// The next event is the last one, so that it is taken off cheaply.
		events.splice(index, 0, {at, run});
	};

	const apply = (changeId: string, {key, expectedVersion, value}: {key: string; expectedVersion: number; value: unknown}): TableOutcome<readonly Row[]> => {
		const known = rows.get(key);
		if ((known?.version ?? 0) !== expectedVersion) {
			return {kind: 'conflict', rows: known ? [known] : []};
		}

		const row = {
			key, version: expectedVersion + 1, changeId, value: structuredClone(value),
		};
		rows.set(key, row);
		options.onRow?.(row.value as RolloutRow, now);
		return {kind: 'done', value: [row]};
	};

	const table: TableService = {
		get: async key => faults.isTableDown ? {kind: 'not-done', reason: 'outage'} : {kind: 'done', value: rows.get(key)},
		list: async prefix => faults.isTableDown ? {kind: 'not-done', reason: 'outage'} : {kind: 'done', value: [...rows.values()].filter(row => row.key.startsWith(prefix))},
		transact: async (changeId, writes) => new Promise(resolve => {
			const answer = (delay: number, outcome: TableOutcome<readonly Row[]>): void => {
				schedule(delay, () => {
					isAnswered = true;
					resolve(outcome);
				});
			};

			const [write] = writes;
			const lag = random.integer(shortestLagMilliseconds, faults.longestWriteLag);
			const isLost = random.fraction() < faults.answerLossShare || lag >= callTimeoutMilliseconds;
			if (isLost) {
				answer(callTimeoutMilliseconds, {kind: 'unknown', reason: 'the answer was lost'});
			}

			schedule(lag, () => {
				const outcome: TableOutcome<readonly Row[]> = faults.isTableDown || !write ? {kind: 'not-done', reason: 'outage'} : apply(changeId, write);
				if (!isLost) {
					answer(shortestLagMilliseconds, outcome);
				}
			});
		}),
		async close() {
			rows.clear();
		},
	};

	const getTableOf = (member: string): TableService => ({
		...table,
		async transact(changeId, writes) {
			return faults.isTableCut(member) ? {kind: 'not-done', reason: 'cut'} : table.transact(changeId, writes);
		},
	});

	const createTask = (member: string, clock: Clock): RolloutTask => {
		const task = createRolloutTask(rollout, {
			member, incarnation: createIdentifier(), clock, logger: createSilentLogger(), table: getTableOf(member),
		});
		setDesiredState(task, configuration, configurationVersion);
		return task;
	};

	const nodes = Array.from({length: options.nodes}, (_, index): FleetNode => {
		const offset = random.integer(0, 2 * largestClockOffset) - largestClockOffset;
		const clock: Clock = {monotonic: () => now, wall: () => now + offset};
		const name = `node-${index}`;
		const chooser = createVersionChooser(clock);
		chooser.setConfiguration(configuration);
		return {
			name, clock, task: createTask(name, clock), chooser, state: 'live', inbox: [], lastRefresh: 0,
		};
	});
	const getMembers = (): readonly string[] => nodes.filter(node => node.state !== 'dead').map(node => node.name);

	const refreshShare = (node: FleetNode): void => {
		const {row} = node.task.follower;
		if (row) {
			node.chooser.setShare({service: row.service, version: row.to, ...getTaskShare(node.task, getMembers())});
		}
	};

	const deliver = (from: string, node: FleetNode, report: RolloutReport): void => {
		const receive = (): void => {
			applyReport(node.task, from, report, now);
			refreshShare(node);
		};

		if (node.state === 'live') {
			receive();
		} else if (node.state === 'frozen') {
			node.inbox.push(receive);
		}
	};

	const send = (from: FleetNode, to: FleetNode, report: RolloutReport): void => {
		if (random.fraction() < faults.messageLossShare || faults.isCut(from.name, to.name)) {
			return;
		}

		const copies = random.fraction() < faults.messageRepeatShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			schedule(random.integer(shortestLagMilliseconds, faults.longestMessageLag), () => {
				deliver(from.name, to, report);
			});
		}
	};

	const poll = (node: FleetNode): void => {
		if (!faults.isTableDown && !faults.isTableCut(node.name)) {
			applyRow(node.task, rows.get(`rollout/${rollout}`), now);
		}
	};

	const tick = (node: FleetNode): void => {
		schedule(tickMilliseconds, () => {
			tick(node);
		});
		if (node.state !== 'live') {
			return;
		}

		poll(node);
		const report = createReport(node.task);
		refreshShare(node);
		for (const other of nodes) {
			if (other !== node) {
				send(node, other, report);
			}
		}

		const write = node.task.isWriting ? undefined : planNextWrite(node.task, getMembers());
		if (write) {
			void commitWrite(node.task, write);
		}

		options.onTick(node);
	};

	for (const node of nodes) {
		schedule(random.integer(1, tickMilliseconds), () => {
			tick(node);
		});
	}

	return {
		nodes,
		faults,
		table,
		now: () => now,
		getRow: () => rows.get(`rollout/${rollout}`)?.value as RolloutRow | undefined,
		getMembers,
		restart(node) {
			node.task = createTask(node.name, node.clock);
			node.inbox.length = 0;
			node.chooser.setShare({service: configuration.services[0]?.name ?? '', version: 'none', share: 0});
			node.state = 'live';
		},
		wake(node) {
			node.state = 'live';
			for (const receive of node.inbox.splice(0)) {
				receive();
			}
		},
		schedule,
		async runUntil(time) {
			while ((events.at(-1)?.at ?? Infinity) <= time) {
				const event = events.pop()!;
				now = event.at;
				event.run();
				if (isAnswered) {
					isAnswered = false;
					for (let microtask = 0; microtask < microtasksPerAnswer; microtask++) {
						await Promise.resolve();
					}
				}
			}

			now = time;
		},
	};
}
