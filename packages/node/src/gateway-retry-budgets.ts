/** This gateway's budget of repeats for each service. */
import type {Clock} from '@catkindale/common';
import {
	type AttemptBudget, type AttemptBudgetLimits, createAttemptBudget, addRequestCredit, takeToken,
} from '@catkindale/policy';

export type GatewayRetryBudgets = {
	/** Adds what a new request earns. */
	recordRequest: (service: string) => void;
	/** Takes one repeat if the budget has it. */
	takeRetry: (service: string) => boolean;
	/** Divides the reserve among so many gateways. */
	setGatewayCount: (count: number) => void;
};

export function createGatewayRetryBudgets(clock: Clock, fleetLimits: AttemptBudgetLimits): GatewayRetryBudgets {
	const budgets = new Map<string, AttemptBudget>();
	let limits = fleetLimits;
	const get = (service: string): AttemptBudget => budgets.get(service) ?? createAttemptBudget(limits, clock.monotonic());
	return {
		recordRequest(service) {
			budgets.set(service, addRequestCredit(get(service), limits, clock.monotonic()));
		},
		takeRetry(service) {
			const taken = takeToken(get(service));
			if (taken) {
				budgets.set(service, taken);
			}

			return taken !== undefined;
		},
		setGatewayCount(count) {
			limits = {...fleetLimits, reserve: fleetLimits.reserve / Math.max(1, count)};
		},
	};
}
