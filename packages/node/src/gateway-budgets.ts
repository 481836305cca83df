/** This gateway's budget of repeats for each service. */
import type {Clock} from '@catkindale/common';
import {
	type AttemptBudget, type AttemptBudgetLimits, createAttemptBudget, earnAttempt, takeToken,
} from '@catkindale/policy';

export type GatewayBudgets = {
	/** Adds what a new request earns. */
	earn: (service: string) => void;
	/** Takes one repeat if the budget has it. */
	take: (service: string) => boolean;
	/** Divides the reserve among so many gateways. */
	setGateways: (count: number) => void;
};

export function createGatewayBudgets(clock: Clock, fleetLimits: AttemptBudgetLimits): GatewayBudgets {
	const budgets = new Map<string, AttemptBudget>();
	let limits = fleetLimits;
	const get = (service: string): AttemptBudget => budgets.get(service) ?? createAttemptBudget(limits, clock.monotonic());
	return {
		earn(service) {
			budgets.set(service, earnAttempt(get(service), limits, clock.monotonic()));
		},
		take(service) {
			const taken = takeToken(get(service));
			if (taken) {
				budgets.set(service, taken);
			}

			return taken !== undefined;
		},
		setGateways(count) {
			limits = {...fleetLimits, reserve: fleetLimits.reserve / Math.max(1, count)};
		},
	};
}
