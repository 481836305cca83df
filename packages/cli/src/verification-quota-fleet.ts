/**
 * The quotas' randomised run: nodes join, leave, crash, restart, pause and are
 * cut off, the table fails, limits change, and callers ask everywhere for more
 * than they may have.
 */
import {createRandom} from '@catkindale/common';
import {type Configuration, configurationSchema} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import {type LinkLoad, createLinks, startTransfers} from './verification-link-load.js';
import {
	customers, longestBulkMilliseconds, sendEverywhere, sendRequests, targets,
} from './verification-request-load.js';
import {type QuotaCount, createQuotaCount} from './verification-quota-count.js';
import {type QuotaTiming, type SimulatedNode, createSimulatedNode} from './verification-quota-node.js';
import {
	type FakeTable, type World, createFakeTable, createWorld,
} from './verification-quota-world.js';

export const productTiming: QuotaTiming = {
	leaseMilliseconds: 2000,
	pauseLimitMilliseconds: 800,
	silenceMilliseconds: 2500,
	expiryMilliseconds: 2500,
	requestMilliseconds: 21_000,
	isRaisingAlone: false,
};

/** What callers ask of the nodes: requests at their targets, or bodies that cross between regions. */
export type FleetLoad = 'requests' | LinkLoad;

const regions = ['ost', 'sued', 'west'];
const runMilliseconds = {requests: 60_000, links: 120_000, 'silent-links': 120_000} as const;
const warmUpMilliseconds = 4000;
const requestMilliseconds = 25;
const checkMilliseconds = 100;
const shortestFaultMilliseconds = 1000;
const longestFaultMilliseconds = 12_000;
const longestSpreadMilliseconds = 2000;
const longestPauseMilliseconds = 25_000;
/** Longer than the wait before the part of a lost VM is used by others, by which only a paused one can break a limit. */
const longestLinkPauseMilliseconds = 60_000;
const shortPauseMilliseconds = 2000;
const shortReplacementMilliseconds = 300;
const listLagMilliseconds = 1500;
const lossShare = 0.1;
const repeatShare = 0.05;
const slowShare = 0.02;
const usualDelayMilliseconds = 60;
const longestDelayMilliseconds = 4000;

const faultKinds = ['crash', 'pause', 'cut', 'table-outage', 'lost-table-answers', 'leave', 'change'] as const;
type FaultKind = typeof faultKinds[number];

type Fleet = {
	readonly world: World;
	readonly table: FakeTable;
	readonly count: QuotaCount;
	readonly timing: QuotaTiming;
	readonly load: FleetLoad;
	readonly nodes: Map<string, SimulatedNode>;
	/** All nodes that may still act, also those that were replaced while paused or cut off. */
	readonly processes: Set<SimulatedNode>;
	/** Incarnations that reach neither the others nor the table. */
	readonly cut: Set<string>;
	/** The kinds of faults of this run. */
	readonly faults: readonly FaultKind[];
	configuration: {version: number; configuration: Configuration};
	incarnations: number;
};

/** Runs one fleet; throws an InvariantError when a limit is exceeded. Returns what was admitted and started. */
export async function runQuotaFleet(seed: number, timing: QuotaTiming = productTiming, load: FleetLoad = 'requests'): Promise<QuotaCount['totals']> {
	const world = createWorld(createRandom(seed));
	const fleet: Fleet = {
		world,
		timing,
		load,
		table: createFakeTable(world),
		count: createQuotaCount(seed, world.now),
		nodes: new Map(),
		processes: new Set(),
		cut: new Set(),
		faults: pickFaults(world),
		configuration: {version: 0, configuration: createConfiguration(world, load)},
		incarnations: 0,
	};
	const nodeCount = world.random.integer(2, 5);
	for (let index = 0; index < nodeCount; index++) {
		startNode(fleet, `node-${index}`);
	}

	changeConfiguration(fleet);
	repeat(world, listLagMilliseconds / 2, () => {
		listMachines(fleet);
	});
	repeat(world, checkMilliseconds, () => {
		fleet.count.checkHeld([...fleet.processes].map(node => node.quotas));
	});
	repeat(world, requestMilliseconds, () => {
		sendLoad(fleet);
	});
	await world.runUntil(warmUpMilliseconds);
	repeat(world, world.random.integer(shortestFaultMilliseconds, longestFaultMilliseconds), () => {
		injectFault(fleet);
	});
	await world.runUntil(runMilliseconds[load]);
	return fleet.count.totals;
}

function repeat(world: World, milliseconds: number, run: () => void): void {
	world.after(world.random.integer(0, milliseconds * 2), () => {
		run();
		repeat(world, milliseconds, run);
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
		isTableReachable: () => !fleet.cut.has(incarnation),
		send(to, message) {
			sendMessage(fleet, node, {to, message});
		},
	});
	nodes.set(id, node);
	fleet.processes.add(node);
	learnConfiguration(fleet, node);
}

type Envelope = {readonly to: string; readonly message: PeerMessage};

