/**
 * Randomised run of how knowledge spreads: nodes in regions, a table with
 * outages, links that are cut and lose messages, restarts without memory. No
 * node that takes its knowledge for current lacks a version that was accepted
 * longer ago than the freshness limit.
 */
import {type Random, assertInvariant, createRandom} from '@catkindale/common';
import {
	type Attestation, type FreshnessState, createFreshnessState, getRegionConfirmations, getStateAge, getTableAge, hasQuorum,
} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const steps = 300;
const stepMilliseconds = 100;
const freshnessLimitMilliseconds = 2500;
const regionCount = 3;
const mostMembersOfRegion = 3;
const longestDelaySteps = 4;

type SimulatedNode = {
	knowledge: FreshnessState;
	readonly attestations: Map<string, Attestation>;
	/** When the last heartbeat of each peer was sent, by that peer's clock. */
	readonly received: Map<string, number>;
	readonly region: string;
	isTableCut: boolean;
};

type Heartbeat = {
	readonly from: string;
	readonly to: string;
	readonly arrivesAt: number;
	readonly sentAt: number;
	readonly echo: number | undefined;
	readonly version: number;
	readonly isEstablished: boolean;
	readonly tableAge: number;
};

type Fleet = {
	readonly random: Random;
	readonly nodes: Map<string, SimulatedNode>;
	readonly members: ReadonlyArray<{id: string; region: string}>;
	readonly cuts: Set<string>;
	heartbeats: Heartbeat[];
	now: number;
	tableVersion: number;
	isTableDown: boolean;
	/** The version of the change under way, and its confirmations at the node that made it. */
	pending: {readonly version: number; readonly author: string} | undefined;
	readonly accepted: Array<{readonly version: number; readonly at: number}>;
};

registerVerification({
	name: 'configuration',
	describe: 'accepted versions under cuts, outages, losses and restarts',
	run(seed) {
		const fleet = createFleet(createRandom(seed));
		for (let step = 0; step < steps; step++) {
			fleet.now += stepMilliseconds;
			disturb(fleet);
			deliver(fleet);
			for (const [id, node] of fleet.nodes) {
				readTable(fleet, node);
				sendHeartbeats(fleet, id, node);
			}

			change(fleet);
			checkNodes(fleet, seed);
		}
	},
});

function createFleet(random: Random): Fleet {
	const members = Array.from({length: regionCount}, (_, region) => `region-${region}`)
		.flatMap(region => Array.from({length: random.integer(1, mostMembersOfRegion)}, (_, index) => ({id: `${region}-${index}`, region})));
	const nodes = new Map(members.map(({id, region}) => [id, createNode(id, region, members)]));
	return {
		random, nodes, members, cuts: new Set(), heartbeats: [], now: 0, tableVersion: 0, isTableDown: false, pending: undefined, accepted: [],
	};
}

function createNode(id: string, region: string, members: Fleet['members']): SimulatedNode {
	const attestations = new Map<string, Attestation>();
	return {
		knowledge: {...createFreshnessState(id), members, attestations}, attestations, received: new Map(), region, isTableCut: false,
	};
}

/** Starts and ends outages and cuts, and restarts nodes. */
function disturb(fleet: Fleet): void {
	const {random} = fleet;
	if (random.integer(0, 39) === 0) {
		fleet.isTableDown = !fleet.isTableDown;
	}

	if (random.integer(0, 19) === 0) {
		const region = `region-${random.integer(0, regionCount - 1)}`;
		const isCut = random.integer(0, 1) === 0;
		for (const [id, node] of fleet.nodes) {
			node.isTableCut = node.region === region ? isCut : node.isTableCut;
			for (const other of fleet.members) {
				if ((node.region === region) !== (other.region === region)) {
					setCut(fleet, id, other.id, isCut);
				}
			}
		}
	}

	if (random.integer(0, 9) === 0) {
		setCut(fleet, pick(fleet).id, pick(fleet).id, random.integer(0, 1) === 0);
	}

	if (random.integer(0, 49) === 0) {
		const {id, region} = pick(fleet);
		fleet.nodes.set(id, createNode(id, region, fleet.members));
		fleet.heartbeats = fleet.heartbeats.filter(heartbeat => heartbeat.from !== id && heartbeat.to !== id);
		fleet.pending = fleet.pending?.author === id ? undefined : fleet.pending;
		for (const node of fleet.nodes.values()) {
			node.received.delete(id);
			node.attestations.delete(id);
		}
	}
}

