/** One node's part in one rollout: the follower's state, its evidence and its writes. */
import * as z from 'zod';
import {
	type Clock, type Logger, createIdentifier, rankMembers,
} from '@catkindale/common';
import {
	type Configuration, type ShareLease, type RolloutFollower, type RolloutReport, type RolloutRow, type DesiredRollout, type RolloutWrite, type Target,
	applyHalt, createRolloutFollower, getShareLease, getInstanceCount, getDesiredRow, isIdempotentOnly, planWrite, rolloutRowSchema,
	evaluateEvidence, updateFromReport, updateFromTable,
} from '@catkindale/policy';
import type {Row, TableService} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import {type EvidenceCollector, createEvidenceCollector, getRouteName} from './rollout-evidence.js';

const coldPart = 0.1;
const longestColdMilliseconds = 15_000;

/** What a rollout's task needs of its node. */
export type RolloutTaskDependencies = {
	/** The node's identifier as a member. */
	readonly member: string;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly table: TableService;
};

export type TaskShare = ShareLease & {
	readonly targets: readonly string[] | undefined;
	/** Whether only requests that the old version can answer after a failure take the share. */
	readonly isIdempotentOnly: boolean;
	readonly evaluation: number;
};

export type RolloutTask = {
	readonly dependencies: RolloutTaskDependencies;
	readonly name: string;

	follower: RolloutFollower;
	desired: DesiredRollout;
	/** The targets of the new version, in the order in which they join. */
	targets: readonly Target[];
	/** The service's routes whose requests may be repeated, by the names that the evidence uses. */
	idempotentRoutes: ReadonlySet<string>;
	collector: EvidenceCollector | undefined;
	collectedAttempt: number;
	sequence: number;
	isWriting: boolean;
};

export function createRolloutTask(name: string, parts: RolloutTaskDependencies): RolloutTask {
	return {
		name,
		dependencies: parts,
		follower: createRolloutFollower(parts.member),
		desired: {rollout: undefined, configurationVersion: 0, instances: 0},
		targets: [],
		idempotentRoutes: new Set(),
		collector: undefined,
		collectedAttempt: 0,
		sequence: 0,
		isWriting: false,
	};
}

/** Takes in what a configuration asks for. */
export function setDesiredState(task: RolloutTask, configuration: Configuration, version: number): void {
	const rollout = configuration.rollouts.find(candidate => candidate.name === task.name);
	const drained = new Set(configuration.drains.filter(drain => drain.kind === 'target').map(drain => drain.name));
	const targets = configuration.targets.filter(target =>
		target.service === rollout?.service && target.version === rollout.to && !drained.has(target.name));
	task.targets = rankMembers(task.name, targets.map(target => ({id: target.name, target}))).map(({target}) => target);
	const idempotent = configuration.routes.filter(route => route.service === rollout?.service && route.idempotent);
	task.idempotentRoutes = new Set(idempotent.map(route => getRouteName(route)));
	task.desired = {rollout, configurationVersion: version, instances: targets.length};
}

/** Takes in the row as the table holds it; undefined if there is none. A row that something else wrote tells nothing. */
export function applyRow(task: RolloutTask, row: Row | undefined, readAt: number): void {
	const parsed = row && rolloutRowSchema.safeParse(row.value);
	if (parsed?.success === false) {
		task.dependencies.logger.error('rollout_unreadable', {rollout: task.name, reason: z.prettifyError(parsed.error)});
		return;
	}

	task.follower = updateFromTable(task.follower, parsed?.data, row?.version ?? 0, readAt);
	prepareCollector(task, task.follower.row);
}

function prepareCollector(task: RolloutTask, row: RolloutRow | undefined): void {
	if (!row || row.attempt === task.collectedAttempt) {
		return;
	}

	const coldMilliseconds = Math.min(longestColdMilliseconds, coldPart * (row.deadlineAt - row.startedAt));
	task.collector = createEvidenceCollector({from: row.from, to: row.to, coldMilliseconds});
	task.collectedAttempt = row.attempt;
	// Counts start anew, so the reports must look like those of another incarnation.
	task.sequence = 0;
}

export function applyReport(task: RolloutTask, from: string, report: RolloutReport, now: number): void {
	task.follower = updateFromReport(task.follower, from, report, now);
	prepareCollector(task, task.follower.row);
}

/** Halts the present attempt on this node; the next report tells the others. */
export function haltRollout(task: RolloutTask, reason: string): void {
	const attempt = task.follower.row?.attempt;
	if (attempt !== undefined) {
		task.follower = applyHalt(task.follower, {attempt, by: 'operator', reason});
	}
}

/** Judges the evidence and makes the report for the others. */
export function createReport(task: RolloutTask): RolloutReport {
	task.sequence += 1;
	const incarnation = `${task.dependencies.incarnation}/${task.collectedAttempt}`;
	const evidence = [...task.collector?.getEvidence() ?? []];
	const own = getReport(task, {incarnation, evidence});
	task.follower = evaluateEvidence(updateFromReport(task.follower, task.follower.member, own, task.dependencies.clock.monotonic()));
	return getReport(task, {incarnation, evidence});
}

function getReport(task: RolloutTask, fields: Pick<RolloutReport, 'incarnation' | 'evidence'>): RolloutReport {
	const {row, rowVersion, halt} = task.follower;
	return {
		...fields, rollout: task.name, sequence: task.sequence, row, rowVersion, halt,
	};
}

/** The write that this node should try now, if any. */
export function planNextWrite(task: RolloutTask, members: readonly string[]): RolloutWrite | undefined {
	const now = {monotonic: task.dependencies.clock.monotonic(), wall: task.dependencies.clock.wall()};
	const ranked = rankMembers(task.name, members.map(id => ({id})));
	const rank = Math.max(0, ranked.findIndex(({id}) => id === task.follower.member));
	const wanted = getDesiredRow(task.follower, task.desired, members, now);
	const planned = planWrite(task.follower, wanted, rank, now);
	task.follower = planned.follower;
	return planned.write;
}

/** Writes by compare-and-set. An answer that got lost is resolved by the next reading of the row. */
export async function commitWrite(task: RolloutTask, write: RolloutWrite): Promise<void> {
	task.isWriting = true;
	const readAt = task.dependencies.clock.monotonic();
	const key = `${rowKeys.rolloutPrefix}${task.name}`;
	const outcome = await task.dependencies.table.transact(createIdentifier(), [{key, expectedVersion: write.expectedVersion, value: write.row}]);
	task.isWriting = false;
	if (outcome.kind === 'done' || outcome.kind === 'conflict') {
		const row = outcome.kind === 'done' ? outcome.value[0] : outcome.rows[0];
		applyRow(task, row, readAt);
	}

	const {phase, step, reason} = write.row;
	task.dependencies.logger.info('rollout_write', {
		rollout: task.name, phase, step, reason, outcome: outcome.kind,
	});
}

/** The share that the node holds, and the instances and requests that take it. */
export function getTaskShare(task: RolloutTask, members: readonly string[]): TaskShare {
	const held = getShareLease(task.follower, members);
	const count = getInstanceCount(held.share, task.targets.length);
	const isWhole = held.share >= 1;
	return {
		...held,
		targets: isWhole ? undefined : task.targets.slice(0, count).map(target => target.name),
		isIdempotentOnly: isIdempotentOnly(task.follower, task.idempotentRoutes),
		evaluation: task.sequence,
	};
}
