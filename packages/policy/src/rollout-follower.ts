/**
 * One node's part in one rollout: it follows the row, gathers evidence, halts
 * on sight, and says what to write to the table. The row alone decides between
 * `done` and `reverted`; a node that can't tell whether its row is current
 * only withholds its share, and from the deadline on it needs to know `done`.
 */
import {assertInvariant, millisecondsPerSecond} from '@catkindale/common';
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

/** How long a share holds after the node last heard from a majority of the members. */
export const shareLeaseMilliseconds = 2 * millisecondsPerSecond;
/** How long a node of the next rank waits before it writes in place of the one before it. */
const rankDelayMilliseconds = 700;
/** A suspicion from which on only requests that lose nothing by it go to the new version. */
const smallestSuspicion = 0.2;
const allRoutes = 'all routes';

export type RolloutFollower = {
	readonly member: string;
	readonly row: RolloutRow | undefined;
	readonly rowVersion: number;
	/** Monotonic time at which the row was last read from the table. */
	readonly readAt: number;
	readonly halt: RolloutHalt | undefined;
	readonly reports: ReadonlyMap<string, ReceivedReport>;
	/** Evidence that came in since the last tick. */
	readonly pendingEvidence: readonly RouteEvidence[];
	readonly tests: ReadonlyMap<string, SequentialTest>;
	/** Requests of the new version counted in the present step. */
	readonly stepRequests: number;
	/** Since when the node has wanted to change this version of the row, in monotonic milliseconds. */
	readonly changePendingSince: number | undefined;
};

/** Time by both clocks, in milliseconds. */
export type ClockTimes = {readonly monotonic: number; readonly wall: number};

/** The share that this node may hand to the new version, for how long. */
export type ShareLease = {
	readonly share: number;
	/** Monotonic milliseconds. */
	readonly validUntil: number;
	/** Wall milliseconds; undefined once the rollout is done. */
	readonly deadlineAt: number | undefined;
};

/** A change to write with the row's version as the expected one. */
export type RolloutWrite = {readonly expectedVersion: number; readonly row: RolloutRow};

export function createRolloutFollower(member: string): RolloutFollower {
	return {
		member, row: undefined, rowVersion: 0, readAt: -Infinity, halt: undefined, reports: new Map(), pendingEvidence: [], tests: new Map(), stepRequests: 0, changePendingSince: undefined,
	};
}

/**
 * Takes in the row as the table gave it.
 * @param row undefined if the table has none
 * @param readAt monotonic time in milliseconds at which the reading began
 */
export function updateFromTable(follower: RolloutFollower, row: RolloutRow | undefined, version: number, readAt: number): RolloutFollower {
	const next = row ? adoptRow(follower, row, version) : follower;
	return {...next, readAt: Math.max(next.readAt, readAt)};
}

/**
 * Takes in a report of a member; its own reports come in this way as well.
 * @param now monotonic milliseconds
 */
export function updateFromReport(follower: RolloutFollower, from: string, report: RolloutReport, now: number): RolloutFollower {
	const received = follower.reports.get(from);
	if (!isNewerReport(report, received)) {
		return follower;
	}

	const last = received?.report;
	const isSame = last?.incarnation === report.incarnation;
	const retired = isSame || !last ? received?.retiredIncarnations ?? [] : [...received?.retiredIncarnations ?? [], last.incarnation];
	// What was counted before this node began to listen belongs to earlier steps.
	const added = last !== undefined || report.sequence <= 1 ? getEvidenceDifference(report.evidence, isSame ? last.evidence : []) : [];
	const next = {
		...follower,
		reports: new Map(follower.reports).set(from, {report, receivedAt: now, retiredIncarnations: retired}),
		pendingEvidence: mergeEvidence(follower.pendingEvidence, added),
	};
	return applyHalt(report.row ? adoptRow(next, report.row, report.rowVersion) : next, report.halt);
}

function adoptRow(follower: RolloutFollower, row: RolloutRow, version: number): RolloutFollower {
	if (version <= follower.rowVersion) {
		return follower;
	}

	const known = follower.row;
	const isSameAttempt = known?.attempt === row.attempt;
	assertInvariant(!known || !isSameAttempt || !isFinal(known) || known.phase === row.phase, 'a rollout ends once', {name: row.name, known: known?.phase, phase: row.phase});
	const isSameStep = isSameAttempt && known?.step === row.step;
	return {
		...follower,
		row,
		rowVersion: version,
		stepRequests: isSameStep ? follower.stepRequests : 0,
		tests: isSameAttempt ? follower.tests : new Map(),
		changePendingSince: undefined,
	};
}

/** Takes in a halt; one that is known already or belongs to an earlier attempt changes nothing. */
export function applyHalt(follower: RolloutFollower, halt: RolloutHalt | undefined): RolloutFollower {
	return halt && halt.attempt > (follower.halt?.attempt ?? 0) ? {...follower, halt} : follower;
}

/** Judges the evidence that came in since the last call. */
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
	const badness = findBadness(tests);
	return badness !== undefined && next.row?.phase === 'running'
		? applyHalt(next, {attempt: next.row.attempt, by: 'evidence', reason: badness})
		: next;
}

