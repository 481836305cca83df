/**
 * A fleet of nodes that take part in a rollout in simulated time, for randomised
 * tests and benches. The nodes run the product's rollout code. The table and the
 * channel between the nodes are simulated: they delay, lose and repeat messages.
 */
import {
	type Clock, type Random, createIdentifier, createSilentLogger,
} from '@catkindale/common';
import {
	type RolloutTask, type VersionChooser, commitWrite, createReport, createRolloutTask, createVersionChooser, getTaskShare, planNextWrite, applyRow, setDesiredState, applyReport,
} from '@catkindale/node';
import type {Configuration, RolloutReport, RolloutRow} from '@catkindale/policy';
import type {Row, TableOutcome, TableService} from '@catkindale/ports';

/** Faults of the simulated table and channel, which may change during the run. Times in milliseconds, fractions from 0 to 1. */
export type FleetFaults = {
	messageLossFraction: number;
	messageRepeatFraction: number;
	maximumMessageLagMilliseconds: number;
	responseLossFraction: number;
	/** Maximum time until a write takes effect, which may be after the caller's timeout. */
	maximumWriteLagMilliseconds: number;
	isTableDown: boolean;
	/** Whether messages between two nodes are lost. */
	isCut: (left: string, right: string) => boolean;
	/** Whether this node can't reach the table, while others may. */
	isTableCut: (node: string) => boolean;
};

export type FleetNode = {
	readonly name: string;
	readonly clock: Clock;
	task: RolloutTask;
	readonly chooser: VersionChooser;
	state: 'live' | 'paused' | 'dead';
	/** Messages that a paused node receives when it resumes. */
	readonly inbox: Array<() => void>;
	lastRefresh: number;
};

export type FleetOptions = {
	readonly random: Random;
	readonly nodeCount: number;
	readonly configuration: Configuration;
	readonly rollout: string;
	readonly tickMilliseconds: number;
	/** Called on each change of the rollout's row, with the simulated time. */
	readonly onRow?: (row: RolloutRow, at: number) => void;
	/** Called after each tick of a node. */
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
	resume: (node: FleetNode) => void;
	schedule: (delay: number, run: () => void) => void;
	runUntil: (time: number) => Promise<void>;
};

type Event = {readonly at: number; readonly run: () => void};

const callTimeoutMilliseconds = 1000;
const minimumLagMilliseconds = 1;
const maximumClockOffsetMilliseconds = 50;
const microtasksPerResponse = 5;
const configurationVersion = 1;

export function createRolloutFleet(options: FleetOptions): RolloutFleet {
	const {random, configuration, rollout, tickMilliseconds} = options;
	const events: Event[] = [];
	const rows = new Map<string, Row>();
	let now = 0;
	let hasResponded = false;
	const faults: FleetFaults = {
		messageLossFraction: 0,
		messageRepeatFraction: 0,
		maximumMessageLagMilliseconds: 2 * minimumLagMilliseconds,
		responseLossFraction: 0,
		maximumWriteLagMilliseconds: 20,
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

		// Events are sorted by descending time, so that `pop` removes the next one.
		events.splice(index, 0, {at, run});
	};

	const applyWrite = (changeId: string, {key, expectedVersion, value}: {key: string; expectedVersion: number; value: unknown}): TableOutcome<readonly Row[]> => {
		const current = rows.get(key);
		if ((current?.version ?? 0) !== expectedVersion) {
			return {kind: 'conflict', rows: current ? [current] : []};
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
			const respond = (delay: number, outcome: TableOutcome<readonly Row[]>): void => {
				schedule(delay, () => {
					hasResponded = true;
					resolve(outcome);
				});
			};

			const [write] = writes;
			const lagMilliseconds = random.integer(minimumLagMilliseconds, faults.maximumWriteLagMilliseconds);
			const isResponseLost = random.fraction() < faults.responseLossFraction || lagMilliseconds >= callTimeoutMilliseconds;
			if (isResponseLost) {
				respond(callTimeoutMilliseconds, {kind: 'unknown', reason: 'the response was lost'});
			}

			schedule(lagMilliseconds, () => {
				const outcome: TableOutcome<readonly Row[]> = faults.isTableDown || !write ? {kind: 'not-done', reason: 'outage'} : applyWrite(changeId, write);
				if (!isResponseLost) {
					respond(minimumLagMilliseconds, outcome);
				}
			});
		}),
		async close() {
			rows.clear();
		},
	};

	const createMemberTable = (member: string): TableService => ({
		...table,
		async transact(changeId, writes) {
			return faults.isTableCut(member) ? {kind: 'not-done', reason: 'cut'} : table.transact(changeId, writes);
		},
	});

	const createTask = (member: string, clock: Clock): RolloutTask => {
		const task = createRolloutTask(rollout, {
			member, incarnation: createIdentifier(), clock, logger: createSilentLogger(), table: createMemberTable(member),
		});
		setDesiredState(task, configuration, configurationVersion);
		return task;
	};

	const nodes = Array.from({length: options.nodeCount}, (_, index): FleetNode => {
		const clockOffset = random.integer(0, 2 * maximumClockOffsetMilliseconds) - maximumClockOffsetMilliseconds;
		const clock: Clock = {monotonic: () => now, wall: () => now + clockOffset};
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
		} else if (node.state === 'paused') {
			node.inbox.push(receive);
		}
	};

	const send = (from: FleetNode, to: FleetNode, report: RolloutReport): void => {
		if (random.fraction() < faults.messageLossFraction || faults.isCut(from.name, to.name)) {
			return;
		}

		const copyCount = random.fraction() < faults.messageRepeatFraction ? 2 : 1;
		for (let copy = 0; copy < copyCount; copy++) {
			schedule(random.integer(minimumLagMilliseconds, faults.maximumMessageLagMilliseconds), () => {
				deliver(from.name, to, report);
			});
		}
	};

	const readRow = (node: FleetNode): void => {
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

		readRow(node);
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
		resume(node) {
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
				if (hasResponded) {
					hasResponded = false;
					for (let microtask = 0; microtask < microtasksPerResponse; microtask++) {
						await Promise.resolve();
					}
				}
			}

			now = time;
		},
	};
}
