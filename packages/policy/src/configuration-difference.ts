/** What sets two configurations apart, entry by entry. */
import {isDeepStrictEqual} from 'node:util';
import type {Configuration} from './configuration.js';

export type ConfigurationDifference = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** The list of the configuration, for example `targets`. */
	readonly list: string;
	/** What names the entry within its list. */
	readonly name: string;
	/** The fields that differ, for a changed entry. */
	readonly fields: readonly string[];
};

type Entry = Readonly<Record<string, unknown>>;

/** The differences that applying `after` would make to `before`. */
export function getConfigurationDifferences(before: Configuration, after: Configuration): ConfigurationDifference[] {
	const lists = Object.keys(after).filter(key => Array.isArray(after[key as keyof Configuration]));
	return lists.flatMap(list => getListDifferences(list, getEntries(before, list), getEntries(after, list)));
}

function getListDifferences(list: string, before: ReadonlyMap<string, Entry>, after: ReadonlyMap<string, Entry>): ConfigurationDifference[] {
	const differences: ConfigurationDifference[] = [];
	for (const [name, entry] of after) {
		const previous = before.get(name);
		const fields = previous ? getChangedFields(previous, entry) : [];
		if (!previous) {
			differences.push({
				kind: 'added', list, name, fields,
			});
		} else if (fields.length > 0) {
			differences.push({
				kind: 'changed', list, name, fields,
			});
		}
	}

	const removed = [...before.keys()].filter(name => !after.has(name));
	return [...differences, ...removed.map(name => ({
		kind: 'removed' as const, list, name, fields: [],
	}))];
}

function getChangedFields(before: Entry, after: Entry): string[] {
	const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...fields].filter(field => !isDeepStrictEqual(before[field], after[field]));
}

function getEntries(configuration: Configuration, list: string): Map<string, Entry> {
	const entries = configuration[list as keyof Configuration] as readonly Entry[];
	return new Map(entries.map(entry => [getEntryName(entry), entry]));
}

/** A name of its own, or the fields that make an entry without one unique. */
function getEntryName(entry: Entry): string {
	const parts = [entry.kind, entry.name, entry.method, entry.path, entry.prefix, entry.hash];
	const named = parts.filter(part => typeof part === 'string');
	return named.length > 0 ? named.join(' ') : `${String(entry.from)} to ${String(entry.to)}`;
}
