/** This gateway's retry budgets, one per service. */
import type {Clock} from '@catkindale/common';
import {
	type AttemptBudget, type AttemptBudgetLimits, createAttemptBudget, addRequestCredit, takeToken,
} from '@catkindale/policy';

export type GatewayRetryBudgets = {
	/** Credits the budget of the service for a new request. */
	recordRequest: (service: string) => void;
	/** Takes one retry from the budget of the service; false if it is spent. */
	takeRetry: (service: string) => boolean;
	/** Divides the reserve of the fleet by the number of gateways. */
	setGatewayCount: (count: number) => void;
};

/** @param getFleetLimits returns the limits of all gateways together that the settings have now */
export function createGatewayRetryBudgets(clock: Clock, getFleetLimits: () => AttemptBudgetLimits): GatewayRetryBudgets {
	const budgets = new Map<string, AttemptBudget>();
	let gatewayCount = 1;
	const getLimits = (): AttemptBudgetLimits => {
		const fleetLimits = getFleetLimits();
		return {...fleetLimits, reserve: fleetLimits.reserve / gatewayCount};
	};

	const getBudget = (service: string): AttemptBudget => budgets.get(service) ?? createAttemptBudget(getLimits(), clock.monotonic());
	return {
		recordRequest(service) {
			budgets.set(service, addRequestCredit(getBudget(service), getLimits(), clock.monotonic()));
		},
		takeRetry(service) {
			const taken = takeToken(getBudget(service));
			if (taken) {
				budgets.set(service, taken);
			}

			return taken !== undefined;
		},
		setGatewayCount(count) {
			gatewayCount = Math.max(1, count);
		},
	};
}
