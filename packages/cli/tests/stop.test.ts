/** Planned stops under load: no request is cut off, none is refused that another entry could serve. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {Agent, request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, applyManifest, endProcesses, getManifest, getPeerAddress, listMachines, startFleet,
	startNodeProcess, startPlatformProcesses, startTargets, waitForServing,
} from './helpers.js';

const callers = 6;
const lookupMilliseconds = 200;
const holdMilliseconds = 1000;
const slowMilliseconds = 300;
const key = 'stop-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a']};
const places = ['oslo-1', 'oslo-2', 'bergen-1', 'bergen-2'].map(name => {
	const region = name.split('-', 1)[0] ?? '';
	return {name, region, zone: `${region}-a`};
});
const settings = `timing = {lookupHoldMilliseconds = ${holdMilliseconds}}`;
let platform: TestPlatform;
let targets: ManifestTarget[] = [];
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	targets = await startTargets(places.filter(place => place.name.endsWith('1')));
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: slowMilliseconds})));
	nodes = await startFleet(platform, places, `lookupHoldMilliseconds = ${holdMilliseconds}`);
	await applyManifest(nodes, getManifest(regions, targets, key));
});

afterAll(endProcesses);

test('each node in turn stops and is replaced under load', async () => {
	const load = startLoad();
	await delay(1000);
	for (const place of places) {
		await replaceNode(place);
	}

	const outcomes = await load.end();
	expect(outcomes.filter(outcome => outcome !== 'served')).toEqual([]);
	expect(outcomes.length).toBeGreaterThan(callers * places.length);
	const runs = await Promise.all(targets.map(async target => getRuns(target)));
	expect(runs.flat().filter(times => times !== 1)).toEqual([]);
}, 60_000);

test('a stopping node says so in its answers, and ends with exit code 0 and its drain time', async () => {
	const stopping = nodes[0]!;
	stopping.signal('SIGTERM');
	await stopping.waitFor(/event=(drain_started)/v);
	const answer = await request(`${stopping.caller}/prices/ENGM`, {headers});
	await answer.body.dump();
	expect(answer.headers.connection).toBe('close');
	expect(await stopping.exit()).toBe(0);
	expect(Number(await stopping.waitFor(/event=stopped drain_seconds=(\S+)/v))).toBeGreaterThanOrEqual(holdMilliseconds / 1000);
	expect(stopping.output()).not.toContain('requests_cut_off');
});

/** Starts a replacement under a new name, as the platform does, then stops the old node. */
async function replaceNode(place: TestNodePlace): Promise<void> {
	const index = nodes.findIndex(node => node.name === place.name);
	const peers = [await getPeerAddress(nodes[index]!)];
	const name = `${place.name}-new`;
	await listMachines(platform, [...nodes.map(node => node.name), name]);
	const replacement = await startNodeProcess(platform, {...place, name}, `${settings}\npeers = ${JSON.stringify(peers)}`);
	await waitForServing([...nodes, replacement], nodes.length + 1);
	const old = nodes[index]!;
	old.signal('SIGTERM');
	nodes[index] = replacement;
	expect(await old.exit()).toBe(0);
	await waitForServing(nodes, nodes.length);
}

type Load = {readonly end: () => Promise<string[]>};

/** Callers that look up entries now and then and send orders, each once unless told that it wasn't run. */
function startLoad(): Load {
	const ending = new AbortController();
	const outcomes: string[] = [];
	const runCaller = async (caller: number): Promise<void> => {
		const agent = new Agent({keepAliveTimeout: 10_000});
		let entries: string[] = [];
		let lookedUpAt = Number.NEGATIVE_INFINITY;
		for (let order = 0; !ending.signal.aborted; order++) {
			if (performance.now() - lookedUpAt > lookupMilliseconds) {
				entries = await lookUp(nodes[caller % nodes.length]!, agent);
				lookedUpAt = performance.now();
			}

			outcomes.push(await sendOrder(entries, `caller ${caller} order ${order}`, agent));
		}

		await agent.close();
	};

	const running = Promise.all(Array.from({length: callers}, async (_, caller) => runCaller(caller)));
	return {
		async end() {
			ending.abort();
			await running;
			return outcomes;
		},
	};
}

async function lookUp(node: TestNode, dispatcher: Agent): Promise<string[]> {
	const answer = await request(`${node.caller}/v1/entries?service=pricing`, {dispatcher});
	const body = await answer.body.json() as {entries?: Array<{address: string}>};
	const {entries} = body;
	if (!entries) {
		throw new Error(`no look-up: ${JSON.stringify(body)}`);
	}

	return entries.map(({address}) => `http://${address}`);
}

/** Tries the entries in order as long as the answer says that nothing was run. */
async function sendOrder(entries: readonly string[], body: string, dispatcher: Agent): Promise<string> {
	let last = 'no entry';
	for (const entry of entries) {
		try {
			const answer = await request(`${entry}/orders`, {
				method: 'POST', headers, body, dispatcher,
			});
			const text = await answer.body.text();
			if (answer.statusCode === 200) {
				return 'served';
			}

			last = `${answer.statusCode} ${text}`;
			if (answer.headers['catkindale-outcome'] !== 'not-run') {
				return last;
			}
		} catch (error) {
			return `cut off: ${String(error)} at ${entry}`;
		}
	}

	return last;
}

async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const answer = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await answer.body.dump();
}

async function getRuns(target: ManifestTarget): Promise<number[]> {
	const answer = await request(`${target.address}/counts`);
	const {runs} = await answer.body.json() as {runs: Record<string, number>};
	return Object.values(runs);
}
