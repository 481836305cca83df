/** Blind repetitions with real processes: kills at every step, table faults, planned stops. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, callAdmin, endProcesses, getManifest, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForVersion, waitUntil,
} from './helpers.js';

const callerKey = 'at-most-once-key';
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const slowMilliseconds = 1500;
const quickMilliseconds = 5;
const busyStatuses = new Set([429, 503]);
let nodes: TestNode[] = [];
let targets: string[] = [];
let table = '';
let keys = 0;

type Reply = {readonly status: number; readonly outcome: string; readonly body: string};
type KeyForm = 'ticket' | 'opaque';

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	table = platform.table;
	targets = await Promise.all(Object.keys(regions).map(async () => startStandinProcess('target', ['--slots', '30'])));
	const places = Object.keys(regions).flatMap(region => [1, 2, 3].map(index => ({name: `${region}-${index}`, region, zone: `${region}-a`})));
	nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place, 'timing = {lookupHoldMilliseconds = 0}')));
	const manifest = getManifest(regions, Object.keys(regions).map((region, index) => ({
		name: `pricing-${region}`, address: targets[index] ?? '', region, zone: `${region}-a`, slots: 30,
	})), callerKey);
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied).toMatchObject({status: 200});
	await waitForVersion(nodes, 1);
	for (const node of nodes) {
		expect(await order(node, createOpaqueKey())).toMatchObject({outcome: 'ran'});
	}
}, 60_000);

afterAll(endProcesses);

describe.each<{form: KeyForm}>([{form: 'ticket'}, {form: 'opaque'}])('with a key of the form $form', ({form}) => {
	test('a request that is repeated at other entries runs once and gives the same answer', async () => {
		const key = await createKey(form, nodes[0]!);
		const first = await order(nodes[0]!, key);
		expect(first).toMatchObject({status: 200, outcome: 'ran'});
		for (const node of nodes) {
			expect(await order(node, key)).toEqual(first);
		}

		expect(await getRuns(key)).toBe(1);
	});

	test('a repetition says that it is one, at every entry', async () => {
		const key = await createKey(form, nodes[0]!);
		const replies = [await sendRaw(nodes[0]!, key)];
		for (const node of nodes) {
			replies.push(await sendRaw(node, key));
		}

		const marks = replies.map(reply => reply.headers['catkindale-replayed']);
		expect(marks).toEqual([undefined, ...nodes.map(() => 'true')]);
		await Promise.all(replies.map(async reply => reply.body.dump()));
	});

	test('attempts that come together run once and get the same answer', async () => {
		await behave({serviceMilliseconds: 300});
		const key = await createKey(form, nodes[0]!);
		const replies = await Promise.all(nodes.flatMap(node => [order(node, key), order(node, key)]));
		await behave({serviceMilliseconds: quickMilliseconds});
		expect(new Set(replies.map(reply => reply.outcome))).toEqual(new Set(['ran']));
		expect(new Set(replies.map(reply => reply.body)).size).toBe(1);
		expect(await getRuns(key)).toBe(1);
	});

	test('a caller that went away gets the answer of its first attempt', async () => {
		await behave({serviceMilliseconds: 500});
		const key = await createKey(form, nodes[0]!);
		const leaving = new AbortController();
		const first = send(nodes[0]!, key, leaving.signal);
		await delay(200);
		leaving.abort();
		await expect(first).rejects.toThrow();
		expect(await order(nodes[1]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await behave({serviceMilliseconds: quickMilliseconds});
		expect(await getRuns(key)).toBe(1);
	});

	test('the key can\'t stand for another request', async () => {
		const key = await createKey(form, nodes[0]!);
		await order(nodes[0]!, key);
		expect(await order(nodes[1]!, key, '{"litres": 1}')).toMatchObject({status: 422, outcome: 'not-run'});
		expect(await getRuns(key)).toBe(1);
	});

	test('a lost answer of the target is unknown and stays so', async () => {
		await behave({crossedShare: 1});
		const key = await createKey(form, nodes[0]!);
		expect(await order(nodes[0]!, key)).toMatchObject({status: 502, outcome: 'unknown'});
		await behave({crossedShare: 0});
		expect(await order(nodes[1]!, key)).toMatchObject({status: 409, outcome: 'unknown'});
		expect(await getRuns(key)).toBe(1);
	});
});

describe('while the table is down', () => {
	test('an opaque key isn\'t run, a ticket is', async () => {
		const [opaque, ticket] = [createOpaqueKey(), await createKey('ticket', nodes[0]!)];
		await setTableFaults({outage: true});
		expect(await send(nodes[0]!, opaque)).toMatchObject({status: 503, outcome: 'not-run'});
		expect(await order(nodes[0]!, ticket)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await getRuns(opaque)).toBe(0);
		await setTableFaults({});
		expect(await order(nodes[1]!, opaque)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await getRuns(opaque)).toBe(1);
		expect(await getRuns(ticket)).toBe(1);
	});

	test('a lost answer of the table is resolved by reading back', async () => {
		const key = createOpaqueKey();
		await setTableFaults({lostAnswerShare: 1});
		expect(await order(nodes[0]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		expect(await order(nodes[1]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await setTableFaults({});
		expect(await getRuns(key)).toBe(1);
	});
});

describe('a home entry that is killed', () => {
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
	])('$name leaves a $form that is never run again: $outcome', async ({name, form, runs, outcome}) => {
		const home = takeVictim();
		const key = await createKey(form, home);
		if (name === 'after dispatch') {
			await behave({serviceMilliseconds: slowMilliseconds});
			const [first] = await Promise.allSettled([send(home, key), killLater(home)]);
			expect(first.status).toBe('rejected');
			await behave({serviceMilliseconds: quickMilliseconds});
		} else {
			if (name === 'after the answer') {
				expect(await order(home, key)).toMatchObject({outcome: 'ran'});
				await delay(100);
			}

			home.signal('SIGKILL');
		}

		await home.exit();
		await delay(slowMilliseconds);
		const replies = await Promise.all([nodes[0]!, nodes[1]!].map(async node => order(node, key)));
		expect(replies.map(reply => reply.outcome)).toEqual([outcome, outcome]);
		// A target that accepts cancellation may not have run what was handed over.
		expect(await getRuns(key)).toBeLessThanOrEqual(runs);
		expect(name === 'after the answer' ? await getRuns(key) : 1).toBe(1);
	}, 60_000);
});

describe('a home entry that is stopped as planned', () => {
	test('lets a request finish whose caller went away', async () => {
		await behave({serviceMilliseconds: slowMilliseconds});
		const home = takeVictim();
		const key = await createKey('ticket', home);
		const leaving = new AbortController();
		const first = send(home, key, leaving.signal);
		await delay(slowMilliseconds / 3);
		leaving.abort();
		await expect(first).rejects.toThrow();
		home.signal('SIGTERM');
		expect(await home.exit()).toBe(0);
		expect(await order(nodes[0]!, key)).toMatchObject({status: 200, outcome: 'ran'});
		await behave({serviceMilliseconds: quickMilliseconds});
		expect(await getRuns(key)).toBe(1);
	}, 60_000);

	test('leaves its outcomes to a neighbour', async () => {
		const home = takeVictim();
		const [used, unused] = [await createKey('ticket', home), await createKey('ticket', home)];
		const first = await order(home, used);
		expect(first).toMatchObject({outcome: 'ran'});
		home.signal('SIGTERM');
		expect(await home.exit()).toBe(0);
		expect(await order(nodes[0]!, used)).toEqual(first);
		expect(await order(nodes[1]!, used)).toEqual(first);
		expect(await order(nodes[0]!, unused)).toMatchObject({status: 409, outcome: 'not-run'});
		expect([await getRuns(used), await getRuns(unused)]).toEqual([1, 0]);
	}, 60_000);
});

/** The last of the nodes; the first two stay to the end. */
function takeVictim(): TestNode {
	expect(nodes.length).toBeGreaterThan(2);
	return nodes.pop()!;
}

