/**
 * Decides what becomes of a rollout next. A step follows only once the last
 * one is in force everywhere and judged; what can no longer be completed a
 * margin before the deadline is taken back.
 */
import {getCommitDeadline, getMinimumDwell, getPlannedStepEnd} from './rollout-plan.js';
import type {RolloutHalt} from './rollout-report.js';
import type {RolloutChange, RolloutRow} from './rollout-row.js';

/** What the fleet knows of the step that is in force. */
export type RolloutEvidence = {
	/** The halt of this attempt; undefined while nothing speaks against the new version. */
	readonly halt: RolloutHalt | undefined;
	/** Whether every member that can hold a share has the step in force. */
	readonly isAppliedEverywhere: boolean;
	/** Requests of the new version that were counted in this step. */
	readonly stepRequests: number;
	/** Requests of the new version that were judged in this attempt. */
	readonly evaluatedRequests: number;
	/** How near the evidence is to a halt, from 0 to 1. */
	readonly suspicion: number;
};

export type RolloutDecision = RolloutChange | {readonly kind: 'hold'; readonly reason: string};

/** Requests of the new version without which a step isn't judged; the first share is too small to ask for any. */
export const minimumStepRequests = 10;
/** The largest share that a version may take before it was judged on enough requests. */
const largestUnjudgedShare = 0.15;
/** The part of the time after which a share that brings too few requests rises ahead of the plan. */
const lowTrafficPart = 0.3;
/** A suspicion above which a step must wait until it is cleared up. */
const largestSuspicion = 0.4;

/** @param now wall time in milliseconds */
export function decideRollout(row: RolloutRow, evidence: RolloutEvidence, now: number): RolloutDecision {
	switch (row.phase) {
		case 'done':
		case 'reverted': {
			return {kind: 'hold', reason: `the rollout is ${row.phase}`};
		}

		case 'halted': {
			return now >= getCommitDeadline(row)
				? {kind: 'revert', reason: `halted until the deadline: ${row.reason}`}
				: {kind: 'hold', reason: 'halted'};
		}

		case 'running': {
			return decideRunning(row, evidence, now);
		}
	}
}

function decideRunning(row: RolloutRow, evidence: RolloutEvidence, now: number): RolloutDecision {
	if (evidence.halt) {
		return {kind: evidence.halt.by === 'evidence' ? 'revert' : 'halt', reason: evidence.halt.reason};
	}

	const timeLeft = getCommitDeadline(row) - now;
	const dwell = getMinimumDwell(row, row.shares.length);
	const stepsLeft = row.shares.length - row.step - 1;
	if (timeLeft <= 0 || timeLeft < stepsLeft * dwell) {
		return {kind: 'revert', reason: `can't be completed before the deadline; ${getHindrance(row, evidence)}`};
	}

	const isWatched = now >= getPlannedStepEnd(row, row.step, row.shares.length) || needsMoreTraffic(row, evidence, now);
	if (!isWatched || now < row.steppedAt + dwell) {
		return {kind: 'hold', reason: 'the step is being watched'};
	}

	const isSampled = row.step === 0 || evidence.stepRequests >= minimumStepRequests || needsMoreTraffic(row, evidence, now);
	if (!evidence.isAppliedEverywhere || !isSampled || isTooLittleJudged(row, evidence) || evidence.suspicion > largestSuspicion) {
		return {kind: 'hold', reason: getHindrance(row, evidence)};
	}

	const reason = `judged good on ${evidence.stepRequests} requests`;
	return {kind: stepsLeft === 0 ? 'complete' : 'advance', reason};
}

/**
 * Whether the share should rise ahead of the plan, since the present one brings
 * too few requests to judge by; only as far as a version may come unjudged.
 */
function needsMoreTraffic(row: RolloutRow, evidence: RolloutEvidence, now: number): boolean {
	const nextShare = row.shares[row.step + 1] ?? 1;
	const isLate = now >= row.startedAt + ((row.deadlineAt - row.startedAt) * lowTrafficPart);
	return isLate && row.step > 0 && nextShare <= largestUnjudgedShare && evidence.evaluatedRequests < row.minimumRequests;
}

/** Whether the next share would be too large for what is known of the version. */
function isTooLittleJudged({shares, step, minimumRequests}: RolloutRow, {evaluatedRequests: judged}: RolloutEvidence): boolean {
	const nextShare = shares[step + 1] ?? 1;
	return nextShare > largestUnjudgedShare && judged < minimumRequests;
}

function getHindrance(row: RolloutRow, evidence: RolloutEvidence): string {
	if (!evidence.isAppliedEverywhere) {
		return 'the step isn\'t in force everywhere';
	}

	if (evidence.suspicion > largestSuspicion) {
		return 'the new version is under suspicion';
	}

	if (isTooLittleJudged(row, evidence)) {
		return `too little traffic to judge: ${evidence.evaluatedRequests} of ${row.minimumRequests} requests of the new version`;
	}

	return evidence.stepRequests < minimumStepRequests
		? `only ${evidence.stepRequests} requests of the new version were counted`
		: 'the steps took too long';
}
