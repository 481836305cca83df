/**
 * Paths of routes that the router rejects. Such a path once ended every entry
 * that received it, as the error was caught nowhere.
 */
import {describe, expect, it} from 'vitest';
import {createManualClock, createSilentLogger} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {
	type Configuration, type Route, type VersionedConfigurationRecord, configurationSchema,
} from '@catkindale/policy';
import {nodePlugins, type NodeContext} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';
import {createRoutingTable, findRouteIssues} from '../src/routing-table.js';
import '../src/configuration-plugin.js';
import {parseManifest} from '@catkindale/node';

const longIntervalMilliseconds = 3_600_000;

function createConfiguration(paths: readonly string[]): Configuration {
	return configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: paths.map(path => ({
			service: 'pricing', method: 'GET', path, idempotent: true,
		})),
	});
}

function createManifest(paths: readonly string[]): string {
	const routes = paths.map(path => `[[routes]]\nservice = "pricing"\nmethod = "GET"\npath = ${JSON.stringify(path)}\nidempotent = true\n`);
	return `[[regions]]\nname = "oslo"\nzones = ["oslo-a"]\n[[services]]\nname = "pricing"\nversion = "1"\n${routes.join('')}`;
}

const refused = [
	{name: 'a star that isn\'t at the end', paths: ['/a/*/b']},
	{name: 'an open bracket', paths: ['/:a(']},
	{name: 'a pattern that is no regular expression', paths: ['/:a([)']},
	{name: 'a parameter that differs from another only in its name', paths: ['/:a', '/:b']},
	{name: 'an optional parameter within the path', paths: ['/:a?/b']},
];

describe('a route with', () => {
	it.each(refused)('$name is an issue of the manifest', ({paths}) => {
		const parsed = parseManifest(createManifest(['/prices', ...paths]));
		expect(parsed).toMatchObject({ok: false, error: [{field: `routes.${paths.length}.path`}]});
	});

	it.each(refused)('$name leaves the configuration in force, whoever sends it', async ({paths}) => {
		const bus = createMessageBus<NodeMessage>();
		const timing = {tablePollMilliseconds: longIntervalMilliseconds, heartbeatMilliseconds: longIntervalMilliseconds};
		const reasons: unknown[] = [];
		const logger = {
			...createSilentLogger(), error(event: string) {
				reasons.push(event);
			},
		};
		const context = {
			bus, clock: createManualClock(), logger, settings: {timing},
		} as unknown as NodeContext;
		const known: number[] = [];
		bus.subscribe('configuration-known', ({record}) => {
			known.push(record.version);
		});
		const task = await nodePlugins.getPlugins(['entry']).find(({name}) => name === 'configuration')!.start(context);
		const send = (version: number, routePaths: readonly string[], source: string): void => {
			const record: VersionedConfigurationRecord = {version, history: [], configuration: createConfiguration(routePaths)};
			bus.publish({type: 'configuration-received', record, source});
		};

		send(1, ['/prices'], 'table');
		send(2, ['/prices', ...paths], 'oslo-2');
		send(2, ['/prices', ...paths], 'table');
		send(3, ['/prices'], 'oslo-2');
		expect(known).toEqual([1, 3]);
		expect(reasons).toEqual(['configuration_unreadable']);
		await task.stop();
	});

	// Restrictions of a version that isn't in force, such as a withdrawn key, don't bind the node.
	it.each([
		{name: 'that can be used', paths: [], reads: 1},
		...refused.map(({name, paths}) => ({name: `with ${name}`, paths, reads: 0})),
	])('a row $name makes the node current $reads times', async ({paths, reads}) => {
		const bus = createMessageBus<NodeMessage>();
		const value = {history: [], configuration: createConfiguration(['/prices', ...paths])};
		const table = {
			get: async () => ({
				kind: 'done', value: {
					key: 'configuration', version: 1, changeId: 'first', value,
				},
			}),
		};
		const context = {
			bus, clock: createManualClock(), logger: createSilentLogger(), platform: {table}, settings: {timing: {tablePollMilliseconds: longIntervalMilliseconds, heartbeatMilliseconds: longIntervalMilliseconds}},
		} as unknown as NodeContext;
		let readCount = 0;
		bus.subscribe('configuration-read', () => {
			readCount += 1;
		});
		const task = await nodePlugins.getPlugins(['entry']).find(({name}) => name === 'configuration')!.start(context);
		await task.onAllStarted?.();
		expect(readCount).toBe(reads);
		await task.stop();
	});

	it.each([
		{name: '40 parameters', path: `/${Array.from({length: 40}, (_, index) => `:p${index}`).join('/')}`, url: `/${'a/'.repeat(39)}a`},
		{name: 'an encoded letter', path: '/kj%C3%B8p', url: '/kj%C3%B8p'},
		{name: 'a letter beyond ASCII', path: '/kjøp', url: '/kj%C3%B8p'},
		{name: 'an encoding that is no UTF-8', path: '/%F8x', url: undefined},
		{name: 'a star at the end', path: '/exports/*', url: '/exports/a/b'},
	])('$name is no issue', ({path, url}) => {
		const configuration = createConfiguration([path]);
		expect(findRouteIssues(configuration.routes)).toEqual([]);
		const table = createRoutingTable(configuration);
		const route: Route | undefined = url === undefined ? configuration.routes[0] : table.findRoute('GET', url);
		expect(route?.path).toBe(path);
	});
});
