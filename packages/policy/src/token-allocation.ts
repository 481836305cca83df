/**
 * Divides a customer's rate and burst among members. Bursts are whole
 * numbers, so only a few members have a part of a small burst: those that
 * rank best for the customer, in at least two regions if there are two.
 */
import type {Customer} from './configuration.js';
import type {QuotaMember} from './ledger.js';
import {findBestByName, rankByName, rankFirstByName} from './name-rank.js';

/** A node's guaranteed part of a customer's limit: requests per second, and requests at once. */
export type TokenAllocation = {readonly rate: number; readonly burst: number};

type RegionalMember = {readonly id: string; readonly region: string};

const minimumBurstPerMember = 8;
/** Limits how many members divide a low rate, so that the tokens stay at the members that the customer's callers use. */
const minimumRatePerMember = 50;
const minimumMembers = 2;

export const emptyTokenAllocation: TokenAllocation = {rate: 0, burst: 0};

/** The members with an allocation for the customer, best first; lookups direct its callers to them. */
export function getCustomerMembers<Member extends RegionalMember>(customer: Customer, members: readonly Member[]): Member[] {
	const desired = Math.min(customer.burst / minimumBurstPerMember, customer.rate / minimumRatePerMember);
	const count = Math.min(members.length, Math.max(minimumMembers, Math.floor(desired)));
	const isFew = count * 4 < members.length;
	const chosen = isFew ? rankFirstByName(customer.name, members, count) : rankByName(customer.name, members).slice(0, count);
	const region = chosen[0]?.region;
	if (chosen.length > 1 && chosen.every(member => member.region === region)) {
		const remoteMember = findBestByName(customer.name, members, member => member.region !== region);
		chosen[chosen.length - 1] = remoteMember ?? chosen.at(-1)!;
	}

	return chosen;
}

/** The allocation of one incarnation; empty if it isn't among the customer's members. */
export function getTokenAllocation(customer: Customer, incarnation: string, members: readonly QuotaMember[]): TokenAllocation {
	const chosen = getCustomerMembers(customer, members);
	const rank = chosen.findIndex(member => member.incarnation === incarnation);
	if (rank === -1) {
		return emptyTokenAllocation;
	}

	const burst = divideEvenly(customer.burst, chosen.length, rank);
	const memberCount = Math.min(chosen.length, customer.burst);
	return {rate: burst > 0 ? customer.rate / memberCount : 0, burst};
}

/** The whole number that a rank gets of a total divided by `count`; the first ranks get the remainder. */
export function divideEvenly(total: number, count: number, rank: number): number {
	return Math.floor(total / count) + (rank < total % count ? 1 : 0);
}
