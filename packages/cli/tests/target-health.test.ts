/** What targets report of their own health reaches all nodes, lowers what they get, and does nothing else. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, applyManifest, endProcesses, getManifest, listMachines, sendRequest, startFleet, startPlatformProcesses, startTargets, waitUntil,
} from './helpers.js';

const reactionMilliseconds = 3000;
const measureMilliseconds = 1500;
const reportLifeMilliseconds = 10_000;
const readersPerTarget = 2;
const readsPerSecond = 1;
const key = 'health-key';
const headers = {authorization: `Bearer ${key}`};
const region = 'oslo';
const zones = ['oslo-a', 'oslo-b'];
const places = ['oslo-a', 'oslo-b', 'oslo-a'].map((zone, index) => ({name: `oslo-${index}`, region, zone}));
let nodes: TestNode[] = [];
let targets: ManifestTarget[] = [];

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
	targets = await startTargets(zones.map(zone => ({name: zone, region, zone})));
	await listMachines(platform, [...nodes, ...targets].map(({name}) => name));
	await applyManifest(nodes, getManifest({[region]: zones}, targets, key));
	await waitUntil(async () => {
		const statuses = await sendToAll();
		return statuses.every(status => status === 200) || undefined;
	}, 'all nodes serve');
});

beforeEach(async () => {
	const well = {
		serviceMilliseconds: 20, failureShare: 0, isReportedHealthy: true, isHealthSilent: false, reportedLoad: 0,
	};
	await Promise.all(targets.map(async target => setBehaviour(target, well)));
	await waitUntil(async () => await getShare(targets[1]!, await measure(6)) > 0.4 || undefined, 'work at both targets');
});

afterAll(endProcesses);

type Case = {
	readonly title: string;
	readonly behaviour: object;
	/** How many of the targets behave so. */
	readonly count: number;
	/** The largest and the smallest part of the work that the second target may get afterwards. */
	readonly most: number;
	readonly least: number;
};

const cases: Case[] = [
	{
		title: 'that reports ill health gets less', behaviour: {isReportedHealthy: false}, count: 1, most: 0.4, least: 0.01,
	},
	{
		title: 'that fails and reports good health gets just probes', behaviour: {failureShare: 1}, count: 1, most: 0.1, least: 0,
	},
	{
		title: 'whose health endpoint is silent keeps its part', behaviour: {isHealthSilent: true}, count: 1, most: 0.6, least: 0.4,
	},
	{
		title: 'keeps its part when all report ill health', behaviour: {isReportedHealthy: false}, count: 2, most: 0.6, least: 0.4,
	},
];

test.each(cases)('a target $title', async ({behaviour, count, most, least}) => {
	await Promise.all(targets.slice(-count).map(async target => setBehaviour(target, behaviour)));
	const endsAt = performance.now() + reactionMilliseconds;
	while (performance.now() < endsAt) {
		await measure(6, 200);
	}

	const share = await getShare(targets[1]!, await measure(6));
	expect(share).toBeLessThanOrEqual(most);
	expect(share).toBeGreaterThanOrEqual(least);
});

test('work goes on when all targets report ill health at once', async () => {
	const concurrency = 48;
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: 100})));
	await measure(concurrency);
	const before = await measure(concurrency);
	await Promise.all(targets.map(async target => setBehaviour(target, {isReportedHealthy: false})));
	await delay(reactionMilliseconds);
	await measure(concurrency);
	const after = await measure(concurrency);
	expect(after.failed).toBe(0);
	expect(after.answered).toBeGreaterThan(before.answered * 0.7);
});

test('what a target reported is forgotten when it reports no more', async () => {
	const ill = targets[1]!;
	await setBehaviour(ill, {isReportedHealthy: false});
	await delay(reactionMilliseconds);
	expect(await getShare(ill, await measure(6))).toBeLessThanOrEqual(0.4);
	await setBehaviour(ill, {isHealthSilent: true});
	await delay(reportLifeMilliseconds + reactionMilliseconds);
	await measure(6);
	expect(await getShare(ill, await measure(6))).toBeGreaterThanOrEqual(0.4);
});

test('a target is asked by two nodes at a bounded pace', async () => {
	const before = await Promise.all(targets.map(async target => getCounts(target)));
	const seconds = 4;
	await delay(seconds * 1000);
	const after = await Promise.all(targets.map(async target => getCounts(target)));
	for (const [index, {healthReads}] of after.entries()) {
		const reads = healthReads - before[index]!.healthReads;
		expect(reads).toBeGreaterThan(0);
		expect(reads).toBeLessThanOrEqual((seconds + 1) * readersPerTarget * readsPerSecond);
	}
});

type Measured = {readonly answered: number; readonly failed: number; readonly received: ReadonlyMap<string, number>};

/** Sends requests for a while, so many at a time over all nodes. */
async function measure(concurrency: number, milliseconds = measureMilliseconds): Promise<Measured> {
	const before = await Promise.all(targets.map(async target => getCounts(target)));
	const endsAt = performance.now() + milliseconds;
	const callers = await Promise.all(Array.from({length: concurrency}, async (_, index) => callUntil(nodes[index % nodes.length]!, endsAt)));
	const after = await Promise.all(targets.map(async target => getCounts(target)));
	const statuses = callers.flat();
	return {
		answered: statuses.filter(status => status === 200).length,
		failed: statuses.filter(status => status !== 200).length,
		received: new Map(targets.map(({name}, index) => [name, after[index]!.received - before[index]!.received])),
	};
}

async function callUntil(node: TestNode, endsAt: number): Promise<number[]> {
	const statuses: number[] = [];
	while (performance.now() < endsAt) {
		const {status} = await sendRequest(`${node.caller}/prices/ENGM`, headers);
		statuses.push(status);
	}

	return statuses;
}

async function getShare({name}: ManifestTarget, {received}: Measured): Promise<number> {
	const total = [...received.values()].reduce((sum, count) => sum + count, 0);
	return (received.get(name) ?? 0) / Math.max(1, total);
}

async function sendToAll(): Promise<number[]> {
	const answers = await Promise.all(nodes.map(async node => sendRequest(`${node.caller}/prices/ENGM`, headers)));
	return answers.map(answer => answer.status);
}

async function getCounts(target: ManifestTarget): Promise<{received: number; healthReads: number}> {
	const answer = await request(`${target.address}/counts`);
	return await answer.body.json() as {received: number; healthReads: number};
}

async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const answer = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await answer.body.dump();
}