function findBadness(tests: ReadonlyMap<string, SequentialTest>): string | undefined {
	for (const [route, test] of tests) {
		const badness = findRegression(test);
		if (badness !== undefined) {
			return `${badness} on ${route}`;
		}
	}

	return undefined;
}

/** The highest suspicion against the new version, from 0 to 1. */
export function getHighestSuspicion(follower: RolloutFollower): number {
	return Math.max(0, ...[...follower.tests.values()].map(test => getSuspicion(test)));
}

/**
 * Whether only requests that the old version can answer after a failure may go
 * to the new one: in the first step, and while one of their routes speaks
 * against it. Evidence then comes from requests that lose nothing by it.
 * @param routes the routes of such requests; without any, all requests may go
 */
export function isIdempotentOnly(follower: RolloutFollower, routes: ReadonlySet<string>): boolean {
	const isSuspect = [...follower.tests].some(([route, test]) => routes.has(route) && getSuspicion(test) > smallestSuspicion);
	return routes.size > 0 && (follower.row?.step === 0 || isSuspect);
}

/** Whether the node knows a halt of the row's present attempt. */
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

	return {share: getRolloutShare(row), validUntil: getMajorityTime(follower, members) + shareLeaseMilliseconds, deadlineAt: row.deadlineAt};
}

/**
 * The latest time since when a majority of the members, this one included, has
 * been heard. Two majorities share a member, through which each halt passes.
 */
function getMajorityTime(follower: RolloutFollower, members: readonly string[]): number {
	const times = members
		.filter(member => member !== follower.member)
		.map(member => follower.reports.get(member)?.receivedAt ?? -Infinity)
		.toSorted((left, right) => right - left);
	const needed = Math.floor(members.length / 2);
	return needed === 0 ? Infinity : times[needed - 1] ?? -Infinity;
}

/** What this node thinks should happen to the rollout now. */
export function decideNextChange(follower: RolloutFollower, members: readonly string[], now: ClockTimes): RolloutDecision {
	const {row} = follower;
	if (!row) {
		return {kind: 'hold', reason: 'no row is known'};
	}

	return decideRollout(row, {
		halt: isHalted(follower) ? follower.halt : undefined,
		isAppliedEverywhere: members.every(member => isInForceAt(follower, member, now)),
		stepRequests: follower.stepRequests,
		evaluatedRequests: countJudged(follower),
		suspicion: getHighestSuspicion(follower),
	}, now.wall);
}

/** Requests of the new version that were judged in this attempt. */
function countJudged({tests}: RolloutFollower): number {
	return [...tests].reduce((sum, [route, test]) => sum + (route === allRoutes ? 0 : test.requests), 0);
}

/** A member that was silent past its lease holds no share. */
function isInForceAt(follower: RolloutFollower, member: string, now: ClockTimes): boolean {
	const received = follower.reports.get(member);
	const isSilent = !received || received.receivedAt + (2 * shareLeaseMilliseconds) < now.monotonic;
	return member === follower.member || isSilent || received.report.rowVersion >= follower.rowVersion;
}

/**
 * The row that this node thinks should stand in the table next; undefined
 * while nothing is to change. A node that knows only an older configuration
 * than the one that declared the rollout doesn't replace or withdraw it.
 */
export function getDesiredRow(follower: RolloutFollower, wish: DesiredRollout, members: readonly string[], now: ClockTimes): RolloutRow | undefined {
	const {row} = follower;
	if (!row) {
		const isKnownMissing = follower.readAt !== -Infinity;
		return wish.rollout && isKnownMissing ? startRollout(wish.rollout, wish, now.wall) : undefined;
	}

	const isDeclared = wish.rollout !== undefined && matchesRollout(row, wish.rollout);
	if (!isDeclared && wish.configurationVersion > row.configurationVersion) {
		return getReplacement(row, wish, now);
	}

	const decision = decideNextChange(follower, members, now);
	return decision.kind === 'hold' ? undefined : changeRollout(row, decision, now.wall);
}

function getReplacement(row: RolloutRow, wish: DesiredRollout, now: ClockTimes): RolloutRow | undefined {
	if (!isFinal(row)) {
		return changeRollout(row, {kind: 'revert', reason: 'withdrawn or replaced by a configuration'}, now.wall);
	}

	return wish.rollout ? startRollout(wish.rollout, wish, now.wall, row) : undefined;
}

/**
 * The write that this node should try now; undefined while there is nothing to
 * change or members of a better rank may still do it.
 * @param rank the node's place in the rendezvous ranking for the rollout
 */
export function planWrite(follower: RolloutFollower, wanted: RolloutRow | undefined, rank: number, now: ClockTimes): {readonly follower: RolloutFollower; readonly write: RolloutWrite | undefined} {
	if (!wanted) {
		return {follower: {...follower, changePendingSince: undefined}, write: undefined};
	}

	const wantedSince = follower.changePendingSince ?? now.monotonic;
	const isOwnTurn = now.monotonic - wantedSince >= rank * rankDelayMilliseconds;
	const write = isOwnTurn ? {expectedVersion: follower.rowVersion, row: wanted} : undefined;
	return {follower: {...follower, changePendingSince: wantedSince}, write};
}
