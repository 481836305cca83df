/**
 * Randomised verification of configuration propagation: nodes in several
 * regions, a table with outages, links that are cut and lose messages, and
 * restarts that lose all state. A node that considers its configuration fresh
 * has every version that was accepted longer ago than the freshness limit.
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
const maximumMembersPerRegion = 3;
const maximumDelaySteps = 4;

type SimulatedNode = {
	freshness: FreshnessState;
	readonly attestations: Map<string, Attestation>;
	/** Send time of the last heartbeat received from each peer, by that peer's clock. */
	readonly heartbeatSentAt: Map<string, number>;
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
	readonly cutLinks: Set<string>;
	heartbeats: Heartbeat[];
	now: number;
	tableVersion: number;
	isTableDown: boolean;
	/** The change that isn't accepted yet, and the node that committed it and collects its confirmations. */
	pending: {readonly version: number; readonly author: string} | undefined;
	readonly accepted: Array<{readonly version: number; readonly at: number}>;
};

registerVerification({
	name: 'configuration',
	describe: 'propagation of accepted versions under cut links, table outages, lost messages and restarts',
	run(seed) {
		const fleet = createFleet(createRandom(seed));
		for (let step = 0; step < steps; step++) {
			fleet.now += stepMilliseconds;
			injectFaults(fleet);
			deliverHeartbeats(fleet);
			for (const [id, node] of fleet.nodes) {
				readTable(fleet, node);
				sendHeartbeats(fleet, id, node);
			}

			changeConfiguration(fleet);
			checkFreshness(fleet, seed);
		}
	},
});

function createFleet(random: Random): Fleet {
	const members = Array.from({length: regionCount}, (_, region) => `region-${region}`)
		.flatMap(region => Array.from({length: random.integer(1, maximumMembersPerRegion)}, (_, index) => ({id: `${region}-${index}`, region})));
	const nodes = new Map(members.map(({id, region}) => [id, createNode(id, region, members)]));
	return {
		random, nodes, members, cutLinks: new Set(), heartbeats: [], now: 0, tableVersion: 0, isTableDown: false, pending: undefined, accepted: [],
	};
}

function createNode(id: string, region: string, members: Fleet['members']): SimulatedNode {
	const attestations = new Map<string, Attestation>();
	return {
		freshness: {...createFreshnessState(id), members, attestations}, attestations, heartbeatSentAt: new Map(), region, isTableCut: false,
	};
}

/** Starts and ends table outages and link cuts, and restarts nodes. */
function injectFaults(fleet: Fleet): void {
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
					setLinkCut(fleet, id, other.id, isCut);
				}
			}
		}
	}

	if (random.integer(0, 9) === 0) {
		setLinkCut(fleet, pickMember(fleet).id, pickMember(fleet).id, random.integer(0, 1) === 0);
	}

	if (random.integer(0, 49) === 0) {
		const {id, region} = pickMember(fleet);
		fleet.nodes.set(id, createNode(id, region, fleet.members));
		fleet.heartbeats = fleet.heartbeats.filter(heartbeat => heartbeat.from !== id && heartbeat.to !== id);
		fleet.pending = fleet.pending?.author === id ? undefined : fleet.pending;
		for (const node of fleet.nodes.values()) {
			node.heartbeatSentAt.delete(id);
			node.attestations.delete(id);
		}
	}
}

function setLinkCut(fleet: Fleet, left: string, right: string, isCut: boolean): void {
	for (const link of [`${left} ${right}`, `${right} ${left}`]) {
		if (isCut) {
			fleet.cutLinks.add(link);
		} else {
			fleet.cutLinks.delete(link);
		}
	}
}

function pickMember(fleet: Fleet): {id: string; region: string} {
	return fleet.members[fleet.random.integer(0, fleet.members.length - 1)]!;
}

function readTable(fleet: Fleet, node: SimulatedNode): void {
	if (!fleet.isTableDown && !node.isTableCut && fleet.random.integer(0, 4) === 0) {
		node.freshness = {...node.freshness, tableReadAt: fleet.now, version: Math.max(node.freshness.version, fleet.tableVersion)};
	}
}

function sendHeartbeats(fleet: Fleet, id: string, node: SimulatedNode): void {
	for (const {id: to} of fleet.members) {
		if (to !== id && !fleet.cutLinks.has(`${id} ${to}`) && fleet.random.integer(0, 3) !== 0) {
			fleet.heartbeats.push({
				from: id,
				to,
				sentAt: fleet.now,
				arrivesAt: fleet.now + (fleet.random.integer(0, maximumDelaySteps) * stepMilliseconds),
				echo: node.heartbeatSentAt.get(to),
				version: node.freshness.version,
				isEstablished: node.freshness.isEstablished,
				tableAge: getTableAge(node.freshness, fleet.now),
			});
		}
	}
}

/** Delivers the heartbeats that have arrived. Two in three also carry the sender's configuration, which stands for its push. */
function deliverHeartbeats(fleet: Fleet): void {
	const arrived = fleet.heartbeats.filter(heartbeat => heartbeat.arrivesAt <= fleet.now);
	fleet.heartbeats = fleet.heartbeats.filter(heartbeat => heartbeat.arrivesAt > fleet.now);
	for (const heartbeat of arrived) {
		const node = fleet.nodes.get(heartbeat.to)!;
		node.heartbeatSentAt.set(heartbeat.from, heartbeat.sentAt);
		if (fleet.random.integer(0, 2) !== 0) {
			node.freshness = {...node.freshness, version: Math.max(node.freshness.version, heartbeat.version)};
		}

		if (heartbeat.echo !== undefined) {
			node.attestations.set(heartbeat.from, {
				sentAt: heartbeat.echo, version: heartbeat.version, isEstablished: heartbeat.isEstablished, tableAgeMilliseconds: heartbeat.tableAge,
			});
		}
	}
}

/** Accepts the pending change once its author has a quorum of confirmations, and commits a new change from time to time. */
function changeConfiguration(fleet: Fleet): void {
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

	const {id} = pickMember(fleet);
	const node = fleet.nodes.get(id)!;
	if (!fleet.isTableDown && !node.isTableCut && fleet.random.integer(0, 14) === 0) {
		fleet.tableVersion += 1;
		node.freshness = {
			...node.freshness, version: fleet.tableVersion, isEstablished: true, tableReadAt: fleet.now,
		};
		fleet.pending = {version: fleet.tableVersion, author: id};
	}
}

function checkFreshness(fleet: Fleet, seed: number): void {
	const {now} = fleet;
	const requiredVersion = Math.max(0, ...fleet.accepted.filter(({at}) => now - at > freshnessLimitMilliseconds).map(({version}) => version));
	for (const [id, node] of fleet.nodes) {
		if (getStateAge(node.freshness, now) > freshnessLimitMilliseconds) {
			continue;
		}

		node.freshness = {...node.freshness, isEstablished: true};
		assertInvariant(node.freshness.version >= requiredVersion, 'a fresh node has every version accepted longer ago than the freshness limit', {
			seed, id, now, version: node.freshness.version, requiredVersion,
		});
	}
}
