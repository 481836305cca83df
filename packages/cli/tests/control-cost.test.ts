/** What twelve idle nodes spend on knowing the same, against the users' budget for each node. */
import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, applyManifest, endProcesses, getManifest, startFleet, startPlatformProcesses,
} from './helpers.js';

const regions = {oslo: ['oslo-a', 'oslo-b'], bergen: ['bergen-a', 'bergen-b'], tromso: ['tromso-a', 'tromso-b']};
const nodesPerZone = 2;
const settleMilliseconds = 6000;
const windowMilliseconds = 12_000;
const startMilliseconds = 60_000;
const budgetBytesPerSecond = 4000;

type Counters = {readonly sentBytes: number; readonly processorTicks: number};
type Cost = {readonly bytesPerSecond: number; readonly processorPercent: number};

let nodes: TestNode[] = [];

beforeAll(async () => {
	const places = Object.entries(regions).flatMap(([region, zones]) => zones.flatMap(zone =>
		Array.from({length: nodesPerZone}, (_, index) => ({name: `${zone}-${index}`, region, zone}))));
	nodes = await startFleet(await startPlatformProcesses(), places);
	await applyManifest(nodes, getManifest(regions, [], 'control-key'));
	await delay(settleMilliseconds);
}, startMilliseconds);

afterAll(endProcesses);

test('an idle node keeps within the budget of control', async () => {
	const before = await Promise.all(nodes.map(async node => readCounters(node)));
	await delay(windowMilliseconds);
	const after = await Promise.all(nodes.map(async node => readCounters(node)));
	const costs = after.map((counters, index) => getCost(before[index]!, counters));
	console.log(`mean of ${nodes.length} nodes: ${describeMean(costs, 'bytesPerSecond')} bytes/s sent, ${describeMean(costs, 'processorPercent')}% of a core`);
	expect(Math.max(...costs.map(cost => cost.bytesPerSecond))).toBeLessThan(budgetBytesPerSecond);
}, startMilliseconds);

async function readCounters(node: TestNode): Promise<Counters> {
	const answer = await request(`${node.metrics}/metrics`);
	const text = await answer.body.text();
	const sentBytes = Number(/^catkindale_control_bytes_total\{direction="sent"\} (\S+)$/mv.exec(text)?.[1]);
	return {sentBytes, processorTicks: await readProcessorTicks(node.child.pid)};
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
		bytesPerSecond: (after.sentBytes - before.sentBytes) / seconds,
		processorPercent: (after.processorTicks - before.processorTicks) / seconds,
	};
}

function describeMean(costs: readonly Cost[], name: keyof Cost): string {
	return (costs.reduce((sum, cost) => sum + cost[name], 0) / costs.length).toFixed(2);
}
