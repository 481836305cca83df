/**
 * Bounds the requests that are sent to a second target, for each service: a
 * part of the requests, and a reserve that all nodes share.
 */

export type AttemptBudgetLimits = {
	/** Repeats per request. */
	readonly ratio: number;
	/** Repeats that this node may make beyond, in one window. */
	readonly reserve: number;
	readonly windowMilliseconds: number;
};

export type AttemptBudget = {readonly tokens: number; readonly filledAt: number};

export function createAttemptBudget(limits: AttemptBudgetLimits, now: number): AttemptBudget {
	return {tokens: limits.reserve / 2, filledAt: now};
}

/** Adds what one request earns. */
export function addRequestCredit(budget: AttemptBudget, limits: AttemptBudgetLimits, now: number): AttemptBudget {
	const reserved = Math.max(0, now - budget.filledAt) / limits.windowMilliseconds * (limits.reserve / 2);
	return {tokens: Math.min(limits.reserve, budget.tokens + reserved + limits.ratio), filledAt: now};
}
