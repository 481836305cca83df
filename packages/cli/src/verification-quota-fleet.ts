/**
 * Simulated fleet for the verifications of quotas: nodes join, leave, crash,
 * restart, pause and are cut off, messages between nodes are lost, delayed or
 * repeated, the list of VMs lags, the table fails, limits change, and callers
 * send more load to every node than the limits admit.
 */
import {createRandom} from '@catkindale/common';
import {type Configuration, configurationSchema} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import {type LinkLoad, createLinks, startTransfers} from './verification-link-load.js';
import {
	customers, maximumBulkMilliseconds, sendOnePerCustomerAndTarget, sendRequests, targets,
} from './verification-request-load.js';
import {type QuotaAuditor, createQuotaAuditor} from './verification-quota-auditor.js';
import {type QuotaTiming, type SimulatedNode, createSimulatedNode} from './verification-quota-node.js';
import {
	type FakeTable, type World, createFakeTable, createWorld,
} from './verification-quota-world.js';

export const defaultTiming: QuotaTiming = {
	leaseMilliseconds: 2000,
	pauseLimitMilliseconds: 800,
	unresponsiveMilliseconds: 2500,
	leaseExpiryMilliseconds: 2500,
	maximumRequestMilliseconds: 21_000,
	isIncreasingWithoutAgreement: false,
};

/** The load that callers send: requests for targets, or bodies that cross between regions. */
export type FleetLoad = 'requests' | LinkLoad;

const regions = ['ost', 'sued', 'west'];
const runMilliseconds = {requests: 60_000, links: 120_000, 'silent-links': 120_000} as const;
const warmUpMilliseconds = 4000;
const requestIntervalMilliseconds = 25;
const checkIntervalMilliseconds = 100;
const minimumFaultIntervalMilliseconds = 1000;
const maximumFaultIntervalMilliseconds = 12_000;
const maximumPropagationMilliseconds = 2000;
const maximumPauseMilliseconds = 25_000;
/** Longer than the wait before the allocation of a lost VM is reused: a node can exceed a link's limit only if its pause outlasts that wait. */
const maximumLinkPauseMilliseconds = 60_000;
const maximumShortPauseMilliseconds = 2000;
const maximumQuickReplacementMilliseconds = 300;
const listLagMilliseconds = 1500;
const lossFraction = 0.1;
const repeatFraction = 0.05;
const slowFraction = 0.02;
const normalMaximumDelayMilliseconds = 60;
const maximumDelayMilliseconds = 4000;

const faultKinds = ['crash', 'pause', 'cut', 'table-outage', 'lost-table-responses', 'leave', 'change'] as const;
type FaultKind = typeof faultKinds[number];

type Fleet = {
	readonly world: World;
	readonly table: FakeTable;
	readonly auditor: QuotaAuditor;
	readonly timing: QuotaTiming;
	readonly load: FleetLoad;
	readonly nodes: Map<string, SimulatedNode>;
	/** All nodes that may still act, including those replaced while paused or cut off. */
	readonly processes: Set<SimulatedNode>;
	/** Incarnations that reach neither other nodes nor the table. */
	readonly cutIncarnations: Set<string>;
	/** The kinds of faults that this run injects. */
	readonly faultKinds: readonly FaultKind[];
	configuration: {version: number; configuration: Configuration};
	incarnations: number;
};

/** Runs one fleet and returns its totals of admitted requests, started requests and crossed bytes; throws an InvariantError when a limit is exceeded. */
export async function runQuotaFleet(seed: number, timing: QuotaTiming = defaultTiming, load: FleetLoad = 'requests'): Promise<QuotaAuditor['totals']> {
	const world = createWorld(createRandom(seed));
	const fleet: Fleet = {
		world,
		timing,
		load,
		table: createFakeTable(world),
		auditor: createQuotaAuditor(seed, world.now),
		nodes: new Map(),
		processes: new Set(),
		cutIncarnations: new Set(),
		faultKinds: pickFaultKinds(world),
		configuration: {version: 0, configuration: createConfiguration(world, load)},
		incarnations: 0,
	};
	const nodeCount = world.random.integer(2, 5);
	for (let index = 0; index < nodeCount; index++) {
		startNode(fleet, `node-${index}`);
	}

	changeConfiguration(fleet);
	scheduleRepeatedly(world, listLagMilliseconds / 2, () => {
		scheduleMachineList(fleet);
	});
	scheduleRepeatedly(world, checkIntervalMilliseconds, () => {
		fleet.auditor.checkQuotas([...fleet.processes].map(node => node.quotas));
	});
	scheduleRepeatedly(world, requestIntervalMilliseconds, () => {
		sendLoad(fleet);
	});
	await world.runUntil(warmUpMilliseconds);
	scheduleRepeatedly(world, world.random.integer(minimumFaultIntervalMilliseconds, maximumFaultIntervalMilliseconds), () => {
		injectFault(fleet);
	});
	await world.runUntil(runMilliseconds[load]);
	return fleet.auditor.totals;
}

