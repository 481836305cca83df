/** Planned stops under load: every request is served by one of the entries and run once, and none is cut off. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {Agent, request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, applyManifest, endProcesses, getManifest, getPeerAddress, setMachineList, startFleet,
	startNodeProcess, startPlatformProcesses, startTargets, waitForServingMembers,
} from './helpers.js';

const callerCount = 6;
const lookupIntervalMilliseconds = 200;
const lookupHoldMilliseconds = 1000;
const serviceMilliseconds = 300;
const key = 'stop-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a']};
const places = ['oslo-1', 'oslo-2', 'bergen-1', 'bergen-2'].map(name => {
	const region = name.split('-', 1)[0] ?? '';
	return {name, region, zone: `${region}-a`};
});
const nodeSettings = `timing = {lookupHoldMilliseconds = ${lookupHoldMilliseconds}}`;
let platform: TestPlatform;
let targets: ManifestTarget[] = [];
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	targets = await startTargets(places.filter(place => place.name.endsWith('1')));
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds})));
	nodes = await startFleet(platform, places, `lookupHoldMilliseconds = ${lookupHoldMilliseconds}`);
	await applyManifest(nodes, getManifest(regions, targets, key));
});

afterAll(endProcesses);

test('each node in turn is stopped and replaced under load', async () => {
	const load = startLoad();
	await delay(1000);
	for (const place of places) {
		await replaceNode(place);
	}

	const outcomes = await load.stop();
	expect(outcomes.filter(outcome => outcome !== 'served')).toEqual([]);
	expect(outcomes.length).toBeGreaterThan(callerCount * places.length);
	const runs = await Promise.all(targets.map(async target => readRunCounts(target)));
	expect(runs.flat().filter(times => times !== 1)).toEqual([]);
}, 60_000);

test('a stopping node closes the connection after each response, logs its drain time and exits with code 0', async () => {
	const stoppingNode = nodes[0]!;
	stoppingNode.sendSignal('SIGTERM');
	await stoppingNode.waitForOutput(/event=(drain_started)/v);
	const response = await request(`${stoppingNode.callerUrl}/prices/ENGM`, {headers});
	await response.body.dump();
	expect(response.headers.connection).toBe('close');
	expect(await stoppingNode.waitForExit()).toBe(0);
	expect(Number(await stoppingNode.waitForOutput(/event=stopped drain_seconds=(\S+)/v))).toBeGreaterThanOrEqual(lookupHoldMilliseconds / 1000);
	expect(stoppingNode.getOutput()).not.toContain('requests_cut_off');
});

// A signal without a handler ends the process at once, with all requests that it runs.
test.each([
	{index: 1, signals: ['SIGTERM', 'SIGTERM']},
	{index: 2, signals: ['SIGINT', 'SIGTERM', 'SIGINT']},
	{index: 3, signals: ['SIGHUP', 'SIGTERM']},
] as const)('a node that gets $signals answers the orders at work and exits with code 0', async ({index, signals}) => {
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: 800})));
	const node = nodes[index]!;
	const orders = Promise.all(['a', 'b', 'c'].map(async order => request(`${node.callerUrl}/orders`, {method: 'POST', headers, body: `${index} ${order}`})));
	await delay(200);
	for (const signal of signals) {
		node.sendSignal(signal);
		await delay(100);
	}

	const responses = await orders;
	expect(responses.map(({statusCode}) => statusCode)).toEqual([200, 200, 200]);
	await Promise.all(responses.map(async ({body}) => body.dump()));
	expect(await node.waitForExit()).toBe(0);
});

/** Starts a replacement with a new name, as the platform does, and then stops the old node. */
async function replaceNode(place: TestNodePlace): Promise<void> {
	const index = nodes.findIndex(node => node.name === place.name);
	const peers = [await getPeerAddress(nodes[index]!)];
	const name = `${place.name}-new`;
	await setMachineList(platform, [...nodes.map(node => node.name), name]);
	const replacement = await startNodeProcess(platform, {...place, name}, `${nodeSettings}\npeers = ${JSON.stringify(peers)}`);
	await waitForServingMembers([...nodes, replacement], nodes.length + 1);
	const oldNode = nodes[index]!;
	oldNode.sendSignal('SIGTERM');
	nodes[index] = replacement;
	expect(await oldNode.waitForExit()).toBe(0);
	await waitForServingMembers(nodes, nodes.length);
}

type Load = {readonly stop: () => Promise<string[]>};

/** Starts callers that regularly look up entries and send orders; an order goes to the next entry only if it wasn't run. */
function startLoad(): Load {
	const loadStop = new AbortController();
	const outcomes: string[] = [];
	const runCaller = async (callerIndex: number): Promise<void> => {
		const agent = new Agent({keepAliveTimeout: 10_000});
		let entries: string[] = [];
		let lookedUpAt = Number.NEGATIVE_INFINITY;
		for (let order = 0; !loadStop.signal.aborted; order++) {
			if (performance.now() - lookedUpAt > lookupIntervalMilliseconds) {
				entries = await lookUpEntries(nodes[callerIndex % nodes.length]!, agent);
				lookedUpAt = performance.now();
			}

			outcomes.push(await sendOrder(entries, `caller ${callerIndex} order ${order}`, agent));
		}

		await agent.close();
	};

	const callerLoops = Promise.all(Array.from({length: callerCount}, async (_, callerIndex) => runCaller(callerIndex)));
	return {
		async stop() {
			loadStop.abort();
			await callerLoops;
			return outcomes;
		},
	};
}

async function lookUpEntries(node: TestNode, dispatcher: Agent): Promise<string[]> {
	const response = await request(`${node.callerUrl}/v1/entries?service=pricing`, {dispatcher});
	const body = await response.body.json() as {entries?: Array<{address: string}>};
	const {entries} = body;
	if (!entries) {
		throw new Error(`the lookup response has no entries: ${JSON.stringify(body)}`);
	}

	return entries.map(({address}) => `http://${address}`);
}

/** Tries the entries in order while the response states that the order wasn't run; returns `served` or the failure. */
async function sendOrder(entries: readonly string[], body: string, dispatcher: Agent): Promise<string> {
	let lastFailure = 'no entry';
	for (const entry of entries) {
		try {
			const response = await request(`${entry}/orders`, {
				method: 'POST', headers, body, dispatcher,
			});
			const text = await response.body.text();
			if (response.statusCode === 200) {
				return 'served';
			}

			lastFailure = `${response.statusCode} ${text}`;
			if (response.headers['catkindale-outcome'] !== 'not-run') {
				return lastFailure;
			}
		} catch (error) {
			return `cut off: ${String(error)} at ${entry}`;
		}
	}

	return lastFailure;
}

async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const response = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await response.body.dump();
}

async function readRunCounts(target: ManifestTarget): Promise<number[]> {
	const response = await request(`${target.address}/counts`);
	const {runs} = await response.body.json() as {runs: Record<string, number>};
	return Object.values(runs);
}
