/** Rollouts with deadlines of seconds, with each node and target in its own process. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, expect, test,
} from 'vitest';
import {Agent, request} from 'undici';
import {
	type TestNode, callAdmin, endProcesses, getManifest, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForConfigurationVersion, waitUntil,
} from './helpers.js';

const key = 'rollout-key';
const regions = {oslo: ['oslo-a', 'oslo-b']};
const places = ['oslo-a', 'oslo-a', 'oslo-b'];
const deadlineMilliseconds = 14_000;
const callersPerNode = 3;
const requestPauseMilliseconds = 15;
const slots = 60;
const requestsAtFirstShare = 1000;
const testTimeoutMilliseconds = 40_000;
/** After a failing version is reverted, its last request arrives within this time. */
const maximumTailMilliseconds = 3000;

type ListedRollout = {name: string; phase: string; reason: string; share: number; deadlineAt: number; history: Array<{at: number; phase: string}>};
type Load = {readonly stop: () => Promise<void>; readonly getFailureCount: () => number; readonly getRequestCount: () => number};

const agent = new Agent({connections: callersPerNode * 3});
let nodes: TestNode[] = [];
let configurationVersion = 0;
const loads = new Set<Load>();

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	nodes = await Promise.all(places.map(async (zone, index) =>
		startNodeProcess(platform, {name: `oslo-${index}`, region: 'oslo', zone})));
});

// Without this, the load of a failed test would continue with a closed agent, and its errors would hide the failure.
afterEach(async () => {
	await Promise.all([...loads].map(async load => load.stop()));
	loads.clear();
});

afterAll(async () => {
	await agent.close();
	await endProcesses();
});

async function startVersions(newBehaviour: Record<string, number>): Promise<{oldTarget: string; newTarget: string}> {
	const [oldTarget = '', newTarget = ''] = await Promise.all(['old', 'new'].map(async () => startStandinProcess('target', ['--slots', String(slots)])));
	await request(`${newTarget}/behaviour`, {method: 'POST', body: JSON.stringify(newBehaviour)});
	return {oldTarget, newTarget};
}

async function applyRollout(name: string, targets: {oldTarget: string; newTarget: string}, newSlots = slots): Promise<string> {
	const place = {region: 'oslo', zone: 'oslo-a'};
	const manifest = getManifest(regions, [
		{
			name: `${name}-old`, address: targets.oldTarget, ...place, slots,
		},
		{
			name: `${name}-new`, address: targets.newTarget, ...place, slots: newSlots,
		},
	], key).replace(/(name = "\S+-new"\nservice = "pricing"\nversion = )"1"/v, '$1"2"');
	const deadline = new Date(Date.now() + deadlineMilliseconds).toISOString();
	const rollout = `[[rollouts]]\nname = "${name}"\nservice = "pricing"\nfrom = "1"\nto = "2"\ndeadline = "${deadline}"\n`;
	// The query allows each test to go back to the old version.
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration?allow-move-back=true', manifest + rollout);
	expect(applied).toMatchObject({status: 200});
	configurationVersion = Number(applied.body.version);
	await waitForConfigurationVersion(nodes, configurationVersion);
	return manifest;
}

async function getRollout(name: string): Promise<ListedRollout | undefined> {
	const response = await callAdmin(nodes[1]!, 'GET', '/v1/rollouts');
	return (response.body.rollouts as ListedRollout[]).find(rollout => rollout.name === name);
}

async function waitForPhase(name: string, phases: readonly string[]): Promise<ListedRollout> {
	return waitUntil(async () => {
		const rollout = await getRollout(name);
		return rollout && phases.includes(rollout.phase) ? rollout : undefined;
	}, `${name} ${phases.join(' or ')}`);
}

async function countReceived(target: string): Promise<number> {
	const response = await request(`${target}/counts`);
	const {received} = await response.body.json() as {received: number};
	return received;
}

function startLoad(): Load {
	const loadStop = new AbortController();
	let failureCount = 0;
	let requestCount = 0;
	const sendRequests = async (node: TestNode): Promise<void> => {
		while (!loadStop.signal.aborted) {
			const response = await request(`${node.callerUrl}/prices/ENGM`, {headers: {authorization: `Bearer ${key}`}, dispatcher: agent});
			await response.body.dump();
			requestCount += 1;
			failureCount += response.statusCode === 200 ? 0 : 1;
			await delay(requestPauseMilliseconds);
		}
	};

	const requestLoops = nodes.flatMap(node => Array.from({length: callersPerNode}, async () => sendRequests(node)));
	const load: Load = {
		getFailureCount: () => failureCount,
		getRequestCount: () => requestCount,
		async stop() {
			loadStop.abort();
			await Promise.all(requestLoops);
		},
	};
	loads.add(load);
	return load;
}