function scheduleRepeatedly(world: World, milliseconds: number, run: () => void): void {
	world.after(world.random.integer(0, milliseconds * 2), () => {
		run();
		scheduleRepeatedly(world, milliseconds, run);
	});
}

function startNode(fleet: Fleet, id: string): void {
	const {world, nodes} = fleet;
	fleet.incarnations += 1;
	const incarnation = `${id}/${fleet.incarnations}`;
	const node = createSimulatedNode({
		world,
		table: fleet.table,
		id,
		region: regions[Number(id.split('-', 2)[1]) % regions.length] ?? '',
		incarnation,
		timing: fleet.timing,
		isTableReachable: () => !fleet.cutIncarnations.has(incarnation),
		send(to, message) {
			sendMessage(fleet, node, {to, message});
		},
	});
	nodes.set(id, node);
	fleet.processes.add(node);
	scheduleConfiguration(fleet, node);
}

type Envelope = {readonly to: string; readonly message: PeerMessage};

function sendMessage(fleet: Fleet, from: SimulatedNode, {to, message}: Envelope): void {
	const {random, after} = fleet.world;
	const copies = random.fraction() < repeatFraction ? 2 : 1;
	for (let copy = 0; copy < copies; copy++) {
		const isSlow = random.fraction() < slowFraction;
		const delay = random.integer(0, isSlow ? maximumDelayMilliseconds : normalMaximumDelayMilliseconds);
		if (random.fraction() < lossFraction || fleet.cutIncarnations.has(from.incarnation)) {
			continue;
		}

		after(delay, () => {
			const node = fleet.nodes.get(to);
			if (node && !fleet.cutIncarnations.has(node.incarnation)) {
				node.run(() => {
					node.receive(from.id, message);
				});
			}
		});
	}
}

function createConfiguration(world: World, load: FleetLoad): Configuration {
	const {random} = world;
	return configurationSchema.parse({
		links: load === 'requests' ? [] : createLinks(world, regions),
		regions: regions.map(name => ({name, zones: [`${name}-a`]})),
		customers: (load === 'requests' ? customers : []).map(name => name === 'large'
			? {name, rate: random.integer(10, 60), burst: random.integer(8, 60)}
			: {name, rate: random.integer(1, 5), burst: random.integer(1, 6)}),
		routes: [{
			service: 'pricing', method: 'PUT', path: '/receipts', idempotent: true, deadlineMilliseconds: maximumBulkMilliseconds,
		}],
		targets: targets.map((name, index) => ({
			name, service: 'pricing', version: '1', region: regions[index], zone: `${regions[index]}-a`, address: '127.0.0.1:1', slots: random.integer(1, 8),
		})),
	});
}

function changeConfiguration(fleet: Fleet): void {
	const version = fleet.configuration.version + 1;
	fleet.configuration = {version, configuration: createConfiguration(fleet.world, fleet.load)};
	fleet.auditor.addVersion(version, fleet.configuration.configuration);
	updateActiveVersions(fleet);
	for (const node of fleet.nodes.values()) {
		scheduleConfiguration(fleet, node);
	}
}

function scheduleConfiguration(fleet: Fleet, node: SimulatedNode): void {
	const {world, configuration} = fleet;
	world.after(world.random.integer(0, maximumPropagationMilliseconds), () => {
		if (fleet.cutIncarnations.has(node.incarnation)) {
			scheduleConfiguration(fleet, node);
			return;
		}

		node.run(() => {
			node.configure(fleet.configuration.version === configuration.version ? configuration : fleet.configuration);
			updateActiveVersions(fleet);
		});
	});
}

function updateActiveVersions(fleet: Fleet): void {
	fleet.auditor.setActiveVersions(new Set([...fleet.processes].map(node => node.version)));
}

function scheduleMachineList(fleet: Fleet): void {
	// The platform's list may omit a paused VM like a dead one.
	const omitsPaused = fleet.world.random.fraction() < 0.7;
	const listed = new Set([...fleet.nodes.values()].filter(node => node.isAlive && !(node.isPaused && omitsPaused)).map(node => node.id));
	fleet.world.after(listLagMilliseconds, () => {
		for (const node of fleet.nodes.values()) {
			node.run(() => {
				node.setListed(listed);
			});
		}
	});
}

