/**
 * The row of a rollout in the table, and its state transitions. `done` and
 * `reverted` are final. A halted rollout is either resumed by an operator or
 * reverted. Every change is written by compare-and-set.
 */
import * as z from 'zod';
import {assertInvariant} from '@catkindale/common';
import {type Rollout, defaultMinimumRequests} from './configuration.js';
import {getPlannedShares} from './rollout-plan.js';

export const rolloutPhases = ['running', 'halted', 'done', 'reverted'] as const;

const rolloutRecordSchema = z.object({
	/** Wall time in milliseconds. */
	at: z.number(),
	phase: z.enum(rolloutPhases),
	step: z.int(),
	share: z.number(),
	reason: z.string(),
});

export const rolloutRowSchema = z.object({
	name: z.string(),
	service: z.string(),
	from: z.string(),
	to: z.string(),
	/** The version of the configuration that declared the rollout. */
	configurationVersion: z.int(),
	/** Increases when the rollout is resumed or replaced. A halt applies to all attempts up to its own. */
	attempt: z.int(),
	cap: z.number(),
	/** The share stays small until this many requests of the new version are evaluated. */
	minimumRequests: z.int().default(defaultMinimumRequests),
	startedAt: z.number(),
	deadlineAt: z.number(),
	shares: z.array(z.number()).min(1),
	phase: z.enum(rolloutPhases),
	step: z.int(),
	steppedAt: z.number(),
	reason: z.string(),
	history: z.array(rolloutRecordSchema),
});

/** The rollout that the configuration declares; `rollout` is undefined once it is withdrawn. */
export type DesiredRollout = {
	readonly rollout: Rollout | undefined;
	readonly configurationVersion: number;
	/** Number of targets that run the new version. */
	readonly instances: number;
};

export type RolloutPhase = typeof rolloutPhases[number];
export type RolloutRow = z.infer<typeof rolloutRowSchema>;

/** One change of a rollout, with the reason shown to operators. */
export type RolloutChange = {readonly kind: 'advance' | 'complete' | 'revert' | 'halt' | 'resume'; readonly reason: string};

const maximumHistoryRecords = 100;

/** Returns whether the row belongs to the rollout that the configuration declares. */
export function matchesRollout(row: RolloutRow, rollout: Rollout): boolean {
	return row.service === rollout.service && row.from === rollout.from && row.to === rollout.to
		&& row.deadlineAt === Date.parse(rollout.deadline) && row.cap === rollout.cap;
}

export function isFinal(row: RolloutRow): boolean {
	return row.phase === 'done' || row.phase === 'reverted';
}

/** Creates the first row of a rollout; `previous` is the final row of an earlier one with the same name. */
export function startRollout(rollout: Rollout, desired: Omit<DesiredRollout, 'rollout'>, now: number, previous?: RolloutRow): RolloutRow {
	assertInvariant(!previous || isFinal(previous), 'a rollout is replaced only after it has ended', {name: rollout.name});
	const row: RolloutRow = {
		name: rollout.name,
		service: rollout.service,
		from: rollout.from,
		to: rollout.to,
		configurationVersion: desired.configurationVersion,
		attempt: (previous?.attempt ?? 0) + 1,
		cap: rollout.cap,
		minimumRequests: rollout.minimumRequests,
		startedAt: now,
		deadlineAt: Date.parse(rollout.deadline),
		shares: getPlannedShares(rollout.cap, desired.instances),
		phase: 'running',
		step: 0,
		steppedAt: now,
		reason: 'started',
		history: [],
	};
	return addRecord(row, now);
}

/** Returns the share that the row allows; 0 if the rollout is halted or reverted. */
export function getRolloutShare(row: RolloutRow): number {
	switch (row.phase) {
		case 'running': {
			return row.shares[row.step] ?? 0;
		}

		case 'done': {
			return 1;
		}

		case 'halted':
		case 'reverted': {
			return 0;
		}
	}
}

export function changeRollout(row: RolloutRow, change: RolloutChange, now: number): RolloutRow {
	assertInvariant(!isFinal(row), 'a rollout that is done or reverted doesn\'t change', {name: row.name, phase: row.phase, change: change.kind});
	return addRecord({...row, ...getChangedFields(row, change, now), reason: change.reason}, now);
}

function getChangedFields(row: RolloutRow, change: RolloutChange, now: number): Partial<RolloutRow> {
	switch (change.kind) {
		case 'advance': {
			assertInvariant(row.phase === 'running', 'only a running rollout advances', {name: row.name, phase: row.phase});
			assertInvariant(row.step + 1 < row.shares.length, 'a rollout that advances has a next step', {name: row.name, step: row.step});
			return {step: row.step + 1, steppedAt: now};
		}

		case 'complete': {
			assertInvariant(row.phase === 'running' && row.step + 1 === row.shares.length, 'a rollout completes after its last step', {name: row.name, step: row.step});
			assertInvariant(now < row.deadlineAt, 'a rollout completes before its deadline', {name: row.name, now});
			return {phase: 'done'};
		}

		case 'revert': {
			return {phase: 'reverted'};
		}

		case 'halt': {
			return {phase: 'halted'};
		}

		case 'resume': {
			assertInvariant(row.phase === 'halted', 'only a halted rollout is resumed', {name: row.name, phase: row.phase});
			return {
				phase: 'running', attempt: row.attempt + 1, step: 0, startedAt: now, steppedAt: now,
			};
		}
	}
}

function addRecord(row: RolloutRow, at: number): RolloutRow {
	const record = {
		at, phase: row.phase, step: row.step, share: getRolloutShare(row), reason: row.reason,
	};
	return {...row, history: [...row.history, record].slice(-maximumHistoryRecords)};
}
