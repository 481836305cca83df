/** `catkindale watch`: polls a node's status and prints a line for each changed field, until interrupted. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import type {CommandModule} from 'yargs';
import {formatLogLine, getErrorMessage, millisecondsPerSecond} from '@catkindale/common';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';

type WatchArguments = AdminArguments & {interval: number; seconds: number | undefined};

export const watchCommand: CommandModule<object, WatchArguments> = {
	command: 'watch',
	describe: 'print each change of a node\'s status',
	builder: command => addAdminOptions(command)
		.option('interval', {type: 'number', default: 1, describe: 'seconds between two polls'})
		.option('seconds', {type: 'number', describe: 'end after this many seconds'}),
	async handler(options) {
		const endsAt = performance.now() + ((options.seconds ?? Number.POSITIVE_INFINITY) * millisecondsPerSecond);
		let previous: Record<string, unknown> = {};
		while (performance.now() < endsAt) {
			const current = await readStatus(options);
			printChanges(previous, current, options.json);
			previous = current;
			await delay(options.interval * millisecondsPerSecond);
		}
	},
};

async function readStatus(options: AdminArguments): Promise<Record<string, unknown>> {
	try {
		const {body} = await callAdmin(options, 'GET', '/v1/status');
		return flatten(body, '');
	} catch (error) {
		return {unreachable: getErrorMessage(error)};
	}
}

function printChanges(previous: Record<string, unknown>, current: Record<string, unknown>, isJson: boolean): void {
	const fields = [...new Set([...Object.keys(previous), ...Object.keys(current)])];
	for (const field of fields.filter(name => !isDeepStrictEqual(previous[name], current[name]))) {
		const change = {
			time: new Date().toISOString(), event: 'status_changed', field, from: getText(previous[field]), to: getText(current[field]),
		};
		process.stdout.write(`${isJson ? JSON.stringify(change) : formatLogLine(change)}\n`);
	}
}

/** Flattens nested data to one level of dotted paths. An object with an id or a name goes by that, a list item without one by its index. */
function flatten(value: unknown, path: string): Record<string, unknown> {
	if (typeof value !== 'object' || value === null) {
		return {[path]: value};
	}

	const items = Object.entries(value).map(([key, item]) => [getItemName(key, item), item] as const);
	const flattened = items.map(([key, item]) => flatten(item, path === '' ? key : `${path}.${key}`));
	return Object.assign({}, ...flattened) as Record<string, unknown>;
}

function getItemName(key: string, item: unknown): string {
	if (typeof item !== 'object' || item === null) {
		return key;
	}

	const {id, name} = item as {id?: unknown; name?: unknown};
	return getText(id) ?? getText(name) ?? key;
}

function getText(value: unknown): string | undefined {
	return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean' ? String(value) : undefined;
}
