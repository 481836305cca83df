/** Client blocks of the directory, from the configuration and from a snapshot in the object store. */
import {setTimeout as delay} from 'node:timers/promises';
import {encode} from 'cbor-x';
import {expect, test} from 'vitest';
import {createMessageBus} from '@catkindale/kernel';
import type {ObjectOutcome} from '@catkindale/ports';
import {
	type ClientBlockTable, changeClientBlocks, configurationSchema, createClientBlockSnapshot, createClientBlockTable, findSites, runToCompletion, parseSiteChange,
} from '@catkindale/policy';
import {type NodeContext, nodePlugins} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';
import '../src/client-blocks-plugin.js';

const settleMilliseconds = 200;
const retryMilliseconds = 2100;

function createSnapshotObject(): Uint8Array {
	const change = parseSiteChange('10.0.0.0/8', [{site: 'oslo', weight: 1}]);
	const changes = change.ok ? [change.value] : [];
	return encode(createClientBlockSnapshot(runToCompletion(changeClientBlocks(createClientBlockTable(), changes)), 1));
}

const plugin = nodePlugins.getPlugins(['directory']).find(({name}) => name === 'client-blocks')!;
const base = {
	regions: [{name: 'bergen', zones: ['bergen-a']}], clientBlocks: [{prefix: '10.1.0.0/16', region: 'bergen'}], clientBlockSnapshot: 'blocks-1',
};

type Case = {readonly name: string; readonly objects: ReadonlyArray<ObjectOutcome<Uint8Array | undefined>>; readonly isRead: boolean};

const validObject: ObjectOutcome<Uint8Array> = {kind: 'done', value: createSnapshotObject()};

test.each<Case>([
	{name: 'is read', objects: [validObject], isRead: true},
	{name: 'that is missing leaves the previous blocks', objects: [{kind: 'done', value: undefined}], isRead: false},
	{name: 'that can\'t be read leaves the previous blocks', objects: [{kind: 'not-done', reason: 'outage'}], isRead: false},
	{name: 'that is invalid leaves the previous blocks', objects: [{kind: 'done', value: Uint8Array.of(1, 2, 3)}], isRead: false},
	{name: 'is read once the object store is available again', objects: [{kind: 'not-done', reason: 'outage'}, validObject], isRead: true},
])('a snapshot $name', async ({objects, isRead}) => {
	const bus = createMessageBus<NodeMessage>();
	const tables: ClientBlockTable[] = [];
	const errors: string[] = [];
	let reads = 0;
	bus.subscribe('client-blocks-changed', ({table}) => {
		tables.push(table);
	});
	const get = async () => objects[reads++];
	const context = {
		bus, logger: {error: (event: string) => errors.push(event)}, platform: {objects: {get}},
	} as unknown as NodeContext;
	const task = await plugin.start(context);
	bus.publish({type: 'configuration-changed', version: 1, configuration: configurationSchema.parse(base)});
	await delay(settleMilliseconds + ((objects.length - 1) * retryMilliseconds));
	await task.stop();
	const sites = ['10.0.0.1', '10.1.0.1'].map(address => tables[0] && findSites(tables[0], address)[0]?.site);
	expect(sites).toEqual(isRead ? ['oslo', 'bergen'] : [undefined, undefined]);
	expect(errors).toHaveLength(objects.length - (isRead ? 1 : 0));
});

test.each([
	{
		name: 'of neither the blocks nor the snapshot leaves the table unchanged', next: {customers: [{name: 'wideroe', rate: 5, burst: 5}]}, reads: ['blocks-1'], tables: 1,
	},
	{
		name: 'of the blocks reuses the loaded snapshot', next: {clientBlocks: []}, reads: ['blocks-1'], tables: 2,
	},
	{
		name: 'of the snapshot reads the new one', next: {clientBlockSnapshot: 'blocks-2'}, reads: ['blocks-1', 'blocks-2'], tables: 2,
	},
])('a change $name', async ({next, reads, tables}) => {
	const bus = createMessageBus<NodeMessage>();
	const read: string[] = [];
	let published = 0;
	bus.subscribe('client-blocks-changed', () => {
		published += 1;
	});
	const get = async (name: string) => {
		read.push(name);
		return validObject;
	};

	const task = await plugin.start({bus, platform: {objects: {get}}} as unknown as NodeContext);
	for (const [index, configuration] of [base, {...base, ...next}].entries()) {
		bus.publish({type: 'configuration-changed', version: index + 1, configuration: configurationSchema.parse(configuration)});
		await delay(settleMilliseconds);
	}

	await task.stop();
	expect(read).toEqual(reads);
	expect(published).toBe(tables);
});
