/**
 * State of one node in one rollout. The node follows the row in the table,
 * collects evidence, halts as soon as it finds a regression, and plans the next
 * write. Only the row decides between `done` and `reverted`. A node whose row
 * may be outdated sends no share to the new version; after the deadline it
 * sends requests there only if its row is `done`.
 */
import {millisecondsPerSecond} from '@catkindale/common';
import type {RouteEvidence} from './evidence.js';
import {
	type SequentialTest, createSequentialTest, findRegression, getSuspicion, updateSequentialTest,
} from './sequential-test.js';
import {type RolloutDecision, decideRollout} from './rollout-decision.js';
import {
	type ReceivedReport, type RolloutHalt, type RolloutReport, getEvidenceDifference, isNewerReport, mergeEvidence, sumEvidence,
} from './rollout-report.js';
import {
	type RolloutRow, type DesiredRollout, changeRollout, getRolloutShare, isFinal, matchesRollout, startRollout,
} from './rollout-row.js';

/** Time for which a share stays valid after the last contact with a majority of the members. */
export const shareLeaseMilliseconds = 2 * millisecondsPerSecond;
/** Time that each node of the ranking waits for the node before it to write. */
const rankDelayMilliseconds = 700;
/** Above this suspicion the new version receives only requests that can be retried on the old one. */
const idempotentOnlySuspicion = 0.2;
const allRoutes = 'all routes';

export type RolloutFollower = {
	readonly member: string;
	readonly row: RolloutRow | undefined;
	readonly rowVersion: number;
	/** Monotonic time at which the row was last read from the table. */
	readonly readAt: number;
	readonly halt: RolloutHalt | undefined;
	readonly reports: ReadonlyMap<string, ReceivedReport>;
	/** Evidence received since the last evaluation. */
	readonly pendingEvidence: readonly RouteEvidence[];
	readonly tests: ReadonlyMap<string, SequentialTest>;
	/** Requests of the new version counted in the current step. */
	readonly stepRequests: number;
	/** Since when a change of this version of the row has been pending, in monotonic milliseconds. */
	readonly changePendingSince: number | undefined;
};

/** Time of both clocks in milliseconds. */
export type ClockTimes = {readonly monotonic: number; readonly wall: number};

/** Share of the requests that this node may send to the new version, and for how long. */
export type ShareLease = {
	readonly share: number;
	/** In monotonic milliseconds. */
	readonly validUntil: number;
	/** In wall milliseconds; undefined once the rollout is done. */
	readonly deadlineAt: number | undefined;
};

/** Compare-and-set write of the row, conditional on the expected version. */
export type RolloutWrite = {readonly expectedVersion: number; readonly row: RolloutRow};

export function createRolloutFollower(member: string): RolloutFollower {
	return {
		member, row: undefined, rowVersion: 0, readAt: -Infinity, halt: undefined, reports: new Map(), pendingEvidence: [], tests: new Map(), stepRequests: 0, changePendingSince: undefined,
	};
}

/**
 * Applies the row as read from the table.
 * @param row undefined if the table has none
 * @param readAt monotonic time in milliseconds at which the read began
 */
export function updateFromTable(follower: RolloutFollower, row: RolloutRow | undefined, version: number, readAt: number): RolloutFollower {
	const next = row ? applyRow(follower, row, version) : follower;
	return {...next, readAt: Math.max(next.readAt, readAt)};
}

/**
 * Applies a report of a member. The node's own reports are applied in the same way.
 * @param now monotonic milliseconds
 */
export function updateFromReport(follower: RolloutFollower, from: string, report: RolloutReport, now: number): RolloutFollower {
	const received = follower.reports.get(from);
	if (!isNewerReport(report, received)) {
		return follower;
	}

	const last = received?.report;
	const isSameIncarnation = last?.incarnation === report.incarnation;
	const retiredIncarnations = isSameIncarnation || !last ? received?.retiredIncarnations ?? [] : [...received?.retiredIncarnations ?? [], last.incarnation];
	// Counts from before the first report that this node received belong to earlier steps.
	const added = last !== undefined || report.sequence <= 1 ? getEvidenceDifference(report.evidence, isSameIncarnation ? last.evidence : []) : [];
	const next = {
		...follower,
		reports: new Map(follower.reports).set(from, {report, receivedAt: now, retiredIncarnations}),
		pendingEvidence: mergeEvidence(follower.pendingEvidence, added),
	};
	return applyHalt(report.row ? applyRow(next, report.row, report.rowVersion) : next, report.halt);
}