function setCut(fleet: Fleet, left: string, right: string, isCut: boolean): void {
	for (const link of [`${left} ${right}`, `${right} ${left}`]) {
		if (isCut) {
			fleet.cuts.add(link);
		} else {
			fleet.cuts.delete(link);
		}
	}
}

function pick(fleet: Fleet): {id: string; region: string} {
	return fleet.members[fleet.random.integer(0, fleet.members.length - 1)]!;
}

function readTable(fleet: Fleet, node: SimulatedNode): void {
	if (!fleet.isTableDown && !node.isTableCut && fleet.random.integer(0, 4) === 0) {
		node.knowledge = {...node.knowledge, tableReadAt: fleet.now, version: Math.max(node.knowledge.version, fleet.tableVersion)};
	}
}

function sendHeartbeats(fleet: Fleet, id: string, node: SimulatedNode): void {
	for (const {id: to} of fleet.members) {
		if (to !== id && !fleet.cuts.has(`${id} ${to}`) && fleet.random.integer(0, 3) !== 0) {
			fleet.heartbeats.push({
				from: id,
				to,
				sentAt: fleet.now,
				arrivesAt: fleet.now + (fleet.random.integer(0, longestDelaySteps) * stepMilliseconds),
				echo: node.received.get(to),
				version: node.knowledge.version,
				isEstablished: node.knowledge.isEstablished,
				tableAge: getTableAge(node.knowledge, fleet.now),
			});
		}
	}
}

/** Delivers what is due; a heartbeat brings the sender's configuration along, as the push does. */
function deliver(fleet: Fleet): void {
	const due = fleet.heartbeats.filter(heartbeat => heartbeat.arrivesAt <= fleet.now);
	fleet.heartbeats = fleet.heartbeats.filter(heartbeat => heartbeat.arrivesAt > fleet.now);
	for (const heartbeat of due) {
		const node = fleet.nodes.get(heartbeat.to)!;
		node.received.set(heartbeat.from, heartbeat.sentAt);
		if (fleet.random.integer(0, 2) !== 0) {
			node.knowledge = {...node.knowledge, version: Math.max(node.knowledge.version, heartbeat.version)};
		}

		if (heartbeat.echo !== undefined) {
			node.attestations.set(heartbeat.from, {
				sentAt: heartbeat.echo, version: heartbeat.version, isEstablished: heartbeat.isEstablished, tableAgeMilliseconds: heartbeat.tableAge,
			});
		}
	}
}

/** Commits a change now and then, and accepts it once its author has a quorum of confirmations. */
function change(fleet: Fleet): void {
	const {pending} = fleet;
	if (pending) {
		const author = fleet.nodes.get(pending.author)!;
		const getVersion = (id: string): number => {
			const attestation = author.attestations.get(id);
			return id === pending.author ? pending.version : (attestation?.isEstablished ? attestation.version : 0);
		};

		if (hasQuorum(getRegionConfirmations(fleet.members, getVersion, pending.version))) {
			fleet.accepted.push({version: pending.version, at: fleet.now});
			fleet.pending = undefined;
		}
	}

	const {id} = pick(fleet);
	const node = fleet.nodes.get(id)!;
	if (!fleet.isTableDown && !node.isTableCut && fleet.random.integer(0, 14) === 0) {
		fleet.tableVersion += 1;
		node.knowledge = {
			...node.knowledge, version: fleet.tableVersion, isEstablished: true, tableReadAt: fleet.now,
		};
		fleet.pending = {version: fleet.tableVersion, author: id};
	}
}

function checkNodes(fleet: Fleet, seed: number): void {
	const {now} = fleet;
	const required = Math.max(0, ...fleet.accepted.filter(({at}) => now - at > freshnessLimitMilliseconds).map(({version}) => version));
	for (const [id, node] of fleet.nodes) {
		if (getStateAge(node.knowledge, now) > freshnessLimitMilliseconds) {
			continue;
		}

		node.knowledge = {...node.knowledge, isEstablished: true};
		assertInvariant(node.knowledge.version >= required, 'current knowledge holds every version accepted before the freshness limit', {
			seed, id, now, version: node.knowledge.version, required,
		});
	}
}
