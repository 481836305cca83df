/** The health that targets report reaches all nodes and lowers their share of the requests, and has no other effect. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, applyManifest, endProcesses, getManifest, sendRequest, setMachineList, startFleet, startPlatformProcesses, startTargets,
	waitUntil,
} from './helpers.js';

const reactionMilliseconds = 3000;
const measurementMilliseconds = 1500;
const reportLifetimeMilliseconds = 10_000;
const maximumReadersPerTarget = 2;
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
	await setMachineList(platform, [...nodes, ...targets].map(({name}) => name));
	await applyManifest(nodes, getManifest({[region]: zones}, targets, key));
	await waitUntil(async () => {
		const statuses = await sendToAllNodes();
		return statuses.every(status => status === 200) || undefined;
	}, 'a successful response from every node');
});

beforeEach(async () => {
	const healthyBehaviour = {
		serviceMilliseconds: 20, failureShare: 0, isReportedHealthy: true, isHealthSilent: false, reportedLoad: 0,
	};
	await Promise.all(targets.map(async target => setBehaviour(target, healthyBehaviour)));
	await waitUntil(async () => await getShare(targets[1]!, await measureLoad(6)) > 0.4 || undefined, 'requests at both targets');
});

afterAll(endProcesses);

type Case = {
	readonly title: string;
	readonly behaviour: object;
	/** Number of targets that get the behaviour, counted from the last. */
	readonly count: number;
	/** Bounds of the second target's share of the requests afterwards. */
	readonly maximumShare: number;
	readonly minimumShare: number;
};

const cases: Case[] = [
	{
		title: 'that reports itself unhealthy gets fewer requests', behaviour: {isReportedHealthy: false}, count: 1, maximumShare: 0.4, minimumShare: 0.01,
	},
	{
		title: 'that fails but reports itself healthy gets only probes', behaviour: {failureShare: 1}, count: 1, maximumShare: 0.1, minimumShare: 0,
	},
	{
		title: 'whose health endpoint doesn\'t respond keeps its share', behaviour: {isHealthSilent: true}, count: 1, maximumShare: 0.6, minimumShare: 0.4,
	},
	{
		title: 'keeps its share when all targets report themselves unhealthy', behaviour: {isReportedHealthy: false}, count: 2, maximumShare: 0.6, minimumShare: 0.4,
	},
];

test.each(cases)('a target $title', async ({behaviour, count, maximumShare, minimumShare}) => {
	await Promise.all(targets.slice(-count).map(async target => setBehaviour(target, behaviour)));
	const endsAt = performance.now() + reactionMilliseconds;
	while (performance.now() < endsAt) {
		await measureLoad(6, 200);
	}

	const share = await getShare(targets[1]!, await measureLoad(6));
	expect(share).toBeLessThanOrEqual(maximumShare);
	expect(share).toBeGreaterThanOrEqual(minimumShare);
});

test('requests are served at nearly the same rate when all targets report themselves unhealthy at once', async () => {
	const concurrency = 48;
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: 100})));
	await measureLoad(concurrency);
	const before = await measureLoad(concurrency);
	await Promise.all(targets.map(async target => setBehaviour(target, {isReportedHealthy: false})));
	await delay(reactionMilliseconds);
	await measureLoad(concurrency);
	const after = await measureLoad(concurrency);
	expect(after.failed).toBe(0);
	expect(after.succeeded).toBeGreaterThan(before.succeeded * 0.7);
});

test('a target\'s reported health expires when the target no longer reports', async () => {
	const unhealthyTarget = targets[1]!;
	await setBehaviour(unhealthyTarget, {isReportedHealthy: false});
	await delay(reactionMilliseconds);
	expect(await getShare(unhealthyTarget, await measureLoad(6))).toBeLessThanOrEqual(0.4);
	await setBehaviour(unhealthyTarget, {isHealthSilent: true});
	await delay(reportLifetimeMilliseconds + reactionMilliseconds);
	await measureLoad(6);
	expect(await getShare(unhealthyTarget, await measureLoad(6))).toBeGreaterThanOrEqual(0.4);
});

test('at most two nodes read a target\'s health, at a bounded rate', async () => {
	const before = await Promise.all(targets.map(async target => getCounts(target)));
	const seconds = 4;
	await delay(seconds * 1000);
	const after = await Promise.all(targets.map(async target => getCounts(target)));
	for (const [index, {healthReads}] of after.entries()) {
		const reads = healthReads - before[index]!.healthReads;
		expect(reads).toBeGreaterThan(0);
		expect(reads).toBeLessThanOrEqual((seconds + 1) * maximumReadersPerTarget * readsPerSecond);
	}
});

type Measurement = {readonly succeeded: number; readonly failed: number; readonly received: ReadonlyMap<string, number>};

/** Sends requests for the given time with the given total concurrency, spread over the nodes. */
async function measureLoad(concurrency: number, milliseconds = measurementMilliseconds): Promise<Measurement> {
	const before = await Promise.all(targets.map(async target => getCounts(target)));
	const endsAt = performance.now() + milliseconds;
	const statusesByLoop = await Promise.all(Array.from({length: concurrency}, async (_, index) => sendRequestsUntil(nodes[index % nodes.length]!, endsAt)));
	const after = await Promise.all(targets.map(async target => getCounts(target)));
	const statuses = statusesByLoop.flat();
	return {
		succeeded: statuses.filter(status => status === 200).length,
		failed: statuses.filter(status => status !== 200).length,
		received: new Map(targets.map(({name}, index) => [name, after[index]!.received - before[index]!.received])),
	};
}

async function sendRequestsUntil(node: TestNode, endsAt: number): Promise<number[]> {
	const statuses: number[] = [];
	while (performance.now() < endsAt) {
		const {status} = await sendRequest(`${node.callerUrl}/prices/ENGM`, headers);
		statuses.push(status);
	}

	return statuses;
}

async function getShare({name}: ManifestTarget, {received}: Measurement): Promise<number> {
	const total = [...received.values()].reduce((sum, count) => sum + count, 0);
	return (received.get(name) ?? 0) / Math.max(1, total);
}

async function sendToAllNodes(): Promise<number[]> {
	const responses = await Promise.all(nodes.map(async node => sendRequest(`${node.callerUrl}/prices/ENGM`, headers)));
	return responses.map(response => response.status);
}

async function getCounts(target: ManifestTarget): Promise<{received: number; healthReads: number}> {
	const response = await request(`${target.address}/counts`);
	return await response.body.json() as {received: number; healthReads: number};
}

async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const response = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await response.body.dump();
}
