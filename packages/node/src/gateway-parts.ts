/** What a gateway's task owns and each of its requests uses. */
import type {GatewayBudgets} from './gateway-budgets.js';
import type {GatewayChooser} from './gateway-chooser.js';
import type {GatewayQuotas} from './gateway-quotas.js';
import type {GatewayTargets} from './gateway-targets.js';
import type {NodeContext} from './node-context.js';

export type GatewayParts = {
	readonly context: NodeContext;
	readonly targets: GatewayTargets;
	readonly chooser: GatewayChooser;
	readonly quotas: GatewayQuotas;
	readonly budgets: GatewayBudgets;
};
