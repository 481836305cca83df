/** A change is retried when one call to the table fails, and refused during an outage of the table. */
import {expect, test} from 'vitest';
import {type Result, succeed, systemClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import type {
	Row, RowWrite, TableOutcome, TableService,
} from '@catkindale/ports';
import {type Configuration, configurationSchema} from '@catkindale/policy';
import {commitConfiguration, editConfiguration, emptyConfigurationRecord} from '../src/configuration-change.js';
import type {NodeContext} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';

type Case = {readonly name: string; readonly failedReads: number; readonly failedWrites: number; readonly expected: object; readonly writes: number};

const committed = {kind: 'committed', version: 1};
const refused = {kind: 'not-done', reason: 'timeout'};
const failure = {kind: 'not-done', reason: 'timeout'} as const;

test.each<Case>([
	{
		name: 'no call fails', failedReads: 0, failedWrites: 0, expected: committed, writes: 1,
	},
	{
		name: 'the first read fails', failedReads: 1, failedWrites: 0, expected: committed, writes: 1,
	},
	{
		name: 'the first write fails', failedReads: 0, failedWrites: 1, expected: committed, writes: 1,
	},
	{
		name: 'no read succeeds', failedReads: 1000, failedWrites: 0, expected: refused, writes: 0,
	},
	{
		name: 'no write succeeds', failedReads: 0, failedWrites: 1000, expected: refused, writes: 0,
	},
])('$name', async ({failedReads, failedWrites, expected, writes}) => {
	for (const change of [
		async (context: NodeContext) => commitConfiguration(context, 0, emptyConfigurationRecord.configuration),
		async (context: NodeContext) => editConfiguration(context, succeed),
	]) {
		const table = createTable(failedReads, failedWrites);
		expect(await change(createContext(table.service))).toMatchObject(expected);
		expect(table.written()).toBe(writes);
	}
});

test('a restriction that is already recorded in the row isn\'t recorded again', async () => {
	const table = createTable(0, 0);
	const context = createContext(table.service);
	const configuration = configurationSchema.parse({regions: [{name: 'oslo', zones: ['oslo-a']}]});
	const keep = (): Result<Configuration, string> => succeed(configuration);
	await editConfiguration(context, keep, {restriction: 'withdrawal'});
	await editConfiguration(context, keep);
	expect(await editConfiguration(context, keep, {restriction: 'withdrawal'})).toMatchObject({kind: 'committed'});
	expect(table.written()).toBe(2);
});

function createContext(table: TableService): NodeContext {
	// A change uses only these fields of the context.
	return {platform: {table}, clock: systemClock, bus: createMessageBus<NodeMessage>()} as unknown as NodeContext;
}

function createTable(failedReads: number, failedWrites: number): {readonly service: TableService; readonly written: () => number} {
	let reads = 0;
	let writes = 0;
	let row: Row | undefined;
	const service: TableService = {
		async get(): Promise<TableOutcome<Row | undefined>> {
			reads += 1;
			return reads <= failedReads ? failure : {kind: 'done', value: row};
		},
		list: async () => failure,
		async transact(changeId: string, [write]: readonly RowWrite[]) {
			writes += 1;
			if (writes <= failedWrites || !write) {
				return failure;
			}

			row = {
				key: write.key, version: write.expectedVersion + 1, changeId, value: write.value,
			};
			return {kind: 'done', value: [row]};
		},
		close: async () => undefined,
	};
	return {service, written: () => row?.version ?? 0};
}
