/**
 * Maps client blocks to sites with weights, for each lookup of the directory.
 * A change creates a new table; the old one stays valid during the change.
 */
import type {Result} from '@catkindale/common';
import type {AddressColumns} from './address-columns.js';
import {parseIpv4Word} from './address-text.js';
import {
	type AddressFamily, type ClientPrefix, parseClientAddress, parseClientPrefix,
} from './client-address.js';
import {
	type ClientBlockRanges, buildClientBlockRanges, findAssignment, findIpv4Assignment,
} from './client-block-ranges.js';
import {
	type ClientBlockChange, type ClientBlockSet, createClientBlockSet, mergeClientBlocks,
} from './client-block-set.js';

export type SiteWeight = {readonly site: string; readonly weight: number};

/** A block to add or replace, or to remove if `sites` is undefined. */
export type SiteChange = {readonly prefix: ClientPrefix; readonly sites: readonly SiteWeight[] | undefined};

type FamilyBlocks = {readonly set: ClientBlockSet; readonly ranges: ClientBlockRanges};

export type ClientBlockTable = {
	readonly families: Readonly<Record<AddressFamily, FamilyBlocks>>;
	/** The distinct lists of sites; the first one is empty, for addresses in no block. */
	readonly assignments: ReadonlyArray<readonly SiteWeight[]>;
	readonly assignmentIndexes: ReadonlyMap<string, number>;
};

const wordCounts: Readonly<Record<AddressFamily, number>> = {ipv4: 1, ipv6: 4};
const hashMultiplier = 2_654_435_761;
const wordValueCount = 2 ** 32;

export function createClientBlockTable(): ClientBlockTable {
	return {
		families: {ipv4: createFamily(wordCounts.ipv4), ipv6: createFamily(wordCounts.ipv6)},
		assignments: [[]],
		assignmentIndexes: new Map([[JSON.stringify([]), 0]]),
	};
}

/** Parses the prefix of one block of a configuration or of a change. */
export function parseSiteChange(prefix: string, sites: readonly SiteWeight[] | undefined): Result<SiteChange, string> {
	const parsed = parseClientPrefix(prefix);
	return parsed.ok ? {ok: true, value: {prefix: parsed.value, sites}} : parsed;
}

/** Applies changes. A generator that yields often enough for lookups to continue. */
export function * changeClientBlocks(table: ClientBlockTable, changes: readonly SiteChange[]): Generator<void, ClientBlockTable> {
	const assignments = [...table.assignments];
	const assignmentIndexes = new Map(table.assignmentIndexes);
	const byFamily: Record<AddressFamily, ClientBlockChange[]> = {ipv4: [], ipv6: []};
	for (const {prefix, sites} of changes) {
		const assignment = sites && internAssignment(assignments, assignmentIndexes, sites);
		byFamily[prefix.family].push({prefix, assignment});
	}

	const ipv4 = yield * changeFamily(table.families.ipv4, byFamily.ipv4);
	const ipv6 = yield * changeFamily(table.families.ipv6, byFamily.ipv6);
	return {families: {ipv4, ipv6}, assignments, assignmentIndexes};
}

/** Runs a generator to its end without a break, for start-up and tests. */
export function runToCompletion<Value>(work: Generator<void, Value>): Value {
	for (;;) {
		const step = work.next();
		if (step.done) {
			return step.value;
		}
	}
}

/** The sites of an address; empty if it is in no block or isn't an address. */
export function findSites(table: ClientBlockTable, address: string): readonly SiteWeight[] {
	const word = parseIpv4Word(address);
	if (word !== undefined) {
		return table.assignments[findIpv4Assignment(table.families.ipv4.ranges, word)] ?? [];
	}

	const parsed = parseClientAddress(address);
	if (!parsed) {
		return [];
	}

	const assignment = findAssignment(table.families[parsed.family].ranges, parsed.words);
	return table.assignments[assignment] ?? [];
}

/** The site of an address, chosen by weight; undefined if it is in no block or isn't an address. */
export function findSite(table: ClientBlockTable, address: string): string | undefined {
	const sites = findSites(table, address);
	if (sites.length <= 1) {
		return sites[0]?.site;
	}

	let clientWord = 0;
	for (const word of parseClientAddress(address)?.words ?? []) {
		clientWord = Math.imul(clientWord ^ word, hashMultiplier);
	}

	return chooseSite(sites, clientWord);
}

/**
 * Chooses a site by weight; a client always gets the same one.
 *
 * Source of the multiplicative hash: Knuth, "The Art of Computer
 * Programming", volume 3, section 6.4.
 */
export function chooseSite(sites: readonly SiteWeight[], clientWord: number): string | undefined {
	const total = sites.reduce((sum, {weight}) => sum + weight, 0);
	let point = (Math.imul(clientWord, hashMultiplier) >>> 0) / wordValueCount * total;
	for (const {site, weight} of sites) {
		point -= weight;
		if (point < 0) {
			return site;
		}
	}

	return sites.at(-1)?.site;
}

/** Memory of the table's columns in bytes. */
export function getClientBlockBytes(table: ClientBlockTable): number {
	return Object.values(table.families).reduce((sum, {set, ranges}) => sum
		+ getColumnBytes(set.addresses) + set.lengths.byteLength + set.assignments.byteLength
		+ getColumnBytes(ranges.starts) + ranges.assignments.byteLength + ranges.index.byteLength, 0);
}

function getColumnBytes(columns: AddressColumns): number {
	return columns.reduce((sum, column) => sum + column.byteLength, 0);
}

function createFamily(wordCount: number): FamilyBlocks {
	const set = createClientBlockSet(wordCount);
	return {set, ranges: runToCompletion(buildClientBlockRanges(set))};
}

function * changeFamily(family: FamilyBlocks, changes: readonly ClientBlockChange[]): Generator<void, FamilyBlocks> {
	if (changes.length === 0) {
		return family;
	}

	const set = yield * mergeClientBlocks(family.set, changes);
	const ranges = yield * buildClientBlockRanges(set);
	return {set, ranges};
}

function internAssignment(assignments: Array<readonly SiteWeight[]>, indexes: Map<string, number>, sites: readonly SiteWeight[]): number {
	const key = JSON.stringify(sites);
	const existing = indexes.get(key);
	if (existing !== undefined) {
		return existing;
	}

	assignments.push(sites);
	indexes.set(key, assignments.length - 1);
	return assignments.length - 1;
}
