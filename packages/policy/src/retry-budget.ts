/**
 * Retry budget: each success adds a fraction of a retry, each retry or hedge
 * takes one. When every target fails, retries stop once the saved ones are
 * spent.
 *
 * Source: the retry budget of Finagle, Twitter, 2016.
 */

import {takeToken} from './token-bucket.js';

export type RetryBudget = {
	/** Number of retries available now. */
	readonly tokens: number;
};

/** Retries added by one success. */
export const retriesPerSuccess = 0.1;
/** Maximum number of retries that can be saved. */
export const maximumSavedRetries = 10;
const initialRetries = 5;

export function createRetryBudget(): RetryBudget {
	return {tokens: initialRetries};
}

/** Adds the credit of one success. */
export function updateRetryBudgetOnSuccess(budget: RetryBudget): RetryBudget {
	return {tokens: Math.min(maximumSavedRetries, budget.tokens + retriesPerSuccess)};
}

/** Takes one retry; returns undefined if the budget is spent. */
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
	return takeToken(budget);
}

/** Outcome of an attempt, as far as a further attempt depends on it. */
export type AttemptOutcome
	/** The request has not run: it was provably not sent, or the target's contract says so. */
	= | {readonly kind: 'not-run'}
	/** The request may have run; the response was lost. */
		| {readonly kind: 'unknown'}
	/** The target sent a response with a status that another target might improve on. */
		| {readonly kind: 'failed'; readonly status: number}
	/** The response is good, or the caller has received its beginning, or the caller no longer waits. */
		| {readonly kind: 'final'};

/** Statuses that mean that a target can't serve the request now. */
const retriableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export function isRetriableStatus(status: number): boolean {
	return retriableStatuses.has(status);
}

/** Returns whether the request may be sent to another target, if the budget allows it. */
export function isRetriable(outcome: AttemptOutcome, isIdempotent: boolean): boolean {
	switch (outcome.kind) {
		case 'not-run': {
			return true;
		}

		case 'unknown':
		case 'failed': {
			return isIdempotent;
		}

		case 'final': {
			return false;
		}
	}
}
