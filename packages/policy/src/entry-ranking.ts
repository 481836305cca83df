/**
 * Which entries a caller should use, best first. The callers of one customer
 * go to the members that hold its floors; others are spread by rendezvous
 * over the members of their region. Costs don't grow with the fleet beyond
 * one region.
 */
import type {Customer} from './configuration.js';
import {getCustomerMembers} from './customer-floors.js';
import type {Member} from './member.js';
import {rankByName} from './name-rank.js';

/** The members of one epoch, prepared for many look-ups. */
export type EntryDirectory = {
	readonly members: readonly Member[];
	readonly membersByRegion: ReadonlyMap<string, readonly Member[]>;
	readonly membersByCustomer: Map<string, readonly Member[]>;
};

export type EntryQuestion = {
	/** The customer whose key came with the look-up. */
	readonly customer: Customer | undefined;
	/** The caller's region; entries there come first. */
	readonly region: string;
	/** What spreads callers, for example their address. */
	readonly caller: string;
	/** Members that must not be named. */
	readonly unavailable: ReadonlySet<string>;
};

const mostEntries = 8;
const mostLocalEntries = 6;

export function createEntryDirectory(members: readonly Member[]): EntryDirectory {
	return {members, membersByRegion: groupByRegion(members), membersByCustomer: new Map()};
}

/** At most eight members, best first; empty only if no member may be named. */
export function getEntries(directory: EntryDirectory, question: EntryQuestion): Member[] {
	const isNamed = (member: Member): boolean => member.state === 'live' && !question.unavailable.has(member.id);
	const holders = getHoldersOf(directory, question.customer).filter(member => isNamed(member));
	const chosen = new Set(preferRegion(holders, question.region).slice(0, mostEntries));
	for (const member of getLocalMembers(directory, question)) {
		if (chosen.size >= mostLocalEntries) {
			break;
		}

		if (isNamed(member)) {
			chosen.add(member);
		}
	}

	for (const member of getRemoteMembers(directory, question)) {
		if (chosen.size >= mostEntries) {
			break;
		}

		if (isNamed(member)) {
			chosen.add(member);
		}
	}

	return [...chosen];
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

function getLocalMembers({membersByRegion}: EntryDirectory, {region, caller}: EntryQuestion): Member[] {
	return rankByName(caller, membersByRegion.get(region) ?? []);
}

/** One region after the other, the first one chosen by the caller. */
function getRemoteMembers({membersByRegion}: EntryDirectory, {region, caller}: EntryQuestion): Member[] {
	const regions = [...membersByRegion.keys()].filter(name => name !== region).map(id => ({id}));
	return rankByName(caller, regions).flatMap(({id}) => membersByRegion.get(id) ?? []);
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