function sendMessage(fleet: Fleet, from: SimulatedNode, {to, message}: Envelope): void {
	const {random, after} = fleet.world;
	const copies = random.fraction() < repeatShare ? 2 : 1;
	for (let copy = 0; copy < copies; copy++) {
		const isSlow = random.fraction() < slowShare;
		const delay = random.integer(0, isSlow ? longestDelayMilliseconds : usualDelayMilliseconds);
		if (random.fraction() < lossShare || fleet.cut.has(from.incarnation)) {
			continue;
		}

		after(delay, () => {
			const node = fleet.nodes.get(to);
			if (node && !fleet.cut.has(node.incarnation)) {
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
			service: 'pricing', method: 'PUT', path: '/receipts', idempotent: true, deadlineMilliseconds: longestBulkMilliseconds,
		}],
		targets: targets.map((name, index) => ({
			name, service: 'pricing', version: '1', region: regions[index], zone: `${regions[index]}-a`, address: '127.0.0.1:1', slots: random.integer(1, 8),
		})),
	});
}

function changeConfiguration(fleet: Fleet): void {
	const version = fleet.configuration.version + 1;
	fleet.configuration = {version, configuration: createConfiguration(fleet.world, fleet.load)};
	fleet.count.addVersion(version, fleet.configuration.configuration);
	countVersions(fleet);
	for (const node of fleet.nodes.values()) {
		learnConfiguration(fleet, node);
	}
}

function learnConfiguration(fleet: Fleet, node: SimulatedNode): void {
	const {world, configuration} = fleet;
	world.after(world.random.integer(0, longestSpreadMilliseconds), () => {
		if (fleet.cut.has(node.incarnation)) {
			learnConfiguration(fleet, node);
			return;
		}

		node.run(() => {
			node.configure(fleet.configuration.version === configuration.version ? configuration : fleet.configuration);
			countVersions(fleet);
		});
	});
}

function countVersions(fleet: Fleet): void {
	fleet.count.setVersions(new Set([...fleet.processes].map(node => node.version)));
}

function listMachines(fleet: Fleet): void {
	// A paused VM may be left out by the platform's list, as a dead one is.
	const isLeftOut = fleet.world.random.fraction() < 0.7;
	const listed = new Set([...fleet.nodes.values()].filter(node => node.isAlive && !(node.isPaused && isLeftOut)).map(node => node.id));
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

	switch (fleet.faults[random.integer(0, fleet.faults.length - 1)]!) {
		case 'crash': {
			crash(fleet, node);
			break;
		}

		case 'pause': {
			pause(fleet, node);
			break;
		}

		case 'cut': {
			cutOff(fleet, node);
			break;
		}

		case 'table-outage': {
			fleet.table.isDown = true;
			after(random.integer(0, longestPauseMilliseconds / 2), () => {
				fleet.table.isDown = false;
			});
			break;
		}

		case 'lost-table-answers': {
			fleet.table.lostAnswerShare = random.fraction() < 0.5 ? 0 : 0.5;
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

/** Few kinds in one run, so that the fleet also gets through to the end of a change. */
function pickFaults({random}: World): FaultKind[] {
	return Array.from({length: random.integer(1, 4)}, () => faultKinds[random.integer(0, faultKinds.length - 1)]!);
}

function crash(fleet: Fleet, node: SimulatedNode): void {
	node.isAlive = false;
	fleet.processes.delete(node);
	countVersions(fleet);
	replaceLater(fleet, node);
}

function leave(fleet: Fleet, node: SimulatedNode): void {
	node.run(() => {
		node.leave();
		fleet.world.after(1000, () => {
			crash(fleet, node);
		});
	});
}

/** A cut-off node goes on; the platform may replace its VM meanwhile. */
function cutOff(fleet: Fleet, node: SimulatedNode): void {
	const {random, after} = fleet.world;
	fleet.cut.add(node.incarnation);
	if (random.fraction() < 0.3) {
		replaceLater(fleet, node);
	}

	after(random.integer(0, longestPauseMilliseconds), () => {
		fleet.cut.delete(node.incarnation);
	});
}

function replaceLater(fleet: Fleet, node: SimulatedNode): void {
	const {random, after} = fleet.world;
	const isSoon = random.fraction() < 0.5;
	after(random.integer(0, isSoon ? shortReplacementMilliseconds : longestPauseMilliseconds), () => {
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
		// The platform replaces the VM although the paused one will come back.
		replaceLater(fleet, node);
	}

	const isShort = random.fraction() < 0.4;
	const longest = fleet.load === 'requests' ? longestPauseMilliseconds : longestLinkPauseMilliseconds;
	const milliseconds = random.integer(100, isShort ? shortPauseMilliseconds : longest);
	const isFrozen = random.fraction() < 0.5;
	after(milliseconds, () => {
		// Requests may reach the node before anything that has waited for it.
		node.resume(isFrozen ? milliseconds : 0, () => {
			for (let index = 0; index < 20; index++) {
				resumeLoad(fleet, node);
			}
		});
	});
}

function resumeLoad(fleet: Fleet, node: SimulatedNode): void {
	switch (fleet.load) {
		case 'requests': {
			sendEverywhere(fleet, node);
			break;
		}

		case 'links':
		case 'silent-links': {
			startTransfers(fleet, node);
		}
	}
}
