/**
 * Begins a planned stop: the peers take this node out of their look-ups at
 * once, and it goes on serving while callers hold older look-ups. Only then
 * do the other tasks drain.
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
				// It owns nothing.
			},
		};
	},
});
