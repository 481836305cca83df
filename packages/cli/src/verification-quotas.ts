/** Randomised verification: the fleet stays within every customer's rate and burst and every target's slots. */
import {runQuotaFleet} from './verification-quota-fleet.js';
import {registerVerification} from './verification-registry.js';

registerVerification({
	name: 'quotas',
	describe: 'rates, bursts and slots across all nodes under crashes, pauses, network cuts, lost messages and table outages',
	async run(seed) {
		await runQuotaFleet(seed);
	},
});
