/** Randomised run: the bodies that cross between two regions keep within the link's rate and burst. */
import {productTiming, runQuotaFleet} from './verification-quota-fleet.js';
import {registerVerification} from './verification-registry.js';

registerVerification({
	name: 'links',
	describe: 'bytes between regions over all nodes under crashes, pauses, cuts, lost messages and table outages',
	async run(seed) {
		await runQuotaFleet(seed, productTiming, 'links');
	},
});
