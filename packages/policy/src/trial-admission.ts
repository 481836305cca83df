/**
 * Limits the requests of a route that a node may have in flight to a version on
 * trial. A route without evidence has a small initial allowance. Each good
 * response adds one request, and each failure halves what was added. A failure
 * also counts as in flight until the node has evaluated the evidence, so that a
 * version that fails fast can't receive request after request in the meantime.
 */
import {assertInvariant} from '@catkindale/common';

/** Requests of a route that each node may have in flight before there is any evidence. */
const initialAllowance = 1;
const remainingFraction = 0.5;

export type TrialAllowance = {
	/** Requests in flight to the version on trial. */
	readonly outstanding: number;
	/** Failures that haven't been evaluated yet. */
	readonly unevaluated: number;
	/** Additional requests allowed because of good responses. */
	readonly earned: number;
};

/** Outcome of a request to the version on trial; `not-sent` provides no evidence. */
export type TrialRequestOutcome = 'good' | 'failed' | 'not-sent';

export function createTrialAllowance(): TrialAllowance {
	return {outstanding: 0, unevaluated: 0, earned: 0};
}

export function canStartTrialRequest({outstanding, unevaluated, earned}: TrialAllowance): boolean {
	return outstanding + unevaluated < initialAllowance + earned;
}

export function startTrialRequest(allowance: TrialAllowance): TrialAllowance {
	assertInvariant(canStartTrialRequest(allowance), 'a trial request starts only within the allowance', allowance);
	return {...allowance, outstanding: allowance.outstanding + 1};
}

export function endTrialRequest(allowance: TrialAllowance, outcome: TrialRequestOutcome): TrialAllowance {
	assertInvariant(allowance.outstanding > 0, 'a trial request that ends was in flight', allowance);
	const ended = {...allowance, outstanding: allowance.outstanding - 1};
	switch (outcome) {
		case 'good': {
			return {...ended, earned: ended.earned + 1};
		}

		case 'failed': {
			return {...ended, unevaluated: ended.unevaluated + 1, earned: Math.floor(ended.earned * remainingFraction)};
		}

		case 'not-sent': {
			return ended;
		}
	}
}

/** Removes the failures from the count once they have been evaluated. */
export function updateOnEvaluation(allowance: TrialAllowance): TrialAllowance {
	return {...allowance, unevaluated: 0};
}
