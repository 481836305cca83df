/**
 * Decides the next change of a rollout. A step follows only once the previous
 * one is applied on every node and its evidence is evaluated. A rollout that can
 * no longer be completed a margin before its deadline is reverted.
 */
import {getCommitDeadline, getMinimumDwell, getPlannedStepEnd} from './rollout-plan.js';
import type {RolloutHalt} from './rollout-report.js';
import type {RolloutChange, RolloutRow} from './rollout-row.js';

/** The fleet's evidence on the current step. */
export type RolloutEvidence = {
	/** The halt of this attempt; undefined while there is no reason for one. */
	readonly halt: RolloutHalt | undefined;
	/** Whether every member that may hold a share has applied the step. */
	readonly isAppliedEverywhere: boolean;
	/** Requests of the new version counted in this step. */
	readonly stepRequests: number;
	/** Requests of the new version evaluated in this attempt. */
	readonly evaluatedRequests: number;
	/** How close the evidence is to a halt, from 0 to 1. */
	readonly suspicion: number;
};

export type RolloutDecision = RolloutChange | {readonly kind: 'hold'; readonly reason: string};

/** Requests of the new version that a step needs. The first step is exempt, since its share is too small to require any. */
export const minimumStepRequests = 10;
/** Maximum share that a version may receive before enough of its requests are evaluated. */
const maximumUnevaluatedShare = 0.15;
/** Fraction of the rollout's time after which a share with too few requests rises ahead of the plan. */
const lowTrafficFraction = 0.3;
/** The next step waits while the suspicion is above this value. */
const maximumSuspicion = 0.4;

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
		return {kind: 'revert', reason: `can't be completed before the deadline; ${getBlockingReason(row, evidence)}`};
	}

	const isObservationOver = now >= getPlannedStepEnd(row, row.step, row.shares.length) || needsMoreTraffic(row, evidence, now);
	if (!isObservationOver || now < row.steppedAt + dwell) {
		return {kind: 'hold', reason: 'the step is being watched'};
	}

	const hasEnoughStepRequests = row.step === 0 || evidence.stepRequests >= minimumStepRequests || needsMoreTraffic(row, evidence, now);
	if (!evidence.isAppliedEverywhere || !hasEnoughStepRequests || hasTooFewEvaluated(row, evidence) || evidence.suspicion > maximumSuspicion) {
		return {kind: 'hold', reason: getBlockingReason(row, evidence)};
	}

	const reason = `judged good on ${evidence.stepRequests} requests`;
	return {kind: stepsLeft === 0 ? 'complete' : 'advance', reason};
}

/**
 * Returns whether the share should rise ahead of the plan because the current
 * one yields too few requests to evaluate. It rises no further than the maximum
 * unevaluated share.
 */
function needsMoreTraffic(row: RolloutRow, evidence: RolloutEvidence, now: number): boolean {
	const nextShare = row.shares[row.step + 1] ?? 1;
	const canRiseAhead = now >= row.startedAt + ((row.deadlineAt - row.startedAt) * lowTrafficFraction);
	return canRiseAhead && row.step > 0 && nextShare <= maximumUnevaluatedShare && evidence.evaluatedRequests < row.minimumRequests;
}

/** Returns whether too few requests are evaluated for the next share. */
function hasTooFewEvaluated({shares, step, minimumRequests}: RolloutRow, {evaluatedRequests}: RolloutEvidence): boolean {
	const nextShare = shares[step + 1] ?? 1;
	return nextShare > maximumUnevaluatedShare && evaluatedRequests < minimumRequests;
}

function getBlockingReason(row: RolloutRow, evidence: RolloutEvidence): string {
	if (!evidence.isAppliedEverywhere) {
		return 'the step isn\'t in force everywhere';
	}

	if (evidence.suspicion > maximumSuspicion) {
		return 'the new version is under suspicion';
	}

	if (hasTooFewEvaluated(row, evidence)) {
		return `too little traffic to judge: ${evidence.evaluatedRequests} of ${row.minimumRequests} requests of the new version`;
	}

	return evidence.stepRequests < minimumStepRequests
		? `only ${evidence.stepRequests} requests of the new version were counted`
		: 'the steps took too long';
}