function pickNode(fleet: Fleet): SimulatedNode | undefined {
	const nodes = [...fleet.processes];
	return nodes[fleet.world.random.integer(0, nodes.length - 1)];
}

function sendLoad(fleet: Fleet): void {
	const node = pickNode(fleet);
	switch (fleet.load) {
		case 'requests': {
			sendRequests(fleet, node);
			break;
		}

		case 'links':
		case 'silent-links': {
			if (node?.isAlive && !node.isPaused) {
				startTransfers(fleet, node);
			}

			break;
		}
	}
}

function injectFault(fleet: Fleet): void {
	const {random, after} = fleet.world;
	const node = pickNode(fleet);
	if (!node) {
		return;
	}

	switch (fleet.faultKinds[random.integer(0, fleet.faultKinds.length - 1)]!) {
		case 'crash': {
			crash(fleet, node);
			break;
		}

		case 'pause': {
			pause(fleet, node);
			break;
		}

		case 'cut': {
			cutNode(fleet, node);
			break;
		}

		case 'table-outage': {
			fleet.table.isDown = true;
			after(random.integer(0, maximumPauseMilliseconds / 2), () => {
				fleet.table.isDown = false;
			});
			break;
		}

		case 'lost-table-responses': {
			fleet.table.lostResponseFraction = random.fraction() < 0.5 ? 0 : 0.5;
			break;
		}

		case 'leave': {
			leave(fleet, node);
			break;
		}

		case 'change': {
			changeConfiguration(fleet);
		}
	}
}

/** Picks at most four kinds for one run, so that configuration changes also complete. */
function pickFaultKinds({random}: World): FaultKind[] {
	return Array.from({length: random.integer(1, 4)}, () => faultKinds[random.integer(0, faultKinds.length - 1)]!);
}

function crash(fleet: Fleet, node: SimulatedNode): void {
	node.isAlive = false;
	fleet.processes.delete(node);
	updateActiveVersions(fleet);
	scheduleReplacement(fleet, node);
}

function leave(fleet: Fleet, node: SimulatedNode): void {
	node.run(() => {
		node.leave();
		fleet.world.after(1000, () => {
			crash(fleet, node);
		});
	});
}

/** Cuts a node off from its peers and the table. It keeps running; the platform may replace its VM meanwhile. */
function cutNode(fleet: Fleet, node: SimulatedNode): void {
	const {random, after} = fleet.world;
	fleet.cutIncarnations.add(node.incarnation);
	if (random.fraction() < 0.3) {
		scheduleReplacement(fleet, node);
	}

	after(random.integer(0, maximumPauseMilliseconds), () => {
		fleet.cutIncarnations.delete(node.incarnation);
	});
}

function scheduleReplacement(fleet: Fleet, node: SimulatedNode): void {
	const {random, after} = fleet.world;
	const isQuick = random.fraction() < 0.5;
	after(random.integer(0, isQuick ? maximumQuickReplacementMilliseconds : maximumPauseMilliseconds), () => {
		if (fleet.nodes.get(node.id) === node) {
			startNode(fleet, node.id);
		}
	});
}

function pause(fleet: Fleet, node: SimulatedNode): void {
	const {random, after} = fleet.world;
	if (node.isPaused) {
		return;
	}

	node.isPaused = true;
	if (random.fraction() < 0.3) {
		// The platform replaces the VM although the paused one will resume.
		scheduleReplacement(fleet, node);
	}

	const isShort = random.fraction() < 0.4;
	const maximumMilliseconds = fleet.load === 'requests' ? maximumPauseMilliseconds : maximumLinkPauseMilliseconds;
	const milliseconds = random.integer(100, isShort ? maximumShortPauseMilliseconds : maximumMilliseconds);
	const isClockStopped = random.fraction() < 0.5;
	after(milliseconds, () => {
		// New load may reach the node before the events that were deferred during the pause.
		node.resume(isClockStopped ? milliseconds : 0, () => {
			for (let index = 0; index < 20; index++) {
				sendLoadAfterPause(fleet, node);
			}
		});
	});
}

function sendLoadAfterPause(fleet: Fleet, node: SimulatedNode): void {
	switch (fleet.load) {
		case 'requests': {
			sendOnePerCustomerAndTarget(fleet, node);
			break;
		}

		case 'links':
		case 'silent-links': {
			startTransfers(fleet, node);
		}
	}
}
