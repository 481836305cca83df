/** The retry budgets of this node, one per service, so that a failing service doesn't use up the budget of another. */
import {
	type RetryBudget, createRetryBudget, takeRetry, updateRetryBudgetOnSuccess,
} from '@catkindale/policy';

export type RetryBudgets = {
	recordSuccess: (service: string) => void;
	/** False if the service's budget is spent. */
	takeRetry: (service: string) => boolean;
};

export function createRetryBudgets(): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	const getBudget = (service: string): RetryBudget => budgets.get(service) ?? createRetryBudget();
	return {
		recordSuccess(service) {
			budgets.set(service, updateRetryBudgetOnSuccess(getBudget(service)));
		},
		takeRetry(service) {
			const remaining = takeRetry(getBudget(service));
			if (remaining) {
				budgets.set(service, remaining);
			}

			return remaining !== undefined;
		},
	};
}
