/** Randomised verification: the bytes that cross between two regions stay within the link's rate and burst. */
import {productionTiming, runQuotaFleet} from './verification-quota-fleet.js';
import {registerVerification} from './verification-registry.js';

/** Only one seed in so many also runs with silent links, since that run takes as long as the normal one. Half of its bodies stall and arrive all at once. */
const silentLinksSeedInterval = 5;

registerVerification({
	name: 'links',
	describe: 'link quotas across all nodes under crashes, pauses, network cuts, lost messages and table outages',
	async run(seed) {
		await runQuotaFleet(seed, productionTiming, 'links');
		if (seed % silentLinksSeedInterval === 0) {
			await runQuotaFleet(seed, productionTiming, 'silent-links');
		}
	},
});
