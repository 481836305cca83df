/**
 * A seeded schedule of faults for a fleet of node processes: VMs that are
 * killed and replaced, frozen for longer than every lease, cut off from each
 * other, from the table or from all, several of them at the same time. The
 * platform's list leaves out the VMs that are killed or frozen, and the one
 * that is cut off from all.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random, createRandom} from '@catkindale/common';
import type {TargetArrival} from '@catkindale/standins';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, cutNode, listMachines, startNodeProcess,
} from './helpers.js';

export type FaultKind = 'kill' | 'freeze' | 'cut-from-table' | 'cut-from-peer';

export type Fault = {
	readonly node: string;
	readonly atMilliseconds: number;
	readonly lastMilliseconds: number;
} & (
	| {readonly kind: 'kill' | 'freeze' | 'cut-from-table'}
	| {readonly kind: 'cut-from-peer'; readonly peer: string}
	/** Cut off from all, and frozen for a part of the time. */
	| {readonly kind: 'isolate'; readonly frozenMilliseconds: number}
);

/** A round: a burst of faults, quiet until the quota of all that was lost is in use again, and a second burst. */
export const roundMilliseconds = 38_000;
const isolation = {atMilliseconds: 1000, lastMilliseconds: 33_000, frozenMilliseconds: 6000};
const burstsAtMilliseconds = [1500, 31_500];
const faultsPerBurst = 3;
const longestStaggerMilliseconds = 1000;
const faultMilliseconds = {least: 1500, most: 3500};
const kinds: readonly FaultKind[] = ['kill', 'freeze', 'cut-from-table', 'cut-from-peer'];

/** In each round one node is cut off from all, and faults of other kinds meet several others at the same time, twice. */
export function createFaultSchedule(seed: number, nodes: readonly string[], rounds: number): Fault[] {
	const random = createRandom(seed);
	return Array.from({length: rounds}, (_, round) => createRound(random, nodes, round * roundMilliseconds)).flat();
}

function createRound(random: Random, nodes: readonly string[], startMilliseconds: number): Fault[] {
	const [isolated, ...others] = shuffle(random, nodes);
	const order = shuffle(random, kinds);
	const bursts = burstsAtMilliseconds.flatMap((atMilliseconds, burst) => {
		const victims = shuffle(random, others);
		return Array.from({length: faultsPerBurst}, (_, index) => createFault(random, {
			kind: order[((burst * faultsPerBurst) + index) % order.length]!, node: victims[index]!, peer: victims.at(-1)!, atMilliseconds: startMilliseconds + atMilliseconds,
		}));
	});
	return [{
		kind: 'isolate', node: isolated!, ...isolation, atMilliseconds: startMilliseconds + isolation.atMilliseconds,
	}, ...bursts];
}

type FaultPlace = {readonly kind: FaultKind; readonly node: string; readonly peer: string; readonly atMilliseconds: number};

function createFault(random: Random, {kind, node, peer, atMilliseconds}: FaultPlace): Fault {
	const fault = {
		node,
		atMilliseconds: atMilliseconds + random.integer(0, longestStaggerMilliseconds),
		lastMilliseconds: random.integer(faultMilliseconds.least, faultMilliseconds.most),
	};
	return kind === 'cut-from-peer' ? {...fault, kind, peer} : {...fault, kind};
}

export type FaultyFleet = {
	readonly platform: TestPlatform;
	readonly places: readonly TestNodePlace[];
	/** The processes by name; a replaced node takes the place of the killed one. */
	readonly nodes: Map<string, TestNode>;
	readonly settings: string;
};

/** Brings about all faults of the schedule, and resolves when the last has ended. */
export async function runFaults(fleet: FaultyFleet, faults: readonly Fault[]): Promise<void> {
	const absent = new Set<string>();
	await Promise.all(faults.map(async fault => {
		await delay(fault.atMilliseconds);
		await runFault(fleet, fault, absent);
	}));
}

async function runFault(fleet: FaultyFleet, fault: Fault, absent: Set<string>): Promise<void> {
	const node = fleet.nodes.get(fault.node)!;
	const setAbsent = async (isAbsent: boolean): Promise<void> => {
		absent[isAbsent ? 'add' : 'delete'](fault.node);
		await listMachines(fleet.platform, fleet.places.map(({name}) => name).filter(name => !absent.has(name)));
	};

	switch (fault.kind) {
		case 'kill': {
			node.signal('SIGKILL');
			await setAbsent(true);
			await delay(fault.lastMilliseconds);
			await setAbsent(false);
			fleet.nodes.set(fault.node, await startNodeProcess(fleet.platform, fleet.places.find(({name}) => name === fault.node)!, fleet.settings));
			break;
		}

		case 'freeze': {
			node.signal('SIGSTOP');
			await setAbsent(true);
			await delay(fault.lastMilliseconds);
			node.signal('SIGCONT');
			await setAbsent(false);
			break;
		}

		case 'cut-from-table': {
			await cutNode(node, [], true);
			await delay(fault.lastMilliseconds);
			await cutNode(node, [], false);
			break;
		}

		case 'cut-from-peer': {
			await cutNode(node, [fleet.nodes.get(fault.peer)!], false);
			await delay(fault.lastMilliseconds);
			await cutNode(node, [], false);
			break;
		}

		case 'isolate': {
			await cutNode(node, [...fleet.nodes.values()], true);
			await setAbsent(true);
			node.signal('SIGSTOP');
			await delay(fault.frozenMilliseconds);
			node.signal('SIGCONT');
			await delay(fault.lastMilliseconds - fault.frozenMilliseconds);
			await cutNode(node, [], false);
			await setAbsent(false);
			break;
		}
	}
}

/** The times at which each customer's requests first reached a target. */
export async function readArrivals(targets: readonly ManifestTarget[]): Promise<Map<string, number[]>> {
	const logs = await Promise.all(targets.map(async target => readTarget<TargetArrival[]>(target, '/log')));
	const times = new Map<string, number[]>();
	const seen = new Set<string>();
	for (const {at, customer = '', requestId} of logs.flat().toSorted((left, right) => left.at - right.at)) {
		if (!seen.has(requestId)) {
			seen.add(requestId);
			times.set(customer, [...times.get(customer) ?? [], at]);
		}
	}

	return times;
}

export async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const answer = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await answer.body.dump();
}

export async function readTarget<Value>(target: ManifestTarget, route: string): Promise<Value> {
	const answer = await request(`${target.address}${route}`);
	return await answer.body.json() as Value;
}

function shuffle<Value>(random: Random, values: readonly Value[]): Value[] {
	const keyed = values.map(value => ({value, key: random.fraction()}));
	return keyed.toSorted((left, right) => left.key - right.key).map(({value}) => value);
}
