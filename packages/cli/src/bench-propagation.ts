/**
 * How fast changes are in force on the last node, and what the control
 * traffic costs each node, for fleets in one process. The baseline is polling
 * of the table alone.
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
const measuredNodes = 12;
const changes = 200;
const polledChanges = 40;
const targetMilliseconds = 3000;
const changesPerMinute = 36;
const settleMilliseconds = 4000;
const operatorToken = 'bench-operator-token';
const random = createRandom(1);

registerBench({
	name: 'propagation',
	describe: 'time until changes are in force on the last node; control cost by number of nodes',
	async run({seconds, print}) {
		const pushed = await measureTimes(changes, true);
		const polled = await measureTimes(polledChanges, false);
		print(`${changes} changes, ${measuredNodes} nodes, from the operator's call to the last node in force:`);
		print(`  push from node to node: p50 ${describeQuantile(pushed, 0.5)}, max ${describeQuantile(pushed, 1)}`);
		print(`  baseline, polling the table (${polledChanges} changes): p50 ${describeQuantile(polled, 0.5)}, max ${describeQuantile(polled, 1)}`);
		print(`cost of each node, full mesh, ${seconds} s each: control bytes/s sent, share of a core, resident memory of the process over nodes`);
		for (const count of nodeCounts) {
			const fleet = await startFleet(count);
			const idle = await measureCost(fleet, seconds, 0);
			const busy = await measureCost(fleet, seconds, changesPerMinute);
			print(`  ${count} nodes: idle ${describeCost(idle)}; at ${changesPerMinute} changes a minute ${describeCost(busy)}`);
			await fleet.stop();
		}

		return (pushed.at(-1) ?? Number.POSITIVE_INFINITY) < targetMilliseconds;
	},
});

async function startFleet(count: number): Promise<Fleet> {
	const table = await startTableStandin(loopback);
	const objects = await startObjectStoreStandin(loopback);
	const machines = await startMachineListStandin(loopback);
	const places = Array.from({length: count}, (_, index) => ({name: `node-${index}`, region: regions[index % regions.length] ?? '', zone: index}));
	const listed = places.map(({name}) => ({id: name, state: 'live'}));
	await request(`${machines.address}/machines`, {method: 'PUT', body: JSON.stringify({machines: listed})});
	const nodes: NodeHandle[] = [];
	for (const {name, region, zone} of places) {
		const zoneName = `${region}-${Math.floor(zone / regions.length) % zonesPerRegion}`;
		nodes.push(await startBenchNode({name, region, zone: zoneName}, {table, objects, machines}));
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

/** Waits until the first node counts every other one as serving, or for the time limit. */
async function waitForLinks(nodes: readonly NodeHandle[]): Promise<void> {
	const endsAt = performance.now() + (settleMilliseconds * 5);
	while (performance.now() < endsAt) {
		const answer = await request(`http://${nodes[0]!.addresses.admin}/v1/status`, {headers: {authorization: `Bearer ${operatorToken}`}});
		const {members} = await answer.body.json() as {members: Array<{isServing: boolean}>};
		if (members.filter(({isServing}) => isServing).length === nodes.length) {
			break;
		}

		await delay(settleMilliseconds / 10);
	}

	await delay(settleMilliseconds);
}

/** Milliseconds for each change, ascending. Without push a node learns only what it polls. */
async function measureTimes(count: number, isPushed: boolean): Promise<number[]> {
	const fleet = await startFleet(measuredNodes);
	const times: number[] = [];
	for (let change = 1; change <= count; change++) {
		const startedAt = performance.now();
		const inForce = Promise.all(fleet.nodes.map(async node => waitForVersion(node, change, isPushed)));
		const applied = apply(fleet.nodes[change % measuredNodes]!, change);
		await inForce;
		times.push(performance.now() - startedAt);
		await applied;
	}

	await fleet.stop();
	return times.toSorted((left, right) => left - right);
}

async function waitForVersion(node: NodeHandle, version: number, isPushed: boolean): Promise<void> {
	if (!isPushed) {
		return pollForVersion(node, version);
	}

	return new Promise<void>(resolve => {
		const end = node.context.bus.subscribe('configuration-changed', message => {
			if (message.version >= version) {
				end();
				resolve();
			}
		});
	});
}

/** What a node that only polls would see; its polls fall anywhere in the period. */
async function pollForVersion(node: NodeHandle, version: number): Promise<void> {
	const {platform, settings} = node.context;
	const period = settings.timing.tablePollMilliseconds;
	await delay(random.fraction() * period);
	for (;;) {
		const row = await platform.table.get('configuration');
		if (row.kind === 'done' && (row.value?.version ?? 0) >= version) {
			return;
		}

		await delay(period);
	}
}

async function apply(node: NodeHandle, change: number): Promise<void> {
	const answer = await request(`http://${node.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(change), headers: {authorization: `Bearer ${operatorToken}`},
	});
	await answer.body.dump();
}

function getManifest(change: number): string {
	const regionLines = regions.map(region => `[[regions]]\nname = "${region}"\nzones = ["${region}-0", "${region}-1"]`);
	const customers = Array.from({length: 8}, (_, index) => `[[customers]]\nname = "customer-${index}"\nrate = ${100 + change}\nburst = 60`);
	return [...regionLines, ...customers, ''].join('\n');
}

async function measureCost(fleet: Fleet, seconds: number, changesEachMinute: number): Promise<Cost> {
	const bytesBefore = await getSentBytes(fleet);
	const cpuBefore = process.cpuUsage();
	const startedAt = performance.now();
	const endsAt = startedAt + (seconds * millisecondsPerSecond);
	for (let change = 1; performance.now() < endsAt; change++) {
		if (changesEachMinute > 0) {
			await apply(fleet.nodes[change % fleet.nodes.length]!, change);
		}

		const next = startedAt + (change * millisecondsPerMinute / Math.max(1, changesEachMinute));
		await delay(Math.max(0, Math.min(next, endsAt) - performance.now()));
	}

	const elapsed = (performance.now() - startedAt) / millisecondsPerSecond;
	const cpu = process.cpuUsage(cpuBefore);
	const bytesAfter = await getSentBytes(fleet);
	const count = fleet.nodes.length;
	return {
		bytesPerSecond: (bytesAfter - bytesBefore) / elapsed / count,
		cpuPercent: (cpu.user + cpu.system) / 10_000 / elapsed / count,
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

function describeQuantile(sorted: readonly number[], quantile: number): string {
	const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
	return `${(sorted[index] ?? Number.NaN).toFixed(1)} ms`;
}

function describeCost({bytesPerSecond, cpuPercent, mebibytes}: Cost): string {
	return `${bytesPerSecond.toFixed(0)} B/s, ${cpuPercent.toFixed(2)}% CPU, ${mebibytes.toFixed(1)} MiB`;
}
