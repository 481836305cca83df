/**
 * Budget of one service for sending requests to a second target. Each request
 * adds a fraction of an attempt, and a reserve, which is divided among all
 * nodes, refills with time.
 */

export type AttemptBudgetLimits = {
	/** Additional attempts that each request adds to the budget. */
	readonly ratio: number;
	/** Additional attempts that this node may make in one window on top of the ratio. */
	readonly reserve: number;
	readonly windowMilliseconds: number;
};

export type AttemptBudget = {readonly tokens: number; readonly filledAt: number};

export function createAttemptBudget(limits: AttemptBudgetLimits, now: number): AttemptBudget {
	return {tokens: limits.reserve / 2, filledAt: now};
}

/** Adds the credit of one request and the part of the reserve that has refilled since the last one. */
export function addRequestCredit(budget: AttemptBudget, limits: AttemptBudgetLimits, now: number): AttemptBudget {
	const reserveCredit = Math.max(0, now - budget.filledAt) / limits.windowMilliseconds * (limits.reserve / 2);
	return {tokens: Math.min(limits.reserve, budget.tokens + reserveCredit + limits.ratio), filledAt: now};
}
