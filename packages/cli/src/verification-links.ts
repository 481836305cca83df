/** Randomised verification: the bytes that cross between two regions stay within the link's rate and burst. */
import {defaultTiming, runQuotaFleet} from './verification-quota-fleet.js';
import {registerVerification} from './verification-registry.js';

/** One seed in this many also runs with silent links, where half of the bodies stall and arrive all at once. Not every seed does, as that run takes as long as the normal one. */
const silentLinksSeedInterval = 5;

registerVerification({
	name: 'links',
	describe: 'link quotas across all nodes under crashes, pauses, network cuts, lost messages and table outages',
	async run(seed) {
		await runQuotaFleet(seed, defaultTiming, 'links');
		if (seed % silentLinksSeedInterval === 0) {
			await runQuotaFleet(seed, defaultTiming, 'silent-links');
		}
	},
});
