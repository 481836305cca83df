/**
 * Longest-prefix match as a search in disjoint ranges. Nested prefixes are
 * flattened once; a lookup is then a binary search, narrowed by an index on
 * the leading bits.
 *
 * Source: Lampson, Srinivasan, Varghese, "IP lookups using multiway and
 * multicolumn search", IEEE/ACM Transactions on Networking 7(3), 1999.
 */
import {
	type AddressColumns, type AddressWords, compareAddressAt, compareAddresses, createAddressColumns, getLastAddress, getNextAddress, readAddress, writeAddress,
} from './address-columns.js';
import type {ClientBlockSet} from './client-block-set.js';

export type ClientBlockRanges = {
	readonly count: number;
	/** The first address of each range; the first range starts at zero. */
	readonly starts: AddressColumns;
	readonly assignments: Uint32Array;
	/** For each value of the leading bits, the last range that starts before its first address, or range 0. */
	readonly index: Uint32Array;
};

/** The assignment of addresses that are in no block. */
export const noAssignment = 0;

const indexBits = 16;
const indexShift = 32 - indexBits;
const indexSize = 2 ** indexBits;
const blocksPerYield = 4096;

type OpenBlock = {readonly last: AddressWords; readonly assignment: number};

type RangeWriter = {
	readonly starts: AddressColumns;
	readonly assignments: Uint32Array;
	count: number;
};

/** Flattens the blocks. A generator that yields regularly, so that its user can run other work in between. */
export function * buildClientBlockRanges(set: ClientBlockSet): Generator<void, ClientBlockRanges> {
	const wordCount = set.addresses.length;
	const capacity = (2 * set.count) + 1;
	const writer: RangeWriter = {starts: createAddressColumns(wordCount, capacity), assignments: new Uint32Array(capacity), count: 0};
	addRange(writer, Array.from({length: wordCount}, () => 0), noAssignment);
	const open: OpenBlock[] = [];
	for (let position = 0; position < set.count; position++) {
		const first = readAddress(set.addresses, position);
		closeBlocks(writer, open, first);
		const block = {last: getLastAddress(first, set.lengths[position] ?? 0), assignment: set.assignments[position] ?? noAssignment};
		addRange(writer, first, block.assignment);
		open.push(block);
		if (position % blocksPerYield === blocksPerYield - 1) {
			yield;
		}
	}

	closeBlocks(writer, open, undefined);
	const starts = writer.starts.map(column => column.slice(0, writer.count));
	return {
		count: writer.count, starts, assignments: writer.assignments.slice(0, writer.count), index: buildIndex(starts[0], writer.count),
	};
}

/** The assignment of an IPv4 address given as one unsigned word. */
export function findIpv4Assignment(ranges: ClientBlockRanges, address: number): number {
	const leading = address >>> indexShift;
	const [starts] = ranges.starts;
	if (!starts) {
		return noAssignment;
	}

	let low = ranges.index[leading] ?? 0;
	let high = ranges.index[leading + 1] ?? 0;
	while (low < high) {
		const middle = (low + high + 1) >>> 1;
		if ((starts[middle] ?? 0) <= address) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return ranges.assignments[low] ?? noAssignment;
}

/** The assignment of an address of any family. */
export function findAssignment(ranges: ClientBlockRanges, words: AddressWords): number {
	const leading = (words[0] ?? 0) >>> indexShift;
	let low = ranges.index[leading] ?? 0;
	let high = ranges.index[leading + 1] ?? 0;
	while (low < high) {
		const middle = (low + high + 1) >>> 1;
		if (isStartAtMost(ranges.starts, middle, words)) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return ranges.assignments[low] ?? noAssignment;
}

function isStartAtMost(starts: AddressColumns, range: number, words: AddressWords): boolean {
	for (let position = 0; position < starts.length; position++) {
		const start = starts[position]?.[range] ?? 0;
		const word = words[position] ?? 0;
		if (start !== word) {
			return start < word;
		}
	}

	return true;
}

/** Closes the blocks that end before the address, or all of them without an address. */
function closeBlocks(writer: RangeWriter, open: OpenBlock[], before: AddressWords | undefined): void {
	for (let closing = open.at(-1); closing && isBefore(closing, before); closing = open.at(-1)) {
		open.pop();
		const next = getNextAddress(closing.last);
		if (next) {
			addRange(writer, next, open.at(-1)?.assignment ?? noAssignment);
		}
	}
}

function isBefore(block: OpenBlock, address: AddressWords | undefined): boolean {
	return address === undefined || compareAddresses(block.last, address) < 0;
}

/** Adds a range, replacing one that starts at the same address. */
function addRange(writer: RangeWriter, start: AddressWords, assignment: number): void {
	const last = writer.count - 1;
	if (last >= 0 && compareAddressAt(writer.starts, last, start) === 0) {
		writer.assignments[last] = assignment;
		return;
	}

	if (last >= 0 && writer.assignments[last] === assignment) {
		return;
	}

	writeAddress(writer.starts, writer.count, start);
	writer.assignments[writer.count] = assignment;
	writer.count += 1;
}

function buildIndex(leadingWords: Uint32Array | undefined, count: number): Uint32Array {
	const index = new Uint32Array(indexSize + 1);
	let range = 0;
	for (let leading = 0; leading < indexSize; leading++) {
		const first = (leading << indexShift) >>> 0;
		while (range + 1 < count && (leadingWords?.[range + 1] ?? 0) < first) {
			range += 1;
		}

		index[leading] = range;
	}

	index[indexSize] = Math.max(0, count - 1);
	return index;
}
