/** Runs the trials of new versions on a gateway. */
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';
import {startVersionTrials} from './version-trial-task.js';

const startOrder = 45;

nodePlugins.register({
	name: 'version-trial',
	roles: [gatewayRole],
	order: startOrder,
	start: async context => startVersionTrials(context.settings.node.name, context),
});
