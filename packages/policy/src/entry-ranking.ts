/**
 * Which entries a caller should use, best first. The callers of one customer
 * go to the members that hold its floors; others are spread by rendezvous
 * over the members of their region. Costs don't grow with the fleet beyond
 * one region.
 */
import type {Customer} from './configuration.js';
import {getCustomerMembers} from './token-allocation.js';
import {type Member, isEntryMember} from './member.js';
import {rankByName, rankFirstByName} from './name-rank.js';

/** The members of one epoch, prepared for many look-ups. */
export type EntryDirectory = {
	readonly members: readonly Member[];
	readonly regions: ReadonlyArray<{readonly id: string}>;
	readonly membersByRegion: ReadonlyMap<string, readonly Member[]>;
	readonly membersByCustomer: Map<string, readonly Member[]>;
};

export type EntryLookup = {
	/** The customer whose key came with the look-up. */
	readonly customer: Customer | undefined;
	/** The caller's region; entries there come first. */
	readonly region: string;
	/** What spreads callers, for example their address. */
	readonly caller: string;
	/** Members that must not be named. */
	readonly unavailable: ReadonlySet<string>;
};

const noMembers: readonly Member[] = [];
const mostEntries = 8;
const mostLocalEntries = 6;

export function createEntryDirectory(members: readonly Member[]): EntryDirectory {
	const entries = members.filter(member => isEntryMember(member));
	const membersByRegion = groupByRegion(entries);
	const regions = [...membersByRegion.keys()].map(id => ({id}));
	return {
		members: entries, regions, membersByRegion, membersByCustomer: new Map(),
	};
}

/** At most eight members, best first; empty only if no member may be named. */
export function rankEntries(directory: EntryDirectory, question: EntryLookup): Member[] {
	const isNamed = (member: Member): boolean => member.state === 'live' && !question.unavailable.has(member.id);
	const holders = getHoldersOf(directory, question.customer).filter(member => isNamed(member));
	const chosen = new Set(preferRegion(holders, question.region).slice(0, mostEntries));
	const local = (directory.membersByRegion.get(question.region) ?? noMembers).filter(member => isNamed(member));
	addEntries(chosen, rankFirstByName(question.caller, local, mostLocalEntries), mostLocalEntries);
	for (const region of getOtherRegions(directory, question)) {
		if (chosen.size >= mostEntries) {
			break;
		}

		const remote = (directory.membersByRegion.get(region) ?? noMembers).filter(member => isNamed(member));
		addEntries(chosen, rankFirstByName(question.caller, remote, mostEntries), mostEntries);
	}

	return [...chosen];
}

function addEntries(chosen: Set<Member>, members: readonly Member[], most: number): void {
	for (const member of members) {
		if (chosen.size >= most) {
			return;
		}

		chosen.add(member);
	}
}

/** Ranked once for each customer and epoch. */
function getHoldersOf(directory: EntryDirectory, customer: Customer | undefined): readonly Member[] {
	if (!customer) {
		return [];
	}

	const known = directory.membersByCustomer.get(customer.name) ?? getCustomerMembers(customer, directory.members);
	directory.membersByCustomer.set(customer.name, known);
	return known;
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
		const known = grouped.get(member.region) ?? [];
		known.push(member);
		grouped.set(member.region, known);
	}

	return grouped;
}
