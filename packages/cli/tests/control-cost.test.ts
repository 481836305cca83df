/**
 * The control traffic of twelve idle nodes, against the users' budget for each
 * node. Only some nodes read the table all the time: the others must receive a
 * change in time also while those readers are paused.
 */
import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, endProcesses, getManifest, startFleet, startPlatformProcesses, waitForConfigurationVersion,
} from './helpers.js';

const regions = {oslo: ['oslo-a', 'oslo-b'], bergen: ['bergen-a', 'bergen-b'], tromso: ['tromso-a', 'tromso-b']};
const nodesPerZone = 2;
const settlingMilliseconds = 6000;
const measurementMilliseconds = 12_000;
const setupTimeoutMilliseconds = 60_000;
const budgetBytesPerSecond = 4000;
/** The budget is 2,000 reads per second for 3,900 nodes. */
const budgetReadsPerSecond = 0.51;
const maximumReadersPerRegion = 2;
const propagationLimitMilliseconds = 3000;

type Counters = {readonly sentBytes: number; readonly tableReads: number; readonly processorTicks: number};
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
	await delay(settlingMilliseconds);
	costs = await measureCosts();
	const readers = costs.filter(cost => cost.readsPerSecond > budgetReadsPerSecond);
	console.log(`all: ${formatMeans(costs)}; readers: ${formatMeans(readers)}`);
}, setupTimeoutMilliseconds);

afterAll(endProcesses);

test('an idle node sends no more than its budget', () => {
	expect(Math.max(...costs.map(cost => cost.bytesPerSecond))).toBeLessThan(budgetBytesPerSecond);
});

test('only the readers of each region read the table continuously', () => {
	const readers = costs.filter(cost => cost.readsPerSecond > budgetReadsPerSecond);
	expect(readers.length).toBeLessThanOrEqual(maximumReadersPerRegion * Object.keys(regions).length);
});

test('while the readers are paused, the others receive a change in time that no node passed on', async () => {
	const isReader = (node: TestNode): boolean => costs[nodes.indexOf(node)]!.readsPerSecond > budgetReadsPerSecond;
	const readers = nodes.filter(node => isReader(node));
	expect(readers.length).toBeGreaterThan(0);
	for (const reader of readers) {
		reader.sendSignal('SIGSTOP');
	}

	const startedAt = performance.now();
	const version = await writeConfiguration();
	await waitForConfigurationVersion(nodes.filter(node => !isReader(node)), version);
	expect(performance.now() - startedAt).toBeLessThan(propagationLimitMilliseconds);
});

/** Writes the row like a node that dies before it sends the change to its peers. */
async function writeConfiguration(): Promise<number> {
	const readResponse = await request(`${platform.tableUrl}/rows?key=configuration`);
	const {rows: [row]} = await readResponse.body.json() as {rows: [ConfigurationRow]};
	const version = row.version + 1;
	const history = [...row.value.history, {version, changeId: 'change-of-a-dead-node', author: 'operator'}];
	const value = {...row.value, history};
	const writeResponse = await request(`${platform.tableUrl}/transactions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({changeId: 'change-of-a-dead-node', writes: [{key: 'configuration', expectedVersion: row.version, value}]}),
	});
	expect(writeResponse.statusCode).toBe(200);
	await writeResponse.body.dump();
	return version;
}

async function measureCosts(): Promise<Cost[]> {
	const before = await Promise.all(nodes.map(async node => readCounters(node)));
	await delay(measurementMilliseconds);
	const after = await Promise.all(nodes.map(async node => readCounters(node)));
	return after.map((counters, index) => computeCost(before[index]!, counters));
}

async function readCounters(node: TestNode): Promise<Counters> {
	const response = await request(`${node.metricsUrl}/metrics`);
	const text = await response.body.text();
	const sentBytes = Number(/^catkindale_control_bytes_total\{direction="sent"\} (\S+)$/mv.exec(text)?.[1]);
	const tableReads = [...text.matchAll(/^catkindale_table_calls_total\{operation="(?:get|list)"\} (\S+)$/gmv)].reduce((sum, [, calls]) => sum + Number(calls), 0);
	return {sentBytes, tableReads, processorTicks: await readProcessorTicks(node.child.pid)};
}

/** Returns the user and system time of a process, in hundredths of a second. */
async function readProcessorTicks(processId: number | undefined): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return Number(fields[11]) + Number(fields[12]);
}

function computeCost(before: Counters, after: Counters): Cost {
	const seconds = measurementMilliseconds / 1000;
	return {
		readsPerSecond: (after.tableReads - before.tableReads) / seconds,
		bytesPerSecond: (after.sentBytes - before.sentBytes) / seconds,
		processorPercent: (after.processorTicks - before.processorTicks) / seconds,
	};
}

function formatMeans(selectedCosts: readonly Cost[]): string {
	return `${formatMean(selectedCosts, 'bytesPerSecond')} bytes/s sent, ${formatMean(selectedCosts, 'readsPerSecond')} reads/s, ${formatMean(selectedCosts, 'processorPercent')}% of a core`;
}

function formatMean(selectedCosts: readonly Cost[], name: keyof Cost): string {
	return (selectedCosts.reduce((sum, cost) => sum + cost[name], 0) / selectedCosts.length).toFixed(2);
}
