/** The node that made a change pushes it to its peers at once, however it first got to know of it. */
import {expect, test} from 'vitest';
import {createManualClock, createSilentLogger} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {type VersionedRecord, configurationSchema} from '@catkindale/policy';
import {nodePlugins, type NodeContext} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';
import '../src/configuration-plugin.js';

const farMilliseconds = 3_600_000;

function createRecord(version: number): VersionedRecord {
	return {version, history: [], configuration: configurationSchema.parse({regions: [{name: 'ost', zones: ['ost-a']}]})};
}

test.each<{name: string; learned: ReadonlyArray<readonly [number, string]>; pushed: readonly number[]}>([
	{name: 'by its change', learned: [[1, 'change']], pushed: [1]},
	{name: 'by reading the table before the change was answered', learned: [[1, 'table'], [1, 'change']], pushed: [1]},
	{name: 'by a peer before the change was answered', learned: [[1, 'ost-2'], [1, 'change']], pushed: [1]},
	{name: 'by a peer only, which pushes it itself', learned: [[1, 'ost-2']], pushed: []},
	{name: 'when a later version is known already', learned: [[2, 'table'], [1, 'change']], pushed: []},
])('known $name', async ({learned, pushed}) => {
	const bus = createMessageBus<NodeMessage>();
	const timing = {tablePollMilliseconds: farMilliseconds, heartbeatMilliseconds: farMilliseconds};
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
	for (const [version, source] of learned) {
		bus.publish({type: 'configuration-received', record: createRecord(version), source});
	}

	expect(versions).toEqual(pushed);
	await task.stop?.();
});
