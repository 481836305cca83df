/**
 * A retry budget: each success earns a fraction of a retry, each retry or
 * hedge costs one. When every target fails, retries end with what was saved.
 *
 * Source: the retry budget of Finagle, Twitter, 2016.
 */

import {takeToken} from './token-bucket.js';

export type RetryBudget = {
	/** Retries that may be made now. */
	readonly tokens: number;
};

/** Retries earned by one success. */
export const retriesPerSuccess = 0.1;
/** The most that can be saved. */
export const maximumSavedRetries = 10;
const initialRetries = 5;

export function createRetryBudget(): RetryBudget {
	return {tokens: initialRetries};
}

/** Adds what one success earns. */
export function updateRetryBudgetOnSuccess(budget: RetryBudget): RetryBudget {
	return {tokens: Math.min(maximumSavedRetries, budget.tokens + retriesPerSuccess)};
}

/** Takes one retry; undefined if the budget is spent. */
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
	return takeToken(budget);
}

/** What one attempt showed, as far as another attempt depends on it. */
export type AttemptOutcome
	/** Provably nothing was handed over, or the target's contract says so. */
	= | {readonly kind: 'not-run'}
	/** It may have run; the answer is lost. */
		| {readonly kind: 'unknown'}
	/** An answer came that another target might better. */
		| {readonly kind: 'failed'; readonly status: number}
	/** The answer is good, or its beginning is with the caller, or nobody waits for it. */
		| {readonly kind: 'final'};

/** Statuses by which a target says that it can't answer now. */
const retriableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export function isRetriableStatus(status: number): boolean {
	return retriableStatuses.has(status);
}

/** Whether the request may be handed to another target, budget apart. */
export function isRetriable(end: AttemptOutcome, isIdempotent: boolean): boolean {
	switch (end.kind) {
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
