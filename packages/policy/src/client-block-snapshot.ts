/** Snapshots of the client blocks: the sorted prefixes in columns, without the ranges computed from them. */
import * as z from 'zod';
import {type Result, fail, succeed} from '@catkindale/common';
import {buildClientBlockRanges} from './client-block-ranges.js';
import type {ClientBlockSet} from './client-block-set.js';
import type {ClientBlockTable} from './client-block-table.js';

const blockSetSchema = z.object({
	count: z.int().min(0),
	addresses: z.array(z.instanceof(Uint32Array)),
	lengths: z.instanceof(Uint8Array),
	assignments: z.instanceof(Uint32Array),
});

const snapshotSchema = z.object({
	version: z.int().min(0),
	ipv4: blockSetSchema,
	ipv6: blockSetSchema,
	assignments: z.array(z.array(z.object({site: z.string(), weight: z.number().positive()}))),
});

export type ClientBlockSnapshot = z.infer<typeof snapshotSchema>;

export function createClientBlockSnapshot(table: ClientBlockTable, version: number): ClientBlockSnapshot {
	return {
		version,
		ipv4: copySet(table.families.ipv4.set),
		ipv6: copySet(table.families.ipv6.set),
		assignments: table.assignments.map(sites => sites.map(site => ({...site}))),
	};
}

/** Validates untrusted data and builds the table. A generator that yields often enough for lookups to continue. */
export function * parseClientBlockSnapshot(data: unknown): Generator<void, Result<ClientBlockTable, string>> {
	const parsed = snapshotSchema.safeParse(data);
	if (!parsed.success) {
		return fail(z.prettifyError(parsed.error));
	}

	const {ipv4, ipv6, assignments} = parsed.data;
	if (!isConsistent(ipv4, 1, assignments.length) || !isConsistent(ipv6, 4, assignments.length)) {
		return fail('the columns of the snapshot are inconsistent');
	}

	const ipv4Ranges = yield * buildClientBlockRanges(ipv4);
	const ipv6Ranges = yield * buildClientBlockRanges(ipv6);
	return succeed({
		families: {
			ipv4: {set: ipv4, ranges: ipv4Ranges},
			ipv6: {set: ipv6, ranges: ipv6Ranges},
		},
		assignments,
		assignmentIndexes: new Map(assignments.map((sites, index) => [JSON.stringify(sites), index])),
	});
}

function copySet(set: ClientBlockSet): ClientBlockSnapshot['ipv4'] {
	return {
		count: set.count,
		addresses: set.addresses.map(column => column.slice(0, set.count)),
		lengths: set.lengths.slice(0, set.count),
		assignments: set.assignments.slice(0, set.count),
	};
}

function isConsistent(set: ClientBlockSet, wordCount: number, assignmentCount: number): boolean {
	const columns = [...set.addresses, set.lengths, set.assignments];
	return set.addresses.length === wordCount
		&& columns.every(column => column.length === set.count)
		&& set.assignments.every(assignment => assignment < assignmentCount);
}
