/**
 * Time until a configuration change is applied on the last node, and the cost
 * of the control traffic for each node, with all nodes in one process. The
 * baseline is a fleet that only polls the table.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	bytesPerMebibyte, createRandom, millisecondsPerMinute, millisecondsPerSecond,
} from '@catkindale/common';
import type {NodeHandle} from '@catkindale/node';
import {startMachineListStandin, startObjectStoreStandin, startTableStandin} from '@catkindale/standins';
import {request} from 'undici';
import {registerBench} from './bench-registry.js';
import {type EmbeddedNode, type EmbeddedPlatform, startEmbeddedNode} from './embedded-node.js';

type Fleet = {readonly nodes: readonly NodeHandle[]; readonly stop: () => Promise<void>};
type Cost = {readonly bytesPerSecond: number; readonly cpuPercent: number; readonly mebibytes: number};

const loopback = {host: '127.0.0.1', port: 0};
const regions = ['oslo', 'bergen', 'tromso'];
const zonesPerRegion = 2;
const nodeCounts = [12, 24, 48, 96];
const measuredNodeCount = 12;
const changeCount = 200;
const polledChangeCount = 40;
const targetMilliseconds = 3000;
const changesPerMinute = 36;
const settleMilliseconds = 4000;
const operatorToken = 'bench-operator-token';
const pollPhaseRandom = createRandom(1);

registerBench({
	name: 'propagation',
	describe: 'time until changes are applied on the last node; control cost by number of nodes',
	async run({seconds, print}) {
		const pushedTimes = await measureTimes(changeCount, true);
		const polledTimes = await measureTimes(polledChangeCount, false);
		print(`${changeCount} changes, ${measuredNodeCount} nodes, from the operator's call until the last node has applied the change:`);
		print(`  push from node to node: p50 ${formatQuantile(pushedTimes, 0.5)}, max ${formatQuantile(pushedTimes, 1)}`);
		print(`  baseline, polling the table (${polledChangeCount} changes): p50 ${formatQuantile(polledTimes, 0.5)}, max ${formatQuantile(polledTimes, 1)}`);
		print(`cost of each node, full mesh, ${seconds} s each: control bytes/s sent, fraction of a core, resident memory of the process divided by the nodes`);
		for (const count of nodeCounts) {
			const fleet = await startFleet(count);
			const idleCost = await measureCost(fleet, seconds, 0);
			const busyCost = await measureCost(fleet, seconds, changesPerMinute);
			print(`  ${count} nodes: idle ${formatCost(idleCost)}; at ${changesPerMinute} changes a minute ${formatCost(busyCost)}`);
			await fleet.stop();
		}

		return (pushedTimes.at(-1) ?? Number.POSITIVE_INFINITY) < targetMilliseconds;
	},
});

async function startFleet(count: number): Promise<Fleet> {
	const table = await startTableStandin(loopback);
	const objects = await startObjectStoreStandin(loopback);
	const machines = await startMachineListStandin(loopback);
	const nodePlaces = Array.from({length: count}, (_, index) => ({name: `node-${index}`, region: regions[index % regions.length] ?? '', position: index}));
	const listed = nodePlaces.map(({name}) => ({id: name, state: 'live'}));
	await request(`${machines.address}/machines`, {method: 'PUT', body: JSON.stringify({machines: listed})});
	const nodes: NodeHandle[] = [];
	for (const {name, region, position} of nodePlaces) {
		const zone = `${region}-${Math.floor(position / regions.length) % zonesPerRegion}`;
		nodes.push(await startBenchNode({name, region, zone}, {table, objects, machines}));
	}

	await waitForLinks(nodes);
	return {
		nodes,
		async stop() {
			await Promise.all(nodes.map(async node => node.stop()));
			await Promise.all([table, objects, machines].map(async standin => standin.stop()));
		},
	};
}

async function startBenchNode(place: EmbeddedNode['place'], platform: EmbeddedPlatform): Promise<NodeHandle> {
	return startEmbeddedNode({
		place, platform, operatorToken, timing: {lookupHoldMilliseconds: 0},
	});
}

/** Waits until the first node sees every node as serving, or until the time limit, and then for the fleet to settle. */
async function waitForLinks(nodes: readonly NodeHandle[]): Promise<void> {
	const waitEndsAt = performance.now() + (settleMilliseconds * 5);
	while (performance.now() < waitEndsAt) {
		const response = await request(`http://${nodes[0]!.addresses.admin}/v1/status`, {headers: {authorization: `Bearer ${operatorToken}`}});
		const {members} = await response.body.json() as {members: Array<{isServing: boolean}>};
		if (members.filter(({isServing}) => isServing).length === nodes.length) {
			break;
		}

		await delay(settleMilliseconds / 10);
	}

	await delay(settleMilliseconds);
}

