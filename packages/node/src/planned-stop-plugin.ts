/**
 * Starts a planned stop. Peers remove this node from their lookups at once, and
 * the node continues to serve while callers hold older lookups. Only then do the
 * other plug-ins drain.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';

const startOrder = 90;

nodePlugins.register({
	name: 'planned-stop',
	roles: ['entry', 'directory', gatewayRole],
	order: startOrder,
	async start(context) {
		return {
			async drain() {
				context.logger.info('drain_started');
				context.bus.publish({type: 'drain-started'});
				await delay(context.settings.timing.lookupHoldMilliseconds);
			},
			async stop() {
				// There is nothing to release.
			},
		};
	},
});
