/**
 * Seeded fault schedules for a fleet of node processes. Nodes are killed and
 * replaced, paused for longer than every lease, or cut off from a peer, from
 * the table or from both the table and all peers; several faults overlap. While
 * a node is killed, paused or isolated, the platform's machine list omits it.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random, createRandom} from '@catkindale/common';
import type {TargetArrival} from '@catkindale/standins';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, cutNode, setMachineList, startNodeProcess,
} from './helpers.js';

export type FaultKind = 'kill' | 'pause' | 'cut-from-table' | 'cut-from-peer';

export type Fault = {
	readonly node: string;
	readonly atMilliseconds: number;
	readonly durationMilliseconds: number;
} & (
	| {readonly kind: 'kill' | 'pause' | 'cut-from-table'}
	| {readonly kind: 'cut-from-peer'; readonly peer: string}
	/** Cut off from the table and all peers, and paused for the first part of that time. */
	| {readonly kind: 'isolate'; readonly pausedMilliseconds: number}
);

/** Each round has two bursts of faults; the time between them lets the quota of all lost nodes come into use again. */
export const roundMilliseconds = 38_000;
const isolation = {atMilliseconds: 1000, durationMilliseconds: 33_000, pausedMilliseconds: 6000};
const burstsAtMilliseconds = [1500, 31_500];
const faultsPerBurst = 3;
const maximumStaggerMilliseconds = 1000;
const faultDurationMilliseconds = {minimum: 1500, maximum: 3500};
const faultKinds: readonly FaultKind[] = ['kill', 'pause', 'cut-from-table', 'cut-from-peer'];

/** In each round, one node is isolated and two bursts of overlapping faults of the other kinds affect the remaining nodes. */
export function createFaultSchedule(seed: number, nodes: readonly string[], rounds: number): Fault[] {
	const random = createRandom(seed);
	return Array.from({length: rounds}, (_, round) => createRound(random, nodes, round * roundMilliseconds)).flat();
}

function createRound(random: Random, nodes: readonly string[], startMilliseconds: number): Fault[] {
	const [isolated, ...others] = shuffle(random, nodes);
	const kindOrder = shuffle(random, faultKinds);
	const bursts = burstsAtMilliseconds.flatMap((atMilliseconds, burst) => {
		const affectedNodes = shuffle(random, others);
		return Array.from({length: faultsPerBurst}, (_, index) => createFault(random, {
			kind: kindOrder[((burst * faultsPerBurst) + index) % kindOrder.length]!, node: affectedNodes[index]!, peer: affectedNodes.at(-1)!, atMilliseconds: startMilliseconds + atMilliseconds,
		}));
	});
	return [{
		kind: 'isolate', node: isolated!, ...isolation, atMilliseconds: startMilliseconds + isolation.atMilliseconds,
	}, ...bursts];
}

type FaultOptions = {readonly kind: FaultKind; readonly node: string; readonly peer: string; readonly atMilliseconds: number};

function createFault(random: Random, {kind, node, peer, atMilliseconds}: FaultOptions): Fault {
	const fault = {
		node,
		atMilliseconds: atMilliseconds + random.integer(0, maximumStaggerMilliseconds),
		durationMilliseconds: random.integer(faultDurationMilliseconds.minimum, faultDurationMilliseconds.maximum),
	};
	return kind === 'cut-from-peer' ? {...fault, kind, peer} : {...fault, kind};
}

export type FaultyFleet = {
	readonly platform: TestPlatform;
	readonly places: readonly TestNodePlace[];
	/** The processes by name; the replacement of a killed node has the same name. */
	readonly nodes: Map<string, TestNode>;
	readonly settings: string;
};

/** Injects all faults of the schedule; resolves when the last one has ended. */
export async function injectFaults(fleet: FaultyFleet, faults: readonly Fault[]): Promise<void> {
	const absentNodes = new Set<string>();
	await Promise.all(faults.map(async fault => {
		await delay(fault.atMilliseconds);
		await injectFault(fleet, fault, absentNodes);
	}));
}

async function injectFault(fleet: FaultyFleet, fault: Fault, absentNodes: Set<string>): Promise<void> {
	const node = fleet.nodes.get(fault.node)!;
	const setAbsent = async (isAbsent: boolean): Promise<void> => {
		absentNodes[isAbsent ? 'add' : 'delete'](fault.node);
		await setMachineList(fleet.platform, fleet.places.map(({name}) => name).filter(name => !absentNodes.has(name)));
	};

	switch (fault.kind) {
		case 'kill': {
			node.sendSignal('SIGKILL');
			await setAbsent(true);
			await delay(fault.durationMilliseconds);
			await setAbsent(false);
			fleet.nodes.set(fault.node, await startNodeProcess(fleet.platform, fleet.places.find(({name}) => name === fault.node)!, fleet.settings));
			break;
		}

		case 'pause': {
			node.sendSignal('SIGSTOP');
			await setAbsent(true);
			await delay(fault.durationMilliseconds);
			node.sendSignal('SIGCONT');
			await setAbsent(false);
			break;
		}

		case 'cut-from-table': {
			await cutNode(node, [], true);
			await delay(fault.durationMilliseconds);
			await cutNode(node, [], false);
			break;
		}

		case 'cut-from-peer': {
			await cutNode(node, [fleet.nodes.get(fault.peer)!], false);
			await delay(fault.durationMilliseconds);
			await cutNode(node, [], false);
			break;
		}

		case 'isolate': {
			await cutNode(node, [...fleet.nodes.values()], true);
			await setAbsent(true);
			node.sendSignal('SIGSTOP');
			await delay(fault.pausedMilliseconds);
			node.sendSignal('SIGCONT');
			await delay(fault.durationMilliseconds - fault.pausedMilliseconds);
			await cutNode(node, [], false);
			await setAbsent(false);
			break;
		}
	}
}

/** Reads from the targets' logs when each request first reached a target; returns the times by customer, in ascending order. */
export async function readArrivals(targets: readonly ManifestTarget[]): Promise<Map<string, number[]>> {
	const logs = await Promise.all(targets.map(async target => readTargetEndpoint<TargetArrival[]>(target, '/log')));
	const times = new Map<string, number[]>();
	const seenRequestIds = new Set<string>();
	for (const {at, customer = '', requestId} of logs.flat().toSorted((left, right) => left.at - right.at)) {
		if (!seenRequestIds.has(requestId)) {
			seenRequestIds.add(requestId);
			times.set(customer, [...times.get(customer) ?? [], at]);
		}
	}

	return times;
}

export async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const response = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await response.body.dump();
}

export async function readTargetEndpoint<Value>(target: ManifestTarget, route: string): Promise<Value> {
	const response = await request(`${target.address}${route}`);
	return await response.body.json() as Value;
}

function shuffle<Value>(random: Random, values: readonly Value[]): Value[] {
	const keyed = values.map(value => ({value, key: random.fraction()}));
	return keyed.toSorted((left, right) => left.key - right.key).map(({value}) => value);
}
