/** Polls the platform's list of VMs, which lags behind the actual state, and publishes it. */
import {nodePlugins} from './node-context.js';
import {roles} from './constants.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 45;

nodePlugins.register({
	name: 'machine-list',
	roles,
	order: startOrder,
	async start(context) {
		const poll = async (): Promise<void> => {
			const outcome = await context.platform.machines.list();
			if (outcome.kind === 'done') {
				context.bus.publish({type: 'machines-listed', machines: outcome.machines});
				return;
			}

			context.logger.warn('machine_list_failed', {reason: outcome.reason});
		};

		const work = startPeriodicWork(poll, context.settings.timing.machineListPollMilliseconds);
		await poll();
		return {
			stop: async () => work.stop(),
		};
	},
});
