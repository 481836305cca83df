/**
 * At-most-once execution with real processes. Callers repeat requests whatever
 * the outcome of the first attempt, while nodes are killed at each step, the
 * table fails or loses responses, and nodes stop as planned.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, callAdmin, endProcesses, getManifest, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForConfigurationVersion, waitUntil,
} from './helpers.js';

const callerKey = 'at-most-once-key';
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const slowServiceMilliseconds = 1500;
const quickServiceMilliseconds = 5;
const retriedStatuses = new Set([429, 503]);
let nodes: TestNode[] = [];
let targetUrls: string[] = [];
let tableUrl = '';
let createdKeyCount = 0;

type OrderResponse = {readonly status: number; readonly outcome: string; readonly body: string};
type KeyForm = 'ticket' | 'opaque';

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	tableUrl = platform.tableUrl;
	targetUrls = await Promise.all(Object.keys(regions).map(async () => startStandinProcess('target', ['--slots', '30'])));
	const places = Object.keys(regions).flatMap(region => [1, 2, 3].map(index => ({name: `${region}-${index}`, region, zone: `${region}-a`})));
	nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place, 'timing = {lookupHoldMilliseconds = 0}')));
	const manifest = getManifest(regions, Object.keys(regions).map((region, index) => ({
		name: `pricing-${region}`, address: targetUrls[index] ?? '', region, zone: `${region}-a`, slots: 30,
	})), callerKey);
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied).toMatchObject({status: 200});
	await waitForConfigurationVersion(nodes, 1);
	for (const node of nodes) {
		expect(await placeOrder(node, createOpaqueKey())).toMatchObject({outcome: 'ran'});
	}
}, 60_000);

afterAll(endProcesses);

describe.each<{form: KeyForm}>([{form: 'ticket'}, {form: 'opaque'}])('with a key of the form $form', ({form}) => {
	test('a request that is repeated at other entries runs once and returns the same response', async () => {
		const key = await createKey(form, nodes[0]!);
		const first = await placeOrder(nodes[0]!, key);
		expect(first).toMatchObject({status: 200, outcome: 'ran'});
		for (const node of nodes) {
			expect(await placeOrder(node, key)).toEqual(first);
		}

		expect(await countRuns(key)).toBe(1);
	});

	test('a repeated request is marked as replayed by every entry', async () => {
		const key = await createKey(form, nodes[0]!);
		const responses = [await sendOrderRequest(nodes[0]!, key)];
		for (const node of nodes) {
			responses.push(await sendOrderRequest(node, key));
		}

		const replayedHeaders = responses.map(response => response.headers['catkindale-replayed']);
		expect(replayedHeaders).toEqual([undefined, ...nodes.map(() => 'true')]);
		await Promise.all(responses.map(async response => response.body.dump()));
	});

	test('concurrent attempts run once and return the same response', async () => {
		await setBehaviour({serviceMilliseconds: 300});
		const key = await createKey(form, nodes[0]!);
		const responses = await Promise.all(nodes.flatMap(node => [placeOrder(node, key), placeOrder(node, key)]));
		await setBehaviour({serviceMilliseconds: quickServiceMilliseconds});
		expect(new Set(responses.map(response => response.outcome))).toEqual(new Set(['ran']));
		expect(new Set(responses.map(response => response.body)).size).toBe(1);
		expect(await countRuns(key)).toBe(1);
	});

	test('a caller that disconnected gets the response of its first attempt when it repeats the request', async () => {
		await setBehaviour({serviceMilliseconds: 500});
		const key = await createKey(form, nodes[0]!);
		const callerAbort = new AbortController();
		const first = sendOrder(nodes[0]!, key, callerAbort.signal);
		await delay(200);
		callerAbort.abort();
		await expect(first).rejects.toThrow();
		expect(await placeOrder(nodes[1]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await setBehaviour({serviceMilliseconds: quickServiceMilliseconds});
		expect(await countRuns(key)).toBe(1);
	});

	test('a key that was used for one request is refused for another', async () => {
		const key = await createKey(form, nodes[0]!);
		await placeOrder(nodes[0]!, key);
		expect(await placeOrder(nodes[1]!, key, '{"litres": 1}')).toMatchObject({status: 422, outcome: 'not-run'});
		expect(await countRuns(key)).toBe(1);
	});

	test('the outcome of a request whose target response is lost is unknown and stays unknown', async () => {
		await setBehaviour({crossedShare: 1});
		const key = await createKey(form, nodes[0]!);
		expect(await placeOrder(nodes[0]!, key)).toMatchObject({status: 502, outcome: 'unknown'});
		await setBehaviour({crossedShare: 0});
		expect(await placeOrder(nodes[1]!, key)).toMatchObject({status: 409, outcome: 'unknown'});
		expect(await countRuns(key)).toBe(1);
	});
});

describe('while the table is down', () => {
	test('a request with an opaque key isn\'t run, one with a ticket is', async () => {
		const [opaqueKey, ticketKey] = [createOpaqueKey(), await createKey('ticket', nodes[0]!)];
		await setTableFaults({outage: true});
		expect(await sendOrder(nodes[0]!, opaqueKey)).toMatchObject({status: 503, outcome: 'not-run'});
		expect(await placeOrder(nodes[0]!, ticketKey)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await countRuns(opaqueKey)).toBe(0);
		await setTableFaults({});
		expect(await placeOrder(nodes[1]!, opaqueKey)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await countRuns(opaqueKey)).toBe(1);
		expect(await countRuns(ticketKey)).toBe(1);
	});

	test('a lost response of the table is resolved by reading the row back', async () => {
		const key = createOpaqueKey();
		await setTableFaults({lostAnswerShare: 1});
		expect(await placeOrder(nodes[0]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await placeOrder(nodes[1]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await setTableFaults({});
		expect(await countRuns(key)).toBe(1);
	});
});

describe('an entry that is killed', () => {
	test.each<{name: string; form: KeyForm; runs: number; outcome: string}>([
		{
			name: 'before dispatch', form: 'ticket', runs: 0, outcome: 'unknown',
		},
		{
			name: 'after dispatch', form: 'ticket', runs: 1, outcome: 'unknown',
		},
		{
			name: 'after dispatch', form: 'opaque', runs: 1, outcome: 'unknown',
		},
		{
			name: 'after the answer', form: 'ticket', runs: 1, outcome: 'unknown',
		},
		{
			name: 'after the answer', form: 'opaque', runs: 1, outcome: 'ran',
		},
	])('$name leaves a $form key whose request is never run again: $outcome', async ({name, form, runs, outcome}) => {
		const entryNode = takeLastNode();
		const key = await createKey(form, entryNode);
		if (name === 'after dispatch') {
			await setBehaviour({serviceMilliseconds: slowServiceMilliseconds});
			const [first] = await Promise.allSettled([sendOrder(entryNode, key), killDuringService(entryNode)]);
			expect(first.status).toBe('rejected');
			await setBehaviour({serviceMilliseconds: quickServiceMilliseconds});
		} else {
			if (name === 'after the answer') {
				expect(await placeOrder(entryNode, key)).toMatchObject({outcome: 'ran'});
				await delay(100);
			}

			entryNode.sendSignal('SIGKILL');
		}

		await entryNode.waitForExit();
		await delay(slowServiceMilliseconds);
		const responses = await Promise.all([nodes[0]!, nodes[1]!].map(async node => placeOrder(node, key)));
		expect(responses.map(response => response.outcome)).toEqual([outcome, outcome]);
		// A target that supports cancellation may not have run the request that was dispatched to it.
		expect(await countRuns(key)).toBeLessThanOrEqual(runs);
		expect(name === 'after the answer' ? await countRuns(key) : 1).toBe(1);
	}, 60_000);
});

describe('an entry with a planned stop', () => {
	test('lets a request finish after its caller disconnected', async () => {
		await setBehaviour({serviceMilliseconds: slowServiceMilliseconds});
		const entryNode = takeLastNode();
		const key = await createKey('ticket', entryNode);
		const callerAbort = new AbortController();
		const first = sendOrder(entryNode, key, callerAbort.signal);
		await delay(slowServiceMilliseconds / 3);
		callerAbort.abort();
		await expect(first).rejects.toThrow();
		entryNode.sendSignal('SIGTERM');
		expect(await entryNode.waitForExit()).toBe(0);
		expect(await placeOrder(nodes[0]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await setBehaviour({serviceMilliseconds: quickServiceMilliseconds});
		expect(await countRuns(key)).toBe(1);
	}, 60_000);

	test('hands its outcomes over to its successor', async () => {
		const entryNode = takeLastNode();
		const [usedKey, unusedKey] = [await createKey('ticket', entryNode), await createKey('ticket', entryNode)];
		const first = await placeOrder(entryNode, usedKey);
		expect(first).toMatchObject({outcome: 'ran'});
		entryNode.sendSignal('SIGTERM');
		expect(await entryNode.waitForExit()).toBe(0);
		expect(await placeOrder(nodes[0]!, usedKey)).toEqual(first);
		expect(await placeOrder(nodes[1]!, usedKey)).toEqual(first);
		expect(await placeOrder(nodes[0]!, unusedKey)).toMatchObject({status: 409, outcome: 'not-run'});
		expect([await countRuns(usedKey), await countRuns(unusedKey)]).toEqual([1, 0]);
	}, 60_000);
});

/** Removes the last node for the test to kill or stop; the first two nodes stay for the repeated requests. */
function takeLastNode(): TestNode {
	expect(nodes.length).toBeGreaterThan(2);
	return nodes.pop()!;
}

