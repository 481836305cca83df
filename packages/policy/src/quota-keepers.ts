/**
 * Decides which gateways admit a customer's requests. A rate that is large for
 * the number of gateways is divided among all of them. A smaller one would leave
 * each of them less than a request now and then, so that callers far below their
 * rate were refused; one gateway of each region, the customer's keeper, admits
 * the requests for all others there. Keepers are chosen by rendezvous hashing, so
 * that no message is needed to agree on them.
 */
import {findBestByName} from './name-rank.js';

/** Requests per second and gateway from which on a rate is divided. */
const minimumDividedRate = 2;

export function isRateDivided(ratePerSecond: number, gatewayCount: number): boolean {
	return ratePerSecond >= minimumDividedRate * gatewayCount;
}

/** Returns the identifier of the customer's keeper among the gateways of a region; undefined without any. */
export function chooseQuotaKeeper(customer: string, gateways: ReadonlyArray<{readonly id: string}>): string | undefined {
	return findBestByName(customer, gateways, () => true)?.id;
}
