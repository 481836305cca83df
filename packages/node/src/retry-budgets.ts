/** The retry budgets of this node, one per service, so that one failing service doesn't spend another's. */
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
	const get = (service: string): RetryBudget => budgets.get(service) ?? createRetryBudget();
	return {
		recordSuccess(service) {
			budgets.set(service, updateRetryBudgetOnSuccess(get(service)));
		},
		takeRetry(service) {
			const left = takeRetry(get(service));
			if (left) {
				budgets.set(service, left);
			}

			return left !== undefined;
		},
	};
}
