/**
 * What twelve idle nodes spend on knowing the same, against the users' budget
 * for each node, and that those who don't read the table miss nothing when the
 * readers freeze.
 */
import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, endProcesses, getManifest, startFleet, startPlatformProcesses, waitForVersion,
} from './helpers.js';

const regions = {oslo: ['oslo-a', 'oslo-b'], bergen: ['bergen-a', 'bergen-b'], tromso: ['tromso-a', 'tromso-b']};
const nodesPerZone = 2;
const settleMilliseconds = 6000;
const windowMilliseconds = 12_000;
const startMilliseconds = 60_000;
const budgetBytesPerSecond = 4000;
/** 2,000 reads a second for 3,900 nodes. */
const budgetReadsPerSecond = 0.51;
const readersOfRegion = 2;
const inForceMilliseconds = 3000;

type Counters = {readonly sentBytes: number; readonly reads: number; readonly processorTicks: number};
type Cost = {readonly bytesPerSecond: number; readonly readsPerSecond: number; readonly processorPercent: number};
type ConfigurationRow = {readonly version: number; readonly value: {readonly history: readonly unknown[]; readonly configuration: unknown}};

let platform: TestPlatform;
let nodes: TestNode[] = [];
let costs: Cost[] = [];

beforeAll(async () => {
	const places = Object.entries(regions).flatMap(([region, zones]) => zones.flatMap(zone =>
		Array.from({length: nodesPerZone}, (_, index) => ({name: `${zone}-${index}`, region, zone}))));
	platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
	await applyManifest(nodes, getManifest(regions, [], 'control-key'));
	await delay(settleMilliseconds);
	costs = await measureCosts();
	const readers = costs.filter(cost => cost.readsPerSecond > budgetReadsPerSecond);
	console.log(`all: ${describeMeans(costs)}; readers: ${describeMeans(readers)}`);
}, startMilliseconds);

afterAll(endProcesses);

test('an idle node sends no more than its budget', () => {
	expect(Math.max(...costs.map(cost => cost.bytesPerSecond))).toBeLessThan(budgetBytesPerSecond);
});

test('only the readers of each region read the table all the time', () => {
	const readers = costs.filter(cost => cost.readsPerSecond > budgetReadsPerSecond);
	expect(readers.length).toBeLessThanOrEqual(readersOfRegion * Object.keys(regions).length);
});

test('while the readers are frozen the others learn in time what nobody passed on', async () => {
	const isReader = (node: TestNode): boolean => costs[nodes.indexOf(node)]!.readsPerSecond > budgetReadsPerSecond;
	const readers = nodes.filter(node => isReader(node));
	expect(readers.length).toBeGreaterThan(0);
	for (const reader of readers) {
		reader.signal('SIGSTOP');
	}

	const startedAt = performance.now();
	const version = await writeConfiguration();
	await waitForVersion(nodes.filter(node => !isReader(node)), version);
	expect(performance.now() - startedAt).toBeLessThan(inForceMilliseconds);
});

/** Writes the row as a node does that dies before it has told anyone. */
async function writeConfiguration(): Promise<number> {
	const read = await request(`${platform.table}/rows?key=configuration`);
	const {rows: [row]} = await read.body.json() as {rows: [ConfigurationRow]};
	const version = row.version + 1;
	const history = [...row.value.history, {version, changeId: 'change-of-a-dead-node', author: 'operator'}];
	const value = {...row.value, history};
	const written = await request(`${platform.table}/transactions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({changeId: 'change-of-a-dead-node', writes: [{key: 'configuration', expectedVersion: row.version, value}]}),
	});
	expect(written.statusCode).toBe(200);
	await written.body.dump();
	return version;
}

async function measureCosts(): Promise<Cost[]> {
	const before = await Promise.all(nodes.map(async node => readCounters(node)));
	await delay(windowMilliseconds);
	const after = await Promise.all(nodes.map(async node => readCounters(node)));
	return after.map((counters, index) => getCost(before[index]!, counters));
}

async function readCounters(node: TestNode): Promise<Counters> {
	const answer = await request(`${node.metrics}/metrics`);
	const text = await answer.body.text();
	const sentBytes = Number(/^catkindale_control_bytes_total\{direction="sent"\} (\S+)$/mv.exec(text)?.[1]);
	const reads = [...text.matchAll(/^catkindale_table_calls_total\{operation="(?:get|list)"\} (\S+)$/gmv)].reduce((sum, [, calls]) => sum + Number(calls), 0);
	return {sentBytes, reads, processorTicks: await readProcessorTicks(node.child.pid)};
}

/** User and system time of a process, in hundredths of a second. */
async function readProcessorTicks(processId: number | undefined): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return Number(fields[11]) + Number(fields[12]);
}

function getCost(before: Counters, after: Counters): Cost {
	const seconds = windowMilliseconds / 1000;
	return {
		readsPerSecond: (after.reads - before.reads) / seconds,
		bytesPerSecond: (after.sentBytes - before.sentBytes) / seconds,
		processorPercent: (after.processorTicks - before.processorTicks) / seconds,
	};
}

function describeMeans(some: readonly Cost[]): string {
	return `${getMean(some, 'bytesPerSecond')} bytes/s sent, ${getMean(some, 'readsPerSecond')} reads/s, ${getMean(some, 'processorPercent')}% of a core`;
}

function getMean(some: readonly Cost[], name: keyof Cost): string {
	return (some.reduce((sum, cost) => sum + cost[name], 0) / some.length).toFixed(2);
}