/** Milliseconds of each change, ascending. If `isPushed` is false, nodes see a change only when they poll the table. */
async function measureTimes(count: number, isPushed: boolean): Promise<number[]> {
	const fleet = await startFleet(measuredNodeCount);
	const times: number[] = [];
	for (let change = 1; change <= count; change++) {
		const startedAt = performance.now();
		const allUpdated = Promise.all(fleet.nodes.map(async node => waitForVersion(node, change, isPushed)));
		const applying = applyManifest(fleet.nodes[change % measuredNodeCount]!, change);
		await allUpdated;
		times.push(performance.now() - startedAt);
		await applying;
	}

	await fleet.stop();
	return times.toSorted((left, right) => left - right);
}

async function waitForVersion(node: NodeHandle, version: number, isPushed: boolean): Promise<void> {
	if (!isPushed) {
		return pollForVersion(node, version);
	}

	return new Promise<void>(resolve => {
		const unsubscribe = node.context.bus.subscribe('configuration-changed', message => {
			if (message.version >= version) {
				unsubscribe();
				resolve();
			}
		});
	});
}

/** Resolves when a node that only polls would see the version; its first poll is at a random time within the poll interval. */
async function pollForVersion(node: NodeHandle, version: number): Promise<void> {
	const {platform, settings} = node.context;
	const pollMilliseconds = settings.timing.tablePollMilliseconds;
	await delay(pollPhaseRandom.fraction() * pollMilliseconds);
	for (;;) {
		const row = await platform.table.get('configuration');
		if (row.kind === 'done' && (row.value?.version ?? 0) >= version) {
			return;
		}

		await delay(pollMilliseconds);
	}
}

async function applyManifest(node: NodeHandle, change: number): Promise<void> {
	const response = await request(`http://${node.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(change), headers: {authorization: `Bearer ${operatorToken}`},
	});
	await response.body.dump();
}

function getManifest(change: number): string {
	const regionLines = regions.map(region => `[[regions]]\nname = "${region}"\nzones = ["${region}-0", "${region}-1"]`);
	const customers = Array.from({length: 8}, (_, index) => `[[customers]]\nname = "customer-${index}"\nrate = ${100 + change}\nburst = 60`);
	return [...regionLines, ...customers, ''].join('\n');
}

async function measureCost(fleet: Fleet, seconds: number, changeRate: number): Promise<Cost> {
	const bytesBefore = await getSentBytes(fleet);
	const cpuUsageBefore = process.cpuUsage();
	const startedAt = performance.now();
	const endsAt = startedAt + (seconds * millisecondsPerSecond);
	for (let change = 1; performance.now() < endsAt; change++) {
		if (changeRate > 0) {
			await applyManifest(fleet.nodes[change % fleet.nodes.length]!, change);
		}

		const nextChangeAt = startedAt + (change * millisecondsPerMinute / Math.max(1, changeRate));
		await delay(Math.max(0, Math.min(nextChangeAt, endsAt) - performance.now()));
	}

	const elapsedSeconds = (performance.now() - startedAt) / millisecondsPerSecond;
	const cpuUsage = process.cpuUsage(cpuUsageBefore);
	const bytesAfter = await getSentBytes(fleet);
	const count = fleet.nodes.length;
	return {
		bytesPerSecond: (bytesAfter - bytesBefore) / elapsedSeconds / count,
		cpuPercent: (cpuUsage.user + cpuUsage.system) / 10_000 / elapsedSeconds / count,
		mebibytes: process.memoryUsage().rss / bytesPerMebibyte / count,
	};
}

async function getSentBytes(fleet: Fleet): Promise<number> {
	let bytes = 0;
	for (const node of fleet.nodes) {
		const text = await node.context.metrics.metrics();
		bytes += Number(/^catkindale_control_bytes_total\{direction="sent"\} (\S+)$/mv.exec(text)?.[1]);
	}

	return bytes;
}

function formatQuantile(sorted: readonly number[], quantile: number): string {
	const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
	return `${(sorted[index] ?? Number.NaN).toFixed(1)} ms`;
}

function formatCost({bytesPerSecond, cpuPercent, mebibytes}: Cost): string {
	return `${bytesPerSecond.toFixed(0)} B/s, ${cpuPercent.toFixed(2)}% CPU, ${mebibytes.toFixed(1)} MiB`;
}