/** Whether the row, written by someone else, has another end than the one that is known. The known end stays. */
export function contradictsEnd(known: RolloutRow, row: RolloutRow): boolean {
	return known.attempt === row.attempt && isFinal(known) && known.phase !== row.phase;
}

function applyRow(follower: RolloutFollower, row: RolloutRow, version: number): RolloutFollower {
	if (version <= follower.rowVersion) {
		return follower;
	}

	const previous = follower.row;
	const isSameAttempt = previous?.attempt === row.attempt;
	if (previous && contradictsEnd(previous, row)) {
		return follower;
	}

	const isSameStep = isSameAttempt && previous?.step === row.step;
	return {
		...follower,
		row,
		rowVersion: version,
		stepRequests: isSameStep ? follower.stepRequests : 0,
		tests: isSameAttempt ? follower.tests : new Map(),
		changePendingSince: undefined,
	};
}

/** Applies a halt, unless a halt of the same or a later attempt is known. */
export function applyHalt(follower: RolloutFollower, halt: RolloutHalt | undefined): RolloutFollower {
	return halt && halt.attempt > (follower.halt?.attempt ?? 0) ? {...follower, halt} : follower;
}

/** Evaluates the evidence received since the last call. */
export function evaluateEvidence(follower: RolloutFollower): RolloutFollower {
	const tests = new Map(follower.tests);
	const slices = follower.pendingEvidence.length > 1 ? [...follower.pendingEvidence, sumEvidence(allRoutes, follower.pendingEvidence)] : follower.pendingEvidence;
	for (const slice of slices) {
		tests.set(slice.route, updateSequentialTest(tests.get(slice.route) ?? createSequentialTest(), slice));
	}

	const added = sumEvidence(allRoutes, follower.pendingEvidence).to.requests;
	const next = {
		...follower, tests, pendingEvidence: [], stepRequests: follower.stepRequests + added,
	};
	const regression = findRegressionOnRoutes(tests);
	return regression !== undefined && next.row?.phase === 'running'
		? applyHalt(next, {attempt: next.row.attempt, by: 'evidence', reason: regression})
		: next;
}

function findRegressionOnRoutes(tests: ReadonlyMap<string, SequentialTest>): string | undefined {
	for (const [route, test] of tests) {
		const regression = findRegression(test);
		if (regression !== undefined) {
			return `${regression} on ${route}`;
		}
	}

	return undefined;
}

/** Returns the highest suspicion of all routes, from 0 to 1. */
export function getHighestSuspicion(follower: RolloutFollower): number {
	return Math.max(0, ...[...follower.tests.values()].map(test => getSuspicion(test)));
}

/**
 * Returns whether only idempotent requests may be sent to the new version,
 * since the old version can serve them after a failure. This is the case in the
 * first step, and while the suspicion on an idempotent route is high.
 * @param routes the idempotent routes; if there are none, all requests may be sent
 */
export function isIdempotentOnly(follower: RolloutFollower, routes: ReadonlySet<string>): boolean {
	const isSuspect = [...follower.tests].some(([route, test]) => routes.has(route) && getSuspicion(test) > idempotentOnlySuspicion);
	return routes.size > 0 && (follower.row?.step === 0 || isSuspect);
}

/** Returns whether this node has found or received a halt of the row's current attempt. */
export function isHalted(follower: RolloutFollower): boolean {
	return follower.row !== undefined && (follower.halt?.attempt ?? 0) >= follower.row.attempt;
}

export function getShareLease(follower: RolloutFollower, members: readonly string[]): ShareLease {
	const {row} = follower;
	if (row?.phase === 'done') {
		return {share: 1, validUntil: Infinity, deadlineAt: undefined};
	}

	if (!row || isHalted(follower)) {
		return {share: 0, validUntil: Infinity, deadlineAt: row?.deadlineAt};
	}

	return {share: getRolloutShare(row), validUntil: getMajorityContactTime(follower, members) + shareLeaseMilliseconds, deadlineAt: row.deadlineAt};
}