async function killDuringService(node: TestNode): Promise<void> {
	await delay(slowServiceMilliseconds / 3);
	node.sendSignal('SIGKILL');
}

function createOpaqueKey(): string {
	createdKeyCount += 1;
	return `order-${createdKeyCount}`;
}

async function createKey(form: KeyForm, entryNode: TestNode): Promise<string> {
	if (form === 'opaque') {
		return createOpaqueKey();
	}

	const prefix = await waitUntil(async () => {
		const lookup = await request(`${nodes[0]!.callerUrl}/v1/entries?service=pricing`);
		const {entries} = await lookup.body.json() as {entries: Array<{address: string; ticketPrefix: string}>};
		return entries.find(entry => entryNode.callerUrl.endsWith(entry.address))?.ticketPrefix;
	}, `a lookup that returns ${entryNode.callerUrl}`);
	return `${prefix}${createOpaqueKey()}`;
}

/** Sends the order, and repeats it while the node responds with 429 or 503. */
async function placeOrder(node: TestNode, key: string, body?: string): Promise<OrderResponse> {
	return waitUntil(async () => {
		const response = await sendOrder(node, key, undefined, body);
		return retriedStatuses.has(response.status) ? undefined : response;
	}, `a response from ${node.name}`);
}

async function sendOrder(node: TestNode, key: string, signal?: AbortSignal, body?: string): Promise<OrderResponse> {
	const response = await sendOrderRequest(node, key, signal, body);
	return {status: response.statusCode, outcome: String(response.headers['catkindale-outcome']), body: await response.body.text()};
}

async function sendOrderRequest(node: TestNode, key: string, signal?: AbortSignal, body = '{"litres": 900}'): ReturnType<typeof request> {
	return request(`${node.callerUrl}/orders`, {
		method: 'POST', body, signal, headers: {'x-api-key': callerKey, 'idempotency-key': key},
	});
}

async function setBehaviour(behaviour: Record<string, number>): Promise<void> {
	await Promise.all(targetUrls.map(async targetUrl => postSettings(`${targetUrl}/behaviour`, behaviour)));
}

async function setTableFaults(faults: Record<string, boolean | number>): Promise<void> {
	await postSettings(`${tableUrl}/faults`, faults);
}

async function postSettings(url: string, settings: Record<string, boolean | number>): Promise<void> {
	const response = await request(url, {method: 'POST', body: JSON.stringify(settings)});
	await response.body.dump();
}

/** Counts how often all targets together ran the request with this key. */
async function countRuns(key: string): Promise<number> {
	const counts = await Promise.all(targetUrls.map(async targetUrl => {
		const response = await request(`${targetUrl}/counts`);
		const {runs} = await response.body.json() as {runs: Record<string, number>};
		return runs[key] ?? 0;
	}));
	return counts.reduce((sum, count) => sum + count, 0);
}