test('a good version is done before its deadline', async () => {
	const targets = await startVersions({});
	const oldManifest = await applyRollout('good', targets);
	const load = startLoad();
	const rollout = await waitForPhase('good', ['done', 'reverted']);
	expect(rollout).toMatchObject({phase: 'done'});
	expect(rollout.history.at(-1)!.at).toBeLessThan(rollout.deadlineAt);
	await waitUntil(async () => {
		const receivedAtStart = await countReceived(targets.oldTarget);
		await waitForRequests(load, 50);
		return await countReceived(targets.oldTarget) === receivedAtStart || undefined;
	}, 'no requests at the old version');
	const staleResponse = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', oldManifest);
	expect(staleResponse).toMatchObject({status: 409, body: {result: 'refused', issues: [expect.stringContaining('serves version "2" since rollout "good" was done')]}});
	const cleanedManifest = oldManifest.replace(/(\[\[services\]\]\nname = "pricing"\nversion = )"1"/v, '$1"2"');
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', cleanedManifest);
	expect(applied).toMatchObject({status: 200});
	await waitForConfigurationVersion(nodes, Number(applied.body.version));
	const receivedBefore = await countReceived(targets.oldTarget);
	await waitForRequests(load, 50);
	expect(await countReceived(targets.oldTarget)).toBe(receivedBefore);
	expect(await callAdmin(nodes[0]!, 'POST', '/v1/configuration', oldManifest)).toMatchObject({status: 409});
	await load.stop();
	expect(load.getFailureCount()).toBe(0);
}, testTimeoutMilliseconds);

test('a failing version gets a small share, is reverted and gets no requests afterwards', async () => {
	const targets = await startVersions({failureShare: 1});
	await applyRollout('bad', targets);
	const load = startLoad();
	const rollout = await waitForPhase('bad', ['done', 'reverted']);
	expect(rollout).toMatchObject({phase: 'reverted', share: 0, reason: 'failures on GET /prices/:airfield'});
	expect(rollout.history.at(-1)!.at).toBeLessThan(rollout.deadlineAt);
	await delay(maximumTailMilliseconds);
	const received = await countReceived(targets.newTarget);
	await waitForRequests(load, 200);
	expect(await countReceived(targets.newTarget)).toBe(received);
	expect(received).toBeLessThan(load.getRequestCount() * 0.12);
	await load.stop();
	// Each failed attempt is retried at the old version.
	expect(load.getFailureCount()).toBe(0);
}, testTimeoutMilliseconds);

test('a request goes to the old version on a node that has no slot of the new one', async () => {
	const targets = await startVersions({});
	await applyRollout('narrow', targets, 1);
	await waitForPhase('narrow', ['running']);
	const load = startLoad();
	await waitForRequests(load, requestsAtFirstShare);
	await load.stop();
	expect(await countReceived(targets.newTarget)).toBeGreaterThan(0);
	expect(load.getFailureCount()).toBe(0);
}, testTimeoutMilliseconds);

test('an operator halts and resumes a rollout', async () => {
	const targets = await startVersions({});
	await applyRollout('stopped', targets);
	await waitForPhase('stopped', ['running']);
	const halted = await callAdmin(nodes[2]!, 'POST', '/v1/rollouts/halt?name=stopped&reason=wait');
	expect(halted).toMatchObject({status: 200, body: {result: 'halted'}});
	expect(await waitForPhase('stopped', ['halted'])).toMatchObject({share: 0, reason: 'wait'});
	const resumed = await callAdmin(nodes[0]!, 'POST', '/v1/rollouts/resume?name=stopped');
	expect(resumed).toMatchObject({status: 200, body: {result: 'running'}});
	const ended = await waitForPhase('stopped', ['reverted', 'done']);
	expect(ended.history.at(-1)!.at).toBeLessThan(ended.deadlineAt);
}, testTimeoutMilliseconds);

async function waitForRequests(load: Load, count: number): Promise<void> {
	const initialRequestCount = load.getRequestCount();
	await waitUntil(() => load.getRequestCount() >= initialRequestCount + count || undefined, `${count} further requests`);
}