async function killLater(node: TestNode): Promise<void> {
	await delay(slowMilliseconds / 3);
	node.signal('SIGKILL');
}

function createOpaqueKey(): string {
	keys += 1;
	return `order-${keys}`;
}

async function createKey(form: KeyForm, home: TestNode): Promise<string> {
	if (form === 'opaque') {
		return createOpaqueKey();
	}

	const prefix = await waitUntil(async () => {
		const look = await request(`${nodes[0]!.caller}/v1/entries?service=pricing`);
		const {entries} = await look.body.json() as {entries: Array<{address: string; ticketPrefix: string}>};
		return entries.find(entry => home.caller.endsWith(entry.address))?.ticketPrefix;
	}, `an entry for ${home.caller}`);
	return `${prefix}${createOpaqueKey()}`;
}

/** Repeats blindly while the entry is busy. */
async function order(node: TestNode, key: string, body?: string): Promise<Reply> {
	return waitUntil(async () => {
		const reply = await send(node, key, undefined, body);
		return busyStatuses.has(reply.status) ? undefined : reply;
	}, `an answer from ${node.name}`);
}

async function send(node: TestNode, key: string, signal?: AbortSignal, body?: string): Promise<Reply> {
	const answer = await sendRaw(node, key, signal, body);
	return {status: answer.statusCode, outcome: String(answer.headers['catkindale-outcome']), body: await answer.body.text()};
}

async function sendRaw(node: TestNode, key: string, signal?: AbortSignal, body = '{"litres": 900}'): ReturnType<typeof request> {
	return request(`${node.caller}/orders`, {
		method: 'POST', body, signal, headers: {'x-api-key': callerKey, 'idempotency-key': key},
	});
}

async function behave(behaviour: Record<string, number>): Promise<void> {
	await Promise.all(targets.map(async target => postFaults(`${target}/behaviour`, behaviour)));
}

async function setTableFaults(faults: Record<string, boolean | number>): Promise<void> {
	await postFaults(`${table}/faults`, faults);
}

async function postFaults(url: string, faults: Record<string, boolean | number>): Promise<void> {
	const answer = await request(url, {method: 'POST', body: JSON.stringify(faults)});
	await answer.body.dump();
}

/** How often the targets ran the key, all together. */
async function getRuns(key: string): Promise<number> {
	const counts = await Promise.all(targets.map(async target => {
		const answer = await request(`${target}/counts`);
		const {runs} = await answer.body.json() as {runs: Record<string, number>};
		return runs[key] ?? 0;
	}));
	return counts.reduce((sum, count) => sum + count, 0);
}
