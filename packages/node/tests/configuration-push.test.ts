/** The node that commits a change pushes it to its peers at once, even if it receives the record by another way first. */
import {expect, test} from 'vitest';
import {createManualClock, createSilentLogger} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {type VersionedConfigurationRecord, configurationSchema} from '@catkindale/policy';
import {nodePlugins, type NodeContext} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';
import '../src/configuration-plugin.js';

const longIntervalMilliseconds = 3_600_000;

function createRecord(version: number): VersionedConfigurationRecord {
	return {version, history: [], configuration: configurationSchema.parse({regions: [{name: 'ost', zones: ['ost-a']}]})};
}

test.each<{name: string; receipts: ReadonlyArray<readonly [number, string]>; pushed: readonly number[]}>([
	{name: 'from its own change', receipts: [[1, 'change']], pushed: [1]},
	{name: 'from the table before the response to the change', receipts: [[1, 'table'], [1, 'change']], pushed: [1]},
	{name: 'from a peer before the response to the change', receipts: [[1, 'ost-2'], [1, 'change']], pushed: [1]},
	{name: 'only from a peer, which pushes the record itself', receipts: [[1, 'ost-2']], pushed: []},
	{name: 'after a later version', receipts: [[2, 'table'], [1, 'change']], pushed: []},
])('a record received $name', async ({receipts, pushed}) => {
	const bus = createMessageBus<NodeMessage>();
	const timing = {tablePollMilliseconds: longIntervalMilliseconds, heartbeatMilliseconds: longIntervalMilliseconds};
	const context = {
		bus, clock: createManualClock(), logger: createSilentLogger(), settings: {timing},
	} as unknown as NodeContext;
	const versions: number[] = [];
	bus.subscribe('peer-broadcast', ({message}) => {
		if (message.type === 'configuration') {
			versions.push(message.version);
		}
	});
	const plugin = nodePlugins.getPlugins(['control']).find(({name}) => name === 'configuration')!;
	const task = await plugin.start(context);
	for (const [version, source] of receipts) {
		bus.publish({type: 'configuration-received', record: createRecord(version), source});
	}

	expect(versions).toEqual(pushed);
	await task.stop?.();
});
