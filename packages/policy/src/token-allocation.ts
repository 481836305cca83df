/**
 * The floor shares of a customer's rate and burst. Bursts are whole numbers,
 * so that a small burst sits on few members: the best-ranked ones, in at
 * least two regions where there are two.
 */
import type {Customer} from './configuration.js';
import type {QuotaMember} from './ledger.js';
import {findBestByName, rankByName, rankFirstByName} from './name-rank.js';

/** What a node may give out without asking: requests per second, and at once. */
export type TokenAllocation = {readonly rate: number; readonly burst: number};

type Place = {readonly id: string; readonly region: string};

const leastBurstPerMember = 8;
/** A customer is spread no further than its rate needs, so that its tokens stay where its callers are. */
const leastRatePerMember = 50;
const leastMembers = 2;

export const emptyTokenAllocation: TokenAllocation = {rate: 0, burst: 0};

/** The members that hold the customer's floors, best first; look-ups send its callers to these. */
export function getCustomerMembers<Member extends Place>(customer: Customer, members: readonly Member[]): Member[] {
	const wanted = Math.min(customer.burst / leastBurstPerMember, customer.rate / leastRatePerMember);
	const count = Math.min(members.length, Math.max(leastMembers, Math.floor(wanted)));
	const isFew = count * 4 < members.length;
	const chosen = isFew ? rankFirstByName(customer.name, members, count) : rankByName(customer.name, members).slice(0, count);
	const region = chosen[0]?.region;
	if (chosen.length > 1 && chosen.every(member => member.region === region)) {
		const other = findBestByName(customer.name, members, member => member.region !== region);
		chosen[chosen.length - 1] = other ?? chosen.at(-1)!;
	}

	return chosen;
}

/** The floor of one incarnation; empty for one that holds no share. */
export function getTokenAllocation(customer: Customer, incarnation: string, holders: readonly QuotaMember[]): TokenAllocation {
	const chosen = getCustomerMembers(customer, holders);
	const rank = chosen.findIndex(holder => holder.incarnation === incarnation);
	if (rank === -1) {
		return emptyTokenAllocation;
	}

	const burst = divideEvenly(customer.burst, chosen.length, rank);
	const sharers = Math.min(chosen.length, customer.burst);
	return {rate: burst > 0 ? customer.rate / sharers : 0, burst};
}

/** The whole-number share of a rank; the first ranks take what is left over. */
export function divideEvenly(total: number, count: number, rank: number): number {
	return Math.floor(total / count) + (rank < total % count ? 1 : 0);
}
