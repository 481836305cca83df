/** Rollouts with each node and target in its own process, and deadlines of seconds. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, expect, test,
} from 'vitest';
import {Agent, request} from 'undici';
import {
	type TestNode, callAdmin, endProcesses, getManifest, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForVersion, waitUntil,
} from './helpers.js';

const key = 'rollout-key';
const regions = {oslo: ['oslo-a', 'oslo-b']};
const places = ['oslo-a', 'oslo-a', 'oslo-b'];
const deadlineMilliseconds = 14_000;
const callersPerNode = 3;
const callPauseMilliseconds = 15;
const slots = 60;
const callsAtFirstShare = 1000;
const testTimeoutMilliseconds = 40_000;
/** From the halt on sight to the last request of a bad version. */
const largestTailMilliseconds = 3000;

type ListedRollout = {name: string; phase: string; reason: string; share: number; deadlineAt: number; history: Array<{at: number; phase: string}>};
type Load = {readonly stop: () => Promise<void>; readonly failures: () => number; readonly calls: () => number};

const agent = new Agent({connections: callersPerNode * 3});
let nodes: TestNode[] = [];
let version = 0;
const loads = new Set<Load>();

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	nodes = await Promise.all(places.map(async (zone, index) =>
		startNodeProcess(platform, {name: `oslo-${index}`, region: 'oslo', zone})));
});

// A load that outlived a failed test would hide the failure behind errors of the agent that is closed.
afterEach(async () => {
	await Promise.all([...loads].map(async load => load.stop()));
	loads.clear();
});

afterAll(async () => {
	await agent.close();
	await endProcesses();
});

async function startVersions(newVersion: Record<string, number>): Promise<{oldTarget: string; newTarget: string}> {
	const [oldTarget = '', newTarget = ''] = await Promise.all(['old', 'new'].map(async () => startStandinProcess('target', ['--slots', String(slots)])));
	await request(`${newTarget}/behaviour`, {method: 'POST', body: JSON.stringify(newVersion)});
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
	// Each test starts from the old version again.
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration?allow-move-back=true', manifest + rollout);
	expect(applied).toMatchObject({status: 200});
	version = Number(applied.body.version);
	await waitForVersion(nodes, version);
	return manifest;
}

async function getRollout(name: string): Promise<ListedRollout | undefined> {
	const reply = await callAdmin(nodes[1]!, 'GET', '/v1/rollouts');
	return (reply.body.rollouts as ListedRollout[]).find(rollout => rollout.name === name);
}

async function waitForPhase(name: string, phases: readonly string[]): Promise<ListedRollout> {
	return waitUntil(async () => {
		const rollout = await getRollout(name);
		return rollout && phases.includes(rollout.phase) ? rollout : undefined;
	}, `${name} ${phases.join(' or ')}`);
}

async function countReceived(target: string): Promise<number> {
	const counts = await request(`${target}/counts`);
	const {received} = await counts.body.json() as {received: number};
	return received;
}

function startLoad(): Load {
	const ending = new AbortController();
	let failures = 0;
	let calls = 0;
	const call = async (node: TestNode): Promise<void> => {
		while (!ending.signal.aborted) {
			const answer = await request(`${node.caller}/prices/ENGM`, {headers: {authorization: `Bearer ${key}`}, dispatcher: agent});
			await answer.body.dump();
			calls += 1;
			failures += answer.statusCode === 200 ? 0 : 1;
			await delay(callPauseMilliseconds);
		}
	};

	const running = nodes.flatMap(node => Array.from({length: callersPerNode}, async () => call(node)));
	const load: Load = {
		failures: () => failures,
		calls: () => calls,
		async stop() {
			ending.abort();
			await Promise.all(running);
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
		const before = await countReceived(targets.oldTarget);
		await waitForCalls(load, 50);
		return await countReceived(targets.oldTarget) === before || undefined;
	}, 'all requests at the new version');
	const stale = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', oldManifest);
	expect(stale).toMatchObject({status: 409, body: {result: 'refused', issues: [expect.stringContaining('serves version "2" since rollout "good" was done')]}});
	const cleaned = oldManifest.replace(/(\[\[services\]\]\nname = "pricing"\nversion = )"1"/v, '$1"2"');
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', cleaned);
	expect(applied).toMatchObject({status: 200});
	await waitForVersion(nodes, Number(applied.body.version));
	const before = await countReceived(targets.oldTarget);
	await waitForCalls(load, 50);
	expect(await countReceived(targets.oldTarget)).toBe(before);
	expect(await callAdmin(nodes[0]!, 'POST', '/v1/configuration', oldManifest)).toMatchObject({status: 409});
	await load.stop();
	expect(load.failures()).toBe(0);
}, testTimeoutMilliseconds);

test('a failing version gets a small share, is taken back and gets nothing after', async () => {
	const targets = await startVersions({failureShare: 1});
	await applyRollout('bad', targets);
	const load = startLoad();
	const rollout = await waitForPhase('bad', ['done', 'reverted']);
	expect(rollout).toMatchObject({phase: 'reverted', share: 0, reason: 'failures on GET /prices/:airfield'});
	expect(rollout.history.at(-1)!.at).toBeLessThan(rollout.deadlineAt);
	await delay(largestTailMilliseconds);
	const received = await countReceived(targets.newTarget);
	await waitForCalls(load, 200);
	expect(await countReceived(targets.newTarget)).toBe(received);
	expect(received).toBeLessThan(load.calls() * 0.12);
	await load.stop();
	// Each failed attempt was retried at the old version.
	expect(load.failures()).toBe(0);
}, testTimeoutMilliseconds);

test('a request finds the old version where the node holds no slot of the new one', async () => {
	const targets = await startVersions({});
	await applyRollout('narrow', targets, 1);
	await waitForPhase('narrow', ['running']);
	const load = startLoad();
	await waitForCalls(load, callsAtFirstShare);
	await load.stop();
	expect(await countReceived(targets.newTarget)).toBeGreaterThan(0);
	expect(load.failures()).toBe(0);
}, testTimeoutMilliseconds);

test('an operator halts and resumes', async () => {
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

async function waitForCalls(load: Load, count: number): Promise<void> {
	const start = load.calls();
	await waitUntil(() => load.calls() >= start + count || undefined, `${count} further calls`);
}
