/** Runs the platform adapter's source of traffic configuration, orders and targets. */
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
