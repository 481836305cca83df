/** Withdrawn keys stop everywhere within seconds, whatever else fails. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {hashText} from '@catkindale/common';
import {type ConfigurationRecord, appendChange} from '@catkindale/policy';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, callAdmin, cutNode, endProcesses, getManifest, getPeerAddress, sendRequest, setTableFaults, startFleet,
	startNodeProcess, startPlatformProcesses, startTargets, waitForServing, waitForStatus, waitUntil,
} from './helpers.js';

const withdrawalLimitMilliseconds = 3000;
/** More than the latest changes that the row keeps in any case. */
const changesMeanwhile = 80;
/** A node that holds a restriction records it within this time. */
const recordMilliseconds = 6000;
const key = 'key-to-withdraw';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
let platform: TestPlatform;
let nodes: TestNode[] = [];
let prices: string[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const targets = await startTargets(places);
	nodes = await startFleet(platform, places);
	prices = nodes.map(node => `${node.caller}/prices/ENGM`);
	const manifest = getManifest(regions, targets, 'another-key');
	await applyManifest(nodes, manifest);
});

beforeEach(async () => {
	await setTableFaults(platform, {});
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForServing(nodes, nodes.length);
	await waitForNoRestrictions();
	await grant();
	await waitForAnyService();
});

afterAll(endProcesses);

