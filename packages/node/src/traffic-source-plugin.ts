/** Runs the source of the traffic's configuration, orders and targets that an adapter brings. */
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';

const startOrder = 60;

nodePlugins.register({
	name: 'traffic-source',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const source = context.trafficSource?.(context);
		return {
			async stop() {
				await source?.stop();
			},
		};
	},
});
