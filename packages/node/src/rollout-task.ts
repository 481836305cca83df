/** The state of one rollout on one node: the follower's state, the evidence and the writes to the row. */
import * as z from 'zod';
import {
	type Clock, type Logger, createIdentifier, rankMembers,
} from '@catkindale/common';
import {
	type Configuration, type ShareLease, type RolloutFollower, type RolloutReport, type RolloutRow, type DesiredRollout, type RolloutWrite, type Target,
	applyHalt, contradictsEnd, createRolloutFollower, getShareLease, getInstanceCount, getDesiredRow, isIdempotentOnly, planWrite, rolloutRowSchema,
	evaluateEvidence, updateFromReport, updateFromTable,
} from '@catkindale/policy';
import type {Row, TableService} from '@catkindale/ports';
import {rowKeys} from './constants.js';
import {type EvidenceCollector, createEvidenceCollector, getRouteName} from './rollout-evidence.js';

/** Fraction of a rollout's duration for which a new instance counts as cold. */
const coldFraction = 0.1;
const maximumColdMilliseconds = 15_000;

/** The dependencies of a rollout task on its node. */
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
	/** Whether only idempotent requests, which can be retried at the old version after a failure, go to the new version. */
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
	/** The names, as in the evidence, of the service's routes whose requests may be retried. */
	idempotentRoutes: ReadonlySet<string>;
	collector: EvidenceCollector | undefined;
	/** The attempt of the rollout to which the collected evidence belongs. */
	collectedAttempt: number;
	sequence: number;
	isWriting: boolean;
};

export function createRolloutTask(name: string, dependencies: RolloutTaskDependencies): RolloutTask {
	return {
		name,
		dependencies,
		follower: createRolloutFollower(dependencies.member),
		desired: {rollout: undefined, configurationVersion: 0, instances: 0},
		targets: [],
		idempotentRoutes: new Set(),
		collector: undefined,
		collectedAttempt: 0,
		sequence: 0,
		isWriting: false,
	};
}

/** Sets the rollout's desired state from a configuration. */
export function setDesiredState(task: RolloutTask, configuration: Configuration, version: number): void {
	const rollout = configuration.rollouts.find(candidate => candidate.name === task.name);
	const drained = new Set(configuration.drains.filter(drain => drain.kind === 'target').map(drain => drain.name));
	const targets = configuration.targets.filter(target =>
		target.service === rollout?.service && target.version === rollout.to && !drained.has(target.name));
	task.targets = rankMembers(task.name, targets.map(target => ({id: target.name, target}))).map(({target}) => target);
	const routes = configuration.routes.filter(route => route.service === rollout?.service && route.idempotent);
	task.idempotentRoutes = new Set(routes.map(route => getRouteName(route)));
	task.desired = {rollout, configurationVersion: version, instances: targets.length};
}

/** Updates the follower from the row of the table; undefined if there is none. An unreadable row is logged and ignored. */
export function applyRow(task: RolloutTask, row: Row | undefined, readAt: number): void {
	const parsed = row && rolloutRowSchema.safeParse(row.value);
	if (parsed?.success === false) {
		task.dependencies.logger.error('rollout_unreadable', {rollout: task.name, reason: z.prettifyError(parsed.error)});
		return;
	}

	if (parsed && task.follower.row && contradictsEnd(task.follower.row, parsed.data)) {
		task.dependencies.logger.error('rollout_unreadable', {rollout: task.name, reason: `the row says ${parsed.data.phase}, but the rollout has ended as ${task.follower.row.phase}`});
	}

	task.follower = updateFromTable(task.follower, parsed?.data, row?.version ?? 0, readAt);
	prepareCollector(task, task.follower.row);
}

function prepareCollector(task: RolloutTask, row: RolloutRow | undefined): void {
	if (!row || row.attempt === task.collectedAttempt) {
		return;
	}

	const coldMilliseconds = Math.min(maximumColdMilliseconds, coldFraction * (row.deadlineAt - row.startedAt));
	task.collector = createEvidenceCollector({from: row.from, to: row.to, coldMilliseconds});
	task.collectedAttempt = row.attempt;
	// The counts start again at zero, so the reports get a new incarnation.
	task.sequence = 0;
}

export function applyReport(task: RolloutTask, from: string, report: RolloutReport, now: number): void {
	task.follower = updateFromReport(task.follower, from, report, now);
	prepareCollector(task, task.follower.row);
}

/** Halts the current attempt on this node. The next report spreads the halt to the other nodes. */
export function haltRollout(task: RolloutTask, reason: string): void {
	const attempt = task.follower.row?.attempt;
	if (attempt !== undefined) {
		task.follower = applyHalt(task.follower, {attempt, by: 'operator', reason});
	}
}

/** Evaluates the evidence and creates the report for the other nodes. */
export function createReport(task: RolloutTask): RolloutReport {
	task.sequence += 1;
	const incarnation = `${task.dependencies.incarnation}/${task.collectedAttempt}`;
	const evidence = [...task.collector?.getEvidence() ?? []];
	const ownReport = buildReport(task, {incarnation, evidence});
	task.follower = evaluateEvidence(updateFromReport(task.follower, task.follower.member, ownReport, task.dependencies.clock.monotonic()));
	return buildReport(task, {incarnation, evidence});
}

function buildReport(task: RolloutTask, fields: Pick<RolloutReport, 'incarnation' | 'evidence'>): RolloutReport {
	const {row, rowVersion, halt} = task.follower;
	return {
		...fields, rollout: task.name, sequence: task.sequence, row, rowVersion, halt,
	};
}

/** Returns the write that this node should try now, if any. */
export function planNextWrite(task: RolloutTask, members: readonly string[]): RolloutWrite | undefined {
	const now = {monotonic: task.dependencies.clock.monotonic(), wall: task.dependencies.clock.wall()};
	const ranked = rankMembers(task.name, members.map(id => ({id})));
	const rank = Math.max(0, ranked.findIndex(({id}) => id === task.follower.member));
	const desiredRow = getDesiredRow(task.follower, task.desired, members, now);
	const planned = planWrite(task.follower, desiredRow, rank, now);
	task.follower = planned.follower;
	return planned.write;
}

/** Writes by compare-and-set. After a lost response, the next read of the row shows the outcome. */
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

/** Returns the node's share of requests for the new version, and the instances and requests to which it applies. */
export function getTaskShare(task: RolloutTask, members: readonly string[]): TaskShare {
	const lease = getShareLease(task.follower, members);
	const count = getInstanceCount(lease.share, task.targets.length);
	const isFullShare = lease.share >= 1;
	return {
		...lease,
		targets: isFullShare ? undefined : task.targets.slice(0, count).map(target => target.name),
		isIdempotentOnly: isIdempotentOnly(task.follower, task.idempotentRoutes),
		evaluation: task.sequence,
	};
}
