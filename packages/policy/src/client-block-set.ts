/**
 * The client blocks of one address family: prefixes in ascending order, each
 * with the index of its assignment to sites. A change creates a new set and
 * leaves the old one unchanged, so that lookups continue during the change.
 */
import {
	type AddressColumns, compareAddressAt, compareAddresses, createAddressColumns, writeAddress,
} from './address-columns.js';
import type {ClientPrefix} from './client-address.js';

export type ClientBlockSet = {
	readonly count: number;
	readonly addresses: AddressColumns;
	readonly lengths: Uint8Array;
	readonly assignments: Uint32Array;
};

/** A block to add or replace, or to remove if the assignment is undefined. */
export type ClientBlockChange = {
	readonly prefix: ClientPrefix;
	readonly assignment: number | undefined;
};

type Span = {readonly from: number; readonly until: number};

const changesPerYield = 4096;

export function createClientBlockSet(wordCount: number, capacity = 0): ClientBlockSet {
	return {
		count: 0,
		addresses: createAddressColumns(wordCount, capacity),
		lengths: new Uint8Array(capacity),
		assignments: new Uint32Array(capacity),
	};
}

/**
 * Merges changes into a set. Of several changes to one prefix the last one
 * applies. A generator that yields regularly, so that its user can run other
 * work in between.
 */
export function * mergeClientBlocks(set: ClientBlockSet, changes: readonly ClientBlockChange[]): Generator<void, ClientBlockSet> {
	const sorted = changes.toSorted((left, right) => comparePrefixes(left.prefix, right.prefix));
	const merged = createClientBlockSet(set.addresses.length, set.count + sorted.length);
	let count = 0;
	let from = 0;
	for (const [index, change] of sorted.entries()) {
		const following = sorted[index + 1];
		if (following && comparePrefixes(change.prefix, following.prefix) === 0) {
			continue;
		}

		const until = findPosition(set, change.prefix, from);
		count = copyBlocks(set, {from, until}, merged, count);
		from = until < set.count && isPrefixAt(set, until, change.prefix) ? until + 1 : until;
		if (change.assignment !== undefined) {
			writeAddress(merged.addresses, count, change.prefix.words);
			merged.lengths[count] = change.prefix.length;
			merged.assignments[count] = change.assignment;
			count += 1;
		}

		if (index % changesPerYield === changesPerYield - 1) {
			yield;
		}
	}

	count = copyBlocks(set, {from, until: set.count}, merged, count);
	return {...merged, count};
}

function copyBlocks(source: ClientBlockSet, {from, until}: Span, target: ClientBlockSet, at: number): number {
	for (const [position, column] of source.addresses.entries()) {
		target.addresses[position]?.set(column.subarray(from, until), at);
	}

	target.lengths.set(source.lengths.subarray(from, until), at);
	target.assignments.set(source.assignments.subarray(from, until), at);
	return at + until - from;
}

/** The first position, from `from` on, whose block isn't below the prefix. */
function findPosition(set: ClientBlockSet, prefix: ClientPrefix, from: number): number {
	let low = from;
	let high = set.count;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (compareAt(set, middle, prefix) < 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

function isPrefixAt(set: ClientBlockSet, index: number, prefix: ClientPrefix): boolean {
	return compareAt(set, index, prefix) === 0;
}

function compareAt(set: ClientBlockSet, index: number, prefix: ClientPrefix): number {
	return compareAddressAt(set.addresses, index, prefix.words) || (set.lengths[index] ?? 0) - prefix.length;
}

function comparePrefixes(left: ClientPrefix, right: ClientPrefix): number {
	return compareAddresses(left.words, right.words) || left.length - right.length;
}
