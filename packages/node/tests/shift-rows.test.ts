/** A node that is cut off from the table receives the rows of shifts from the peers that write them. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {Registry} from 'prom-client';
import {createManualClock, createSilentLogger} from '@catkindale/common';
import {type MessageBus, createMessageBus} from '@catkindale/kernel';
import {type ShiftRow, configurationSchema, startShift} from '@catkindale/policy';
import type {Row, TableService} from '@catkindale/ports';
import {type PeerMessage, encodeMessage, parsePeerMessage} from '@catkindale/protocol';
import type {NodeMessage} from '../src/node-messages.js';
import {startShifts} from '../src/shift-plugin.js';

const pollMilliseconds = 250;
const shift = {
	name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: 0.5, cap: 0.1, windowSeconds: 60,
};
const firstRow = startShift(shift, {configurationVersion: 1, timeToLiveMilliseconds: 30_000}, 0);

type FakeNode = {
	readonly bus: MessageBus<NodeMessage>;
	/** The shifts that were last published to the directory. */
	readonly getPublished: () => readonly ShiftRow[];
	readonly broadcasts: PeerMessage[];
	readonly stop: () => Promise<void>;
};

function createTable(isCut: () => boolean, rows: Map<string, Row>): TableService {
	return {
		get: async key => ({kind: 'done', value: rows.get(key)}),
		list: async () => isCut() ? {kind: 'not-done', reason: 'cut'} : {kind: 'done', value: [...rows.values()]},
		async transact(changeId, [write]) {
			if (isCut()) {
				return {kind: 'not-done', reason: 'cut'};
			}

			const row = {
				key: write!.key, version: write!.expectedVersion + 1, changeId, value: write!.value,
			};
			rows.set(row.key, row);
			return {kind: 'done', value: [row]};
		},
		async close() {
			// There is nothing to close.
		},
	};
}

describe('rows of shifts', () => {
	const clock = createManualClock();
	const rows = new Map<string, Row>();
	const nodes: FakeNode[] = [];

	const startNode = (isCut: boolean): FakeNode => {
		const bus = createMessageBus<NodeMessage>();
		const broadcasts: PeerMessage[] = [];
		let published: readonly ShiftRow[] = [];
		bus.subscribe('shifts-changed', ({shifts}) => {
			published = shifts;
		});
		bus.subscribe('peer-broadcast', ({message}) => {
			broadcasts.push(message);
		});
		const {stop} = startShifts({
			bus, clock, logger: createSilentLogger(), metrics: new Registry(), settings: {timing: {tablePollMilliseconds: pollMilliseconds}}, platform: {table: createTable(() => isCut, rows)},
		});
		const configuration = configurationSchema.parse({
			regions: [{name: 'oslo', zones: ['a']}, {name: 'bergen', zones: ['b']}], customers: [], routes: [], targets: [], links: [], shifts: [shift],
		});
		bus.publish({type: 'configuration-changed', configuration, version: 1});
		const node = {
			bus, getPublished: () => published, broadcasts, stop,
		};
		nodes.push(node);
		return node;
	};

	const deliver = (node: FakeNode, message: PeerMessage): void => {
		node.bus.publish({type: 'peer-received', from: 'peer', message});
	};

	beforeEach(() => {
		vi.useFakeTimers();
		rows.clear();
	});

	afterEach(async () => {
		await Promise.all(nodes.splice(0).map(async node => node.stop()));
		vi.useRealTimers();
	});

	it('are broadcast by the node that writes them, and reach a directory that is cut off from the table', async () => {
		const writer = startNode(false);
		const cut = startNode(true);
		await vi.advanceTimersByTimeAsync(2 * pollMilliseconds);
		expect(writer.broadcasts).toHaveLength(1);
		expect(cut.getPublished()).toEqual([]);
		const sent = writer.broadcasts[0]!;
		expect(encodeMessage(sent).length).toBeGreaterThan(0);
		expect(parsePeerMessage(sent)).toMatchObject({ok: true});
		deliver(cut, sent);
		expect(cut.getPublished()).toMatchObject([{name: 'west', wantedShare: 0.5}]);
	});

	const deliveries = [
		{name: 'a later one replaces an earlier one', versions: [1, 2], published: 2},
		{name: 'an earlier one that arrives late is ignored', versions: [2, 1], published: 2},
		{name: 'the same one changes nothing', versions: [2, 2], published: 2},
	];
	it.each(deliveries)('of one shift: $name', ({versions, published}) => {
		const cut = startNode(true);
		for (const rowVersion of versions) {
			deliver(cut, {type: 'shift-row', row: {...firstRow, baseShare: rowVersion / 100}, rowVersion});
		}

		expect(cut.getPublished()).toMatchObject([{baseShare: published / 100}]);
	});
});