/**
 * Returns the latest time since which a majority of the members, including this
 * one, have sent a report. Any two majorities have a member in common, which
 * propagates each halt.
 */
function getMajorityContactTime(follower: RolloutFollower, members: readonly string[]): number {
	const times = members
		.filter(member => member !== follower.member)
		.map(member => follower.reports.get(member)?.receivedAt ?? -Infinity)
		.toSorted((left, right) => right - left);
	const neededPeers = Math.floor(members.length / 2);
	return neededPeers === 0 ? Infinity : times[neededPeers - 1] ?? -Infinity;
}

/** Decides the next change of the rollout from this node's state. */
export function decideNextChange(follower: RolloutFollower, members: readonly string[], now: ClockTimes): RolloutDecision {
	const {row} = follower;
	if (!row) {
		return {kind: 'hold', reason: 'no row has been received'};
	}

	return decideRollout(row, {
		halt: isHalted(follower) ? follower.halt : undefined,
		isAppliedEverywhere: members.every(member => hasAppliedRow(follower, member, now)),
		stepRequests: follower.stepRequests,
		evaluatedRequests: countEvaluatedRequests(follower),
		suspicion: getHighestSuspicion(follower),
	}, now.wall);
}

/** Counts the requests of the new version evaluated in this attempt. */
function countEvaluatedRequests({tests}: RolloutFollower): number {
	return [...tests].reduce((sum, [route, test]) => sum + (route === allRoutes ? 0 : test.requests), 0);
}

/** Returns whether the member has applied the row, or has been unresponsive for longer than its lease, so that it holds no share. */
function hasAppliedRow(follower: RolloutFollower, member: string, now: ClockTimes): boolean {
	const received = follower.reports.get(member);
	const isUnresponsive = !received || received.receivedAt + (2 * shareLeaseMilliseconds) < now.monotonic;
	return member === follower.member || isUnresponsive || received.report.rowVersion >= follower.rowVersion;
}

/**
 * Returns the row that should be written to the table next, or undefined if
 * nothing should change. A node whose configuration is older than the one that
 * declared the rollout doesn't replace or withdraw it.
 */
export function getDesiredRow(follower: RolloutFollower, desired: DesiredRollout, members: readonly string[], now: ClockTimes): RolloutRow | undefined {
	const {row} = follower;
	if (!row) {
		const hasReadTable = follower.readAt !== -Infinity;
		return desired.rollout && hasReadTable ? startRollout(desired.rollout, desired, now.wall) : undefined;
	}

	const isDeclared = desired.rollout !== undefined && matchesRollout(row, desired.rollout);
	if (!isDeclared && desired.configurationVersion > row.configurationVersion) {
		return getReplacement(row, desired, now);
	}

	const decision = decideNextChange(follower, members, now);
	return decision.kind === 'hold' ? undefined : changeRollout(row, decision, now.wall);
}

function getReplacement(row: RolloutRow, desired: DesiredRollout, now: ClockTimes): RolloutRow | undefined {
	if (!isFinal(row)) {
		return changeRollout(row, {kind: 'revert', reason: 'withdrawn or replaced by a configuration'}, now.wall);
	}

	return desired.rollout ? startRollout(desired.rollout, desired, now.wall, row) : undefined;
}

/**
 * Plans the write that this node should attempt now. The write is undefined if
 * nothing should change, or while members of a better rank may still write.
 * @param rank the node's rank in the rendezvous ranking for the rollout
 */
export function planWrite(follower: RolloutFollower, nextRow: RolloutRow | undefined, rank: number, now: ClockTimes): {readonly follower: RolloutFollower; readonly write: RolloutWrite | undefined} {
	if (!nextRow) {
		return {follower: {...follower, changePendingSince: undefined}, write: undefined};
	}

	const changePendingSince = follower.changePendingSince ?? now.monotonic;
	const isOwnTurn = now.monotonic - changePendingSince >= rank * rankDelayMilliseconds;
	const write = isOwnTurn ? {expectedVersion: follower.rowVersion, row: nextRow} : undefined;
	return {follower: {...follower, changePendingSince}, write};
}
