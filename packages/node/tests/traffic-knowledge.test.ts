/** When a gateway asks its peers for what its own source doesn't deliver, and to which it sends a change. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {Registry} from 'prom-client';
import {type Clock, createSilentLogger} from '@catkindale/common';
import {type MessageBus, createMessageBus} from '@catkindale/kernel';
import type {Member} from '@catkindale/policy';
import type {KnowledgeRevisions, PeerMessage} from '@catkindale/protocol';
import '../src/traffic-knowledge-plugin.js';
import {type NodeContext, nodePlugins} from '../src/node-context.js';
import type {NodeMessage} from '../src/node-messages.js';

const clock: Clock = {monotonic: () => Date.now(), wall: () => Date.now()};
const limits = {
	headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
};

function createConfiguration(version: number) {
	return {
		version, routes: [], services: [], customers: [], limits,
	};
}

function createMember(id: string): Member {
	return {
		id, incarnation: '1', region: 'east', zone: 'east-a', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:1', state: 'live', isEntry: false,
	};
}

type Sent = {readonly to: string | readonly string[]; readonly message: PeerMessage};

async function startKnowledge(bus: MessageBus<NodeMessage>): Promise<() => Promise<void>> {
	const plugin = nodePlugins.getPlugins(['gateway']).find(({name}) => name === 'traffic-knowledge')!;
	const task = await plugin.start({
		bus, clock, logger: createSilentLogger(), metrics: new Registry(), settings: {node: {name: 'own', region: 'east'}, peers: []},
	} as unknown as NodeContext);
	return task.stop;
}

describe('a gateway that follows the store', () => {
	let bus: MessageBus<NodeMessage>;
	let sent: Sent[];
	let stop: () => Promise<void>;

	const report = (from: string, configuration: number): void => {
		bus.publish({
			type: 'peer-received', from, message: {
				type: 'gateway-report', isServing: true, use: 0, revisions: {configuration, orders: 0, targets: 0}, demands: {},
			},
		});
	};

	beforeEach(async () => {
		vi.useFakeTimers();
		bus = createMessageBus<NodeMessage>();
		sent = [];
		bus.subscribe('peer-send', ({to, message}) => {
			sent.push({to, message});
		});
		stop = await startKnowledge(bus);
		bus.publish({type: 'traffic-configuration-read', configuration: createConfiguration(4)});
	});

	afterEach(async () => {
		await stop();
		vi.useRealTimers();
	});

	const cases = [
		{name: 'with no other peer', others: []},
		{name: 'beside peers that are as late', others: ['late-1', 'late-2', 'late-3']},
		{name: 'beside peers that are later still', others: ['later-1', 'later-2', 'later-3']},
	];
	// Guards against a change that is late as long as the store can't be reached, because other late gateways report in between.
	it.each(cases)('asks a peer that is ahead within a second, $name', async ({others}) => {
		for (let milliseconds = 0; milliseconds < 1000; milliseconds += 100) {
			report('ahead', 6);
			for (const peer of others) {
				await vi.advanceTimersByTimeAsync(30);
				report(peer, peer.startsWith('later') ? 3 : 4);
			}

			await vi.advanceTimersByTimeAsync(100 - (30 * others.length));
		}

		expect(sent[0]).toMatchObject({to: 'ahead', message: {type: 'knowledge-wish', parts: ['configuration']}});
	});

	it('leaves its own source the time to deliver a change', async () => {
		report('ahead', 6);
		await vi.advanceTimersByTimeAsync(200);
		report('ahead', 6);
		expect(sent).toEqual([]);
		bus.publish({type: 'traffic-configuration-read', configuration: createConfiguration(5)});
		await vi.advanceTimersByTimeAsync(200);
		report('ahead', 6);
		expect(sent).toEqual([]);
	});
});

describe('a change in a fleet with relays', () => {
	const changes: ReadonlyArray<{readonly part: string; readonly read: NodeMessage; readonly message: object}> = [
		{
			part: 'configuration', read: {type: 'traffic-configuration-read', configuration: createConfiguration(5)}, message: {configuration: {version: 5}},
		},
		{
			part: 'orders', read: {
				type: 'traffic-orders-read', orders: {
					era: 1, revision: 5, versions: [], evacuatedZones: [],
				},
			}, message: {orders: {revision: 5}},
		},
		{
			part: 'targets', read: {type: 'traffic-targets-read', targets: {era: 1, revision: 5, targets: []}}, message: {targetChanges: {after: 4, revision: 5}},
		},
	];
	let bus: MessageBus<NodeMessage>;
	/** Messages to peers and the revisions that the next report has, in their order. */
	let published: Array<Sent | 'revised'>;
	let stop: () => Promise<void>;

	beforeEach(async () => {
		vi.useFakeTimers();
		bus = createMessageBus<NodeMessage>();
		stop = await startKnowledge(bus);
		bus.publish({type: 'traffic-configuration-read', configuration: createConfiguration(4)});
		bus.publish({
			type: 'traffic-orders-read', orders: {
				era: 1, revision: 4, versions: [], evacuatedZones: [],
			},
		});
		bus.publish({type: 'traffic-targets-read', targets: {era: 1, revision: 4, targets: []}});
		bus.publish({type: 'serving-gateways-changed', members: ['own', 'relay', 'other-relay', 'first', 'second'].map(id => createMember(id))});
		published = [];
		bus.subscribe('peer-send', ({to, message}) => {
			published.push({to, message});
		});
		bus.subscribe('peer-broadcast', ({to = [], message}) => {
			published.push({to, message});
		});
		bus.subscribe('knowledge-revised', () => {
			published.push('revised');
		});
	});

	afterEach(async () => {
		await stop();
		vi.useRealTimers();
	});

	// Guards against several copies of each change, which fill the links of relays, and so delay their other messages.
	it.each(changes)('of the $part goes from a relay that reads the store to the other relays and to those that prefer it, before it reports the revision', ({read, message}) => {
		bus.publish({
			type: 'fleet-links-changed', links: {
				kind: 'relay', relayIds: ['own', 'relay', 'far-relay'], attachedIds: ['first', 'second'], preferringIds: ['first'],
			},
		});
		bus.publish(read);
		expect(published).toMatchObject([{to: ['relay', 'first'], message: {type: 'knowledge', ...message}}, 'revised']);
	});

	const senders = [undefined, {orders: 1, targets: 1}].flatMap(eras => [
		{
			name: 'the relay that sends changes', from: 'relay', isAsked: true, eras,
		},
		{
			name: 'the other relay', from: 'other-relay', isAsked: false, eras,
		},
	]);
	it.each(senders)('that $name reports first is asked for: $isAsked, and in any case if it doesn\'t come, era $eras', async ({from, isAsked, eras}) => {
		bus.publish({type: 'source-readers-changed', readerIds: ['relay', 'other-relay'], isReader: false});
		bus.publish({type: 'fleet-links-changed', links: {kind: 'attached', relayIds: ['relay', 'other-relay'], ownRelayIds: ['relay', 'other-relay']}});
		const report = (): void => {
			bus.publish({
				type: 'peer-received', from, message: {
					type: 'gateway-report', isServing: true, use: 0, revisions: {
						configuration: 4, orders: 4, targets: 5, eras,
					}, demands: {},
				},
			});
		};

		report();
		expect(published.length > 0).toBe(isAsked);
		await vi.advanceTimersByTimeAsync(500);
		report();
		expect(published[0]).toMatchObject({to: from, message: {type: 'knowledge-wish', parts: ['targets'], targetsRevision: 4}});
	});

	const states = [
		{
			name: 'of a later era', era: 3, revision: 1, inForce: {era: 3, revision: 1},
		},
		{
			name: 'of an earlier era', era: 1, revision: 9, inForce: {era: 2, revision: 2},
		},
		{
			name: 'of an older build, which names no era', era: 0, revision: 9, inForce: {era: 2, revision: 9},
		},
		{
			name: 'of an older build that is behind', era: 0, revision: 1, inForce: {era: 2, revision: 2},
		},
	];
	// Guards against peers that hand the state of an old era on.
	it.each(states)('from a peer, $name, leaves $inForce in force', ({era, revision, inForce}) => {
		bus.publish({
			type: 'traffic-orders-read', orders: {
				era: 2, revision: 2, versions: [], evacuatedZones: [],
			},
		});
		let revisions: KnowledgeRevisions | undefined;
		bus.subscribe('knowledge-revised', message => {
			({revisions} = message);
		});
		bus.publish({
			type: 'peer-received', from: 'relay', message: {
				type: 'knowledge', orders: {
					era, revision, versions: [], evacuatedZones: [],
				},
			},
		});
		bus.publish({type: 'traffic-configuration-read', configuration: createConfiguration(9)});
		expect({era: revisions?.eras?.orders, revision: revisions?.orders}).toEqual(inForce);
	});
});
