/** One node's part in one rollout: the follower's state, its evidence and its writes. */
import * as z from 'zod';
import {
	type Clock, type Logger, createIdentifier, rankMembers,
} from '@catkindale/common';
import {
	type Configuration, type HeldShare, type RolloutFollower, type RolloutReport, type RolloutRow, type RolloutWish, type RolloutWrite, type Target,
	adoptHalt, createRolloutFollower, getHeldShare, getInstanceCount, getWantedRow, isIdempotentOnly, planWrite, rolloutRowSchema,
	updateEvidence, updateFromReport, updateFromTable,
} from '@catkindale/policy';
import type {Row, TableService} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import {type EvidenceCollector, createEvidenceCollector, getRouteName} from './rollout-evidence.js';

const coldPart = 0.1;
const longestColdMilliseconds = 15_000;

/** What a rollout's task needs of its node. */
export type RolloutTaskParts = {
	/** The node's identifier as a member. */
	readonly member: string;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly table: TableService;
};

export type TaskShare = HeldShare & {
	readonly targets: readonly string[] | undefined;
	/** Whether only requests that the old version can answer after a failure take the share. */
	readonly isIdempotentOnly: boolean;
	readonly judgement: number;
};

export type RolloutTask = {
	readonly parts: RolloutTaskParts;
	readonly name: string;

	follower: RolloutFollower;
	wish: RolloutWish;
	/** The targets of the new version, in the order in which they join. */
	targets: readonly Target[];
	/** The service's routes whose requests may be repeated, by the names that the evidence uses. */
	idempotentRoutes: ReadonlySet<string>;
	collector: EvidenceCollector | undefined;
	collectedAttempt: number;
	sequence: number;
	isWriting: boolean;
};

export function createRolloutTask(name: string, parts: RolloutTaskParts): RolloutTask {
	return {
		name,
		parts,
		follower: createRolloutFollower(parts.member),
		wish: {rollout: undefined, configurationVersion: 0, instances: 0},
		targets: [],
		idempotentRoutes: new Set(),
		collector: undefined,
		collectedAttempt: 0,
		sequence: 0,
		isWriting: false,
	};
}

/** Takes in what a configuration asks for. */
export function setWish(task: RolloutTask, configuration: Configuration, version: number): void {
	const rollout = configuration.rollouts.find(candidate => candidate.name === task.name);
	const drained = new Set(configuration.drains.filter(drain => drain.kind === 'target').map(drain => drain.name));
	const targets = configuration.targets.filter(target =>
		target.service === rollout?.service && target.version === rollout.to && !drained.has(target.name));
	task.targets = rankMembers(task.name, targets.map(target => ({id: target.name, target}))).map(({target}) => target);
	const idempotent = configuration.routes.filter(route => route.service === rollout?.service && route.idempotent);
	task.idempotentRoutes = new Set(idempotent.map(route => getRouteName(route)));
	task.wish = {rollout, configurationVersion: version, instances: targets.length};
}

/** Takes in the row as the table holds it; undefined if there is none. A row that something else wrote tells nothing. */
export function readRow(task: RolloutTask, row: Row | undefined, readAt: number): void {
	const parsed = row && rolloutRowSchema.safeParse(row.value);
	if (parsed?.success === false) {
		task.parts.logger.error('rollout_unreadable', {rollout: task.name, reason: z.prettifyError(parsed.error)});
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

export function takeReport(task: RolloutTask, from: string, report: RolloutReport, now: number): void {
	task.follower = updateFromReport(task.follower, from, report, now);
	prepareCollector(task, task.follower.row);
}

/** Halts the present attempt on this node; the next report tells the others. */
export function haltTask(task: RolloutTask, reason: string): void {
	const attempt = task.follower.row?.attempt;
	if (attempt !== undefined) {
		task.follower = adoptHalt(task.follower, {attempt, by: 'operator', reason});
	}
}

/** Judges the evidence and makes the report for the others. */
export function createReport(task: RolloutTask): RolloutReport {
	task.sequence += 1;
	const incarnation = `${task.parts.incarnation}/${task.collectedAttempt}`;
	const evidence = [...task.collector?.getEvidence() ?? []];
	const own = getReport(task, {incarnation, evidence});
	task.follower = updateEvidence(updateFromReport(task.follower, task.follower.member, own, task.parts.clock.monotonic()));
	return getReport(task, {incarnation, evidence});
}

function getReport(task: RolloutTask, fields: Pick<RolloutReport, 'incarnation' | 'evidence'>): RolloutReport {
	const {row, rowVersion, halt} = task.follower;
	return {
		...fields, rollout: task.name, sequence: task.sequence, row, rowVersion, halt,
	};
}

/** The write that this node should try now, if any. */
export function getWrite(task: RolloutTask, members: readonly string[]): RolloutWrite | undefined {
	const now = {monotonic: task.parts.clock.monotonic(), wall: task.parts.clock.wall()};
	const ranked = rankMembers(task.name, members.map(id => ({id})));
	const rank = Math.max(0, ranked.findIndex(({id}) => id === task.follower.member));
	const wanted = getWantedRow(task.follower, task.wish, members, now);
	const planned = planWrite(task.follower, wanted, rank, now);
	task.follower = planned.follower;
	return planned.write;
}

/** Writes by compare-and-set. An answer that got lost is resolved by the next reading of the row. */
export async function commitWrite(task: RolloutTask, write: RolloutWrite): Promise<void> {
	task.isWriting = true;
	const readAt = task.parts.clock.monotonic();
	const key = `${rowKeys.rolloutPrefix}${task.name}`;
	const outcome = await task.parts.table.transact(createIdentifier(), [{key, expectedVersion: write.expectedVersion, value: write.row}]);
	task.isWriting = false;
	if (outcome.kind === 'done' || outcome.kind === 'conflict') {
		const row = outcome.kind === 'done' ? outcome.value[0] : outcome.rows[0];
		readRow(task, row, readAt);
	}

	const {phase, step, reason} = write.row;
	task.parts.logger.info('rollout_write', {
		rollout: task.name, phase, step, reason, outcome: outcome.kind,
	});
}

/** The share that the node holds, and the instances and requests that take it. */
export function getTaskShare(task: RolloutTask, members: readonly string[]): TaskShare {
	const held = getHeldShare(task.follower, members);
	const count = getInstanceCount(held.share, task.targets.length);
	const isWhole = held.share >= 1;
	return {
		...held,
		targets: isWhole ? undefined : task.targets.slice(0, count).map(target => target.name),
		isIdempotentOnly: isIdempotentOnly(task.follower, task.idempotentRoutes),
		judgement: task.sequence,
	};
}
