/** Looks at the clocks at short intervals, so that a pause of this process is noticed, and tells the other plug-ins. */
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 11;
const intervalMilliseconds = 250;

nodePlugins.register({
	name: 'pause-guard',
	roles: [gatewayRole],
	order: startOrder,
	async start({bus, logger, pauseGuard, observePause}) {
		const work = startPeriodicWork(async () => {
			observePause();
		}, intervalMilliseconds);
		const unsubscribe = bus.subscribe('traffic-source-confirmed', () => {
			pauseGuard.confirm();
			logger.info('pause_confirmed');
		});
		return {
			async stop() {
				unsubscribe();
				await work.stop();
			},
		};
	},
});
