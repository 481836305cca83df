/** Randomised run: the bodies that cross between two regions keep within the link's rate and burst. */
import {productTiming, runQuotaFleet} from './verification-quota-fleet.js';
import {registerVerification} from './verification-registry.js';

/** Every so many seeds, half of the bodies stall and come all at once; these runs take as long as the others. */
const silentLinksPeriod = 5;

registerVerification({
	name: 'links',
	describe: 'bytes between regions over all nodes under crashes, pauses, cuts, lost messages and table outages',
	async run(seed) {
		await runQuotaFleet(seed, productTiming, 'links');
		if (seed % silentLinksPeriod === 0) {
			await runQuotaFleet(seed, productTiming, 'silent-links');
		}
	},
});
