/**
 * Bounds how many requests of a route a node may have at a version on trial
 * without knowing how they ended. A route without evidence gets a handful; each
 * good answer makes room for one more request, each failure halves the room. A
 * failure also keeps its place until the node has judged the evidence, so that
 * a version that fails fast can't take request after request meanwhile.
 */
import {assertInvariant} from '@catkindale/common';

/** Requests of a route that each node may have under way before any evidence. */
const handful = 1;
const remainingPart = 0.5;

export type TrialAllowance = {
	/** Requests under way at the version on trial. */
	readonly outstanding: number;
	/** Failures that haven't been judged. */
	readonly unevaluated: number;
	/** Room earned by good answers. */
	readonly earned: number;
};

/** How a trial ended; `not-sent` shows nothing about the version. */
export type TrialRequestOutcome = 'good' | 'failed' | 'not-sent';

export function createTrialAllowance(): TrialAllowance {
	return {outstanding: 0, unevaluated: 0, earned: 0};
}

export function canStartTrialRequest({outstanding, unevaluated: unjudged, earned}: TrialAllowance): boolean {
	return outstanding + unjudged < handful + earned;
}

export function startTrialRequest(account: TrialAllowance): TrialAllowance {
	assertInvariant(canStartTrialRequest(account), 'a trial starts only where there is room', account);
	return {...account, outstanding: account.outstanding + 1};
}

export function endTrialRequest(account: TrialAllowance, end: TrialRequestOutcome): TrialAllowance {
	assertInvariant(account.outstanding > 0, 'a trial that ends was under way', account);
	const ended = {...account, outstanding: account.outstanding - 1};
	switch (end) {
		case 'good': {
			return {...ended, earned: ended.earned + 1};
		}

		case 'failed': {
			return {...ended, unevaluated: ended.unevaluated + 1, earned: Math.floor(ended.earned * remainingPart)};
		}

		case 'not-sent': {
			return ended;
		}
	}
}

/** Gives the places of judged failures back. */
export function updateOnEvaluation(account: TrialAllowance): TrialAllowance {
	return {...account, unevaluated: 0};
}
