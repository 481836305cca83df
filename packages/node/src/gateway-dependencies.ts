/** The collaborators of a gateway that each of its requests uses. */
import type {GatewayRetryBudgets} from './gateway-retry-budgets.js';
import type {GatewayTargetChooser} from './gateway-target-chooser.js';
import type {GatewayTargetRates} from './gateway-target-rates.js';
import type {GatewayAdmissions} from './gateway-admissions.js';
import type {GatewayTargets} from './gateway-targets.js';
import type {NodeContext} from './node-context.js';

export type GatewayDependencies = {
	readonly context: NodeContext;
	readonly targets: GatewayTargets;
	readonly chooser: GatewayTargetChooser;
	readonly rates: GatewayTargetRates;
	readonly admissions: GatewayAdmissions;
	readonly retryBudgets: GatewayRetryBudgets;
	/** Monotonic time at which this gateway closes its connections; undefined unless it is stopping. */
	readonly getStopTime: () => number | undefined;
};
