/** Compares two configurations item by item. */
import {isDeepStrictEqual} from 'node:util';
import type {Configuration} from './configuration.js';

export type ConfigurationDifference = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** The list of the configuration, for example `targets`. */
	readonly list: string;
	/** Identifies the item within its list. */
	readonly name: string;
	/** The fields that differ; empty unless the item has changed. */
	readonly fields: readonly string[];
};

type ConfigurationItem = Readonly<Record<string, unknown>>;

/** The changes that lead from `before` to `after`. */
export function getConfigurationDifferences(before: Configuration, after: Configuration): ConfigurationDifference[] {
	const lists = Object.keys(after).filter(key => Array.isArray(after[key as keyof Configuration]));
	return lists.flatMap(list => getListDifferences(list, getItems(before, list), getItems(after, list)));
}

function getListDifferences(list: string, before: ReadonlyMap<string, ConfigurationItem>, after: ReadonlyMap<string, ConfigurationItem>): ConfigurationDifference[] {
	const differences: ConfigurationDifference[] = [];
	for (const [name, item] of after) {
		const previous = before.get(name);
		const fields = previous ? getChangedFields(previous, item) : [];
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

function getChangedFields(before: ConfigurationItem, after: ConfigurationItem): string[] {
	const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...fields].filter(field => !isDeepStrictEqual(before[field], after[field]));
}

function getItems(configuration: Configuration, list: string): Map<string, ConfigurationItem> {
	const items = configuration[list as keyof Configuration] as readonly ConfigurationItem[];
	return new Map(items.map(item => [getItemName(item), item]));
}

/** The item's name, or the fields that identify an item without a name. */
function getItemName(item: ConfigurationItem): string {
	const nameFields = [item.kind, item.name, item.method, item.path, item.prefix, item.hash];
	const named = nameFields.filter(field => typeof field === 'string');
	return named.length > 0 ? named.join(' ') : `${String(item.from)} to ${String(item.to)}`;
}