describe('a withdrawn key stops within 3 s', () => {
	test('on every node, for callers that stay connected', async () => {
		const reply = await withdraw(nodes[1]!);
		expect(reply).toMatchObject({status: 200, body: {result: 'accepted'}});
		expect(await waitForStatus(prices, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
	});

	test('with the table going down right after', async () => {
		await withdraw(nodes[1]!);
		await setTableFaults(platform, {outage: true});
		expect(await waitForStatus(prices, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
	});

	test('with the table down before, and is recorded once the table is back', async () => {
		await setTableFaults(platform, {outage: true});
		expect(await withdraw(nodes[1]!)).toMatchObject({status: 202, body: {result: 'restricted'}});
		expect(await waitForStatus(prices, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
		await setTableFaults(platform, {});
		await waitForNoRestrictions();
		expect(await sendAll()).toEqual([401, 401, 401]);
	});

	test('also for a node that starts while the table is down', async () => {
		await setTableFaults(platform, {outage: true});
		await withdraw(nodes[1]!);
		const peers = [await getPeerAddress(nodes[0]!)];
		const started = await startNodeProcess(platform, {name: 'bergen-2', region: 'bergen', zone: 'bergen-a'}, `peers = ${JSON.stringify(peers)}`);
		await waitForStatus([`${started.caller}/prices/ENGM`], headers, 401);
		started.signal('SIGKILL');
		await started.exit();
	});

	test.each([
		{name: 'frozen meanwhile and resumes', isCut: false},
		{name: 'frozen meanwhile and resumes cut off', isCut: true},
	])('on a node that was $name', async ({isCut}) => {
		const frozen = nodes[2]!;
		const others = nodes.slice(0, 2);
		await cutNode(frozen, isCut ? others : [], isCut);
		frozen.signal('SIGSTOP');
		await withdraw(nodes[0]!);
		await delay(withdrawalLimitMilliseconds);
		const address = `${frozen.caller}/prices/ENGM`;
		const waiting = Promise.all(Array.from({length: 8}, async () => sendRequest(address, headers)));
		await delay(200);
		frozen.signal('SIGCONT');
		const answers = await waiting;
		expect(answers.filter(answer => answer.status < 400)).toEqual([]);
		await cutNode(frozen, [], false);
		await waitForStatus([address], headers, 401);
	});

	test('on a node that was cut off from all and knows nothing of it', async () => {
		const alone = nodes[2]!;
		await cutNode(alone, nodes.slice(0, 2), true);
		await Promise.all(nodes.slice(0, 2).map(async node => cutNode(node, [alone], false)));
		await withdraw(nodes[0]!);
		const withdrawnAt = performance.now();
		const answer = await waitUntil(async () => {
			const next = await sendRequest(prices[2]!, headers);
			return next.status === 503 && next.reason === 'knowledge-out-of-date' ? next : undefined;
		}, 'the node cut off refuses');
		expect(answer.reason).toBe('knowledge-out-of-date');
		expect(performance.now() - withdrawnAt).toBeLessThan(withdrawalLimitMilliseconds);
	});
});

describe('a key that was withdrawn', () => {
	test('works again on all nodes once it is granted again', async () => {
		await withdraw(nodes[1]!);
		await waitForStatus(prices, headers, 401);
		expect(await grant()).toMatchObject({status: 200, body: {result: 'accepted'}});
		await waitForAnyService();
	});

	test('stays granted when a node comes back that has missed the record of the withdrawal', async () => {
		const away = nodes[2]!;
		const others = nodes.slice(0, 2);
		await cutNode(away, [], true);
		expect(await withdraw(away)).toMatchObject({body: {result: 'restricted'}});
		await waitForStatus(prices, headers, 401);
		await cutNode(away, others, true);
		await waitForNoRestrictions(others);
		expect(await grant()).toMatchObject({status: 200, body: {result: 'accepted'}});
		await writeChanges(changesMeanwhile);
		await cutNode(away, [], false);
		await waitForNoRestrictions();
		await waitForAnyService();
		const answers = await sendFor(recordMilliseconds);
		expect(answers.filter(status => status === 401)).toEqual([]);
	});

	test('can\'t be granted while its withdrawal isn\'t recorded', async () => {
		await setTableFaults(platform, {outage: true});
		await withdraw(nodes[1]!);
		await waitForStatus(prices, headers, 401);
		const refused = await grant();
		expect(refused).toMatchObject({status: 409, body: {result: 'refused'}});
		for (const part of ['withdrawn by anna', 'nothing was changed', 'catkindale status', 'grant the key again', 'restore the table service']) {
			expect(refused.body.detail).toContain(part);
		}

		await setTableFaults(platform, {});
		await waitForNoRestrictions();
		expect(await grant()).toMatchObject({status: 200, body: {result: 'accepted'}});
	});
});

async function grant(): ReturnType<typeof callAdmin> {
	return callAdmin(nodes[0]!, 'POST', '/v1/keys/grant', JSON.stringify({customer: 'wideroe', hash: hashText(key)}));
}

/** Writes changes that change nothing, as operators elsewhere might. */
async function writeChanges(count: number): Promise<void> {
	for (let change = 0; change < count; change++) {
		const read = await request(`${platform.table}/rows?key=configuration`);
		const {rows} = await read.body.json() as {rows: Array<{version: number; value: ConfigurationRecord}>};
		const {version, value} = rows[0]!;
		const changeId = `change ${change}`;
		const history = appendChange(value.history, {version: version + 1, changeId, author: 'berit'});
		const body = JSON.stringify({changeId, writes: [{key: 'configuration', expectedVersion: version, value: {...value, history}}]});
		const written = await request(`${platform.table}/transactions`, {method: 'POST', body});
		expect(written.statusCode).toBe(200);
		await written.body.dump();
	}
}

async function sendFor(milliseconds: number): Promise<number[]> {
	const statuses: number[] = [];
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		statuses.push(...await sendAll());
		await delay(100);
	}

	return statuses;
}

async function waitForNoRestrictions(asked: readonly TestNode[] = nodes): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(asked.map(async node => callAdmin(node, 'GET', '/v1/status')));
		return statuses.every(status => (status.body.restrictions as unknown[]).length === 0) || undefined;
	}, 'all restrictions recorded');
}

async function withdraw(node: TestNode): ReturnType<typeof callAdmin> {
	return callAdmin(node, 'POST', '/v1/keys/withdraw', JSON.stringify({hash: hashText(key), author: 'anna'}));
}

async function sendAll(): Promise<number[]> {
	const answers = await Promise.all(prices.map(async price => sendRequest(price, headers)));
	return answers.map(answer => answer.status);
}

/** Resolves once every node accepts the key; a node without tokens answers 429. */
async function waitForAnyService(): Promise<void> {
	await waitUntil(async () => {
		const statuses = await sendAll();
		return statuses.every(status => status === 200 || status === 429) || undefined;
	}, 'the key accepted on all nodes');
}
