/**
 * Ranks the entries that a caller should use, best first. The callers of a
 * customer use the members with an allocation for it; other callers are
 * spread over the members of their region by rendezvous hashing. The cost of
 * a lookup grows with the size of one region, not with that of the fleet.
 */
import type {Customer} from './configuration.js';
import {getCustomerMembers} from './token-allocation.js';
import {type Member, isEntryMember} from './member.js';
import {rankByName, rankFirstByName} from './name-rank.js';

/** The entry members of one epoch, indexed for many lookups. */
export type EntryDirectory = {
	readonly members: readonly Member[];
	readonly regions: ReadonlyArray<{readonly id: string}>;
	readonly membersByRegion: ReadonlyMap<string, readonly Member[]>;
	readonly membersByCustomer: Map<string, readonly Member[]>;
};

export type EntryLookup = {
	/** The customer whose key came with the lookup. */
	readonly customer: Customer | undefined;
	/** The caller's region, whose entries come first. */
	readonly region: string;
	/** Identifies the caller for rendezvous hashing, for example its address. */
	readonly caller: string;
	/** Members to leave out of the response. */
	readonly unavailable: ReadonlySet<string>;
};

const noMembers: readonly Member[] = [];
const maximumEntries = 8;
const maximumLocalEntries = 6;

export function createEntryDirectory(members: readonly Member[]): EntryDirectory {
	const entryMembers = members.filter(member => isEntryMember(member));
	const membersByRegion = groupByRegion(entryMembers);
	const regions = [...membersByRegion.keys()].map(id => ({id}));
	return {
		members: entryMembers, regions, membersByRegion, membersByCustomer: new Map(),
	};
}

/** At most eight members, best first; empty only if no member is eligible. */
export function rankEntries(directory: EntryDirectory, lookup: EntryLookup): Member[] {
	const isEligible = (member: Member): boolean => member.state === 'live' && !lookup.unavailable.has(member.id);
	const customerMembers = getMembersOfCustomer(directory, lookup.customer).filter(member => isEligible(member));
	const chosen = new Set(preferRegion(customerMembers, lookup.region).slice(0, maximumEntries));
	const local = (directory.membersByRegion.get(lookup.region) ?? noMembers).filter(member => isEligible(member));
	addEntries(chosen, rankFirstByName(lookup.caller, local, maximumLocalEntries), maximumLocalEntries);
	for (const region of getOtherRegions(directory, lookup)) {
		if (chosen.size >= maximumEntries) {
			break;
		}

		const remote = (directory.membersByRegion.get(region) ?? noMembers).filter(member => isEligible(member));
		addEntries(chosen, rankFirstByName(lookup.caller, remote, maximumEntries), maximumEntries);
	}

	return [...chosen];
}

function addEntries(chosen: Set<Member>, members: readonly Member[], maximum: number): void {
	for (const member of members) {
		if (chosen.size >= maximum) {
			return;
		}

		chosen.add(member);
	}
}

/** Ranks the customer's members once for each customer and epoch. */
function getMembersOfCustomer(directory: EntryDirectory, customer: Customer | undefined): readonly Member[] {
	if (!customer) {
		return [];
	}

	const ranked = directory.membersByCustomer.get(customer.name) ?? getCustomerMembers(customer, directory.members);
	directory.membersByCustomer.set(customer.name, ranked);
	return ranked;
}

function preferRegion(members: readonly Member[], region: string): Member[] {
	return [...members.filter(member => member.region === region), ...members.filter(member => member.region !== region)];
}

/** All regions but the caller's, in an order that differs between callers. */
function getOtherRegions({regions}: EntryDirectory, {region, caller}: EntryLookup): string[] {
	return rankByName(caller, regions).map(({id}) => id).filter(id => id !== region);
}

function groupByRegion(members: readonly Member[]): Map<string, Member[]> {
	const grouped = new Map<string, Member[]>();
	for (const member of members) {
		const regionMembers = grouped.get(member.region) ?? [];
		regionMembers.push(member);
		grouped.set(member.region, regionMembers);
	}

	return grouped;
}
