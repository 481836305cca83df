/**
 * Divides a target's slots, as whole numbers by rank, among the members of
 * the target's region, or of the whole fleet if that region has no member.
 */
import type {Target} from './configuration.js';
import {divideEvenly} from './token-allocation.js';
import type {QuotaMember} from './ledger.js';
import {getRankByName, rankByName} from './name-rank.js';

const membersByRegion = new WeakMap<readonly QuotaMember[], Map<string, readonly QuotaMember[]>>();

/** How many of the target's slots are allocated to the incarnation. */
export function getSlotAllocation(target: Target, incarnation: string, members: readonly QuotaMember[]): number {
	const eligible = getEligibleMembers(target.region, members);
	const index = eligible.findIndex(member => member.incarnation === incarnation);
	return index === -1 ? 0 : divideEvenly(target.slots, eligible.length, getRankByName(target.name, eligible, index));
}

/** The members among which the target's slots are divided, the largest allocations first. */
export function getSlotMembers(target: Target, members: readonly QuotaMember[]): QuotaMember[] {
	return rankByName(target.name, getEligibleMembers(target.region, members));
}

function getEligibleMembers(region: string, members: readonly QuotaMember[]): readonly QuotaMember[] {
	const local = getRegionMembers(region, members);
	return local.length > 0 ? local : members;
}

function getRegionMembers(region: string, members: readonly QuotaMember[]): readonly QuotaMember[] {
	let regions = membersByRegion.get(members);
	if (!regions) {
		regions = new Map();
		membersByRegion.set(members, regions);
	}

	const regionMembers = regions.get(region) ?? members.filter(member => member.region === region);
	regions.set(region, regionMembers);
	return regionMembers;
}
