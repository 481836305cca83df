/** A withdrawn key is refused by all nodes within seconds, also during table outages, cuts, pauses and restarts. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {hashText} from '@catkindale/common';
import {type ConfigurationRecord, appendChange} from '@catkindale/policy';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, callAdmin, cutNode, endProcesses, getManifest, getPeerAddress, sendRequest, setTableFaults, startFleet,
	startNodeProcess, startPlatformProcesses, startTargets, waitForServingMembers, waitForStatus, waitUntil,
} from './helpers.js';

const withdrawalLimitMilliseconds = 3000;
/** More than the number of latest changes that the configuration row always keeps. */
const unrelatedChangeCount = 80;
/** A node that has an unrecorded restriction writes it to the table within this time. */
const recordLimitMilliseconds = 6000;
const key = 'key-to-withdraw';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
let platform: TestPlatform;
let nodes: TestNode[] = [];
let priceUrls: string[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const targets = await startTargets(places);
	nodes = await startFleet(platform, places);
	priceUrls = nodes.map(node => `${node.callerUrl}/prices/ENGM`);
	const manifest = getManifest(regions, targets, 'another-key');
	await applyManifest(nodes, manifest);
});

beforeEach(async () => {
	await setTableFaults(platform, {});
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForServingMembers(nodes, nodes.length);
	await waitForNoRestrictions();
	await grantKey();
	await waitForKeyAccepted();
});

afterAll(endProcesses);

describe('a withdrawn key stops within 3 s', () => {
	test('on every node, for callers that stay connected', async () => {
		const response = await withdrawKey(nodes[1]!);
		expect(response).toMatchObject({status: 200, body: {result: 'accepted'}});
		expect(await waitForStatus(priceUrls, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
	});

	test('when the table goes down directly after the withdrawal', async () => {
		await withdrawKey(nodes[1]!);
		await setTableFaults(platform, {outage: true});
		expect(await waitForStatus(priceUrls, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
	});

	test('when the table is down already, and the withdrawal is recorded once the table is back', async () => {
		await setTableFaults(platform, {outage: true});
		expect(await withdrawKey(nodes[1]!)).toMatchObject({status: 202, body: {result: 'restricted'}});
		expect(await waitForStatus(priceUrls, headers, 401)).toBeLessThan(withdrawalLimitMilliseconds);
		await setTableFaults(platform, {});
		await waitForNoRestrictions();
		expect(await sendToAllNodes()).toEqual([401, 401, 401]);
	});

	test('also for a node that starts while the table is down', async () => {
		await setTableFaults(platform, {outage: true});
		await withdrawKey(nodes[1]!);
		const peers = [await getPeerAddress(nodes[0]!)];
		const started = await startNodeProcess(platform, {name: 'bergen-2', region: 'bergen', zone: 'bergen-a'}, `peers = ${JSON.stringify(peers)}`);
		await waitForStatus([`${started.callerUrl}/prices/ENGM`], headers, 401);
		started.sendSignal('SIGKILL');
		await started.waitForExit();
	});

	test.each([
		{name: 'frozen meanwhile and resumes', isCut: false},
		{name: 'frozen meanwhile and resumes cut off', isCut: true},
	])('on a node that was $name', async ({isCut}) => {
		const pausedNode = nodes[2]!;
		const others = nodes.slice(0, 2);
		await cutNode(pausedNode, isCut ? others : [], isCut);
		pausedNode.sendSignal('SIGSTOP');
		await withdrawKey(nodes[0]!);
		await delay(withdrawalLimitMilliseconds);
		const address = `${pausedNode.callerUrl}/prices/ENGM`;
		const pendingResponses = Promise.all(Array.from({length: 8}, async () => sendRequest(address, headers)));
		await delay(200);
		pausedNode.sendSignal('SIGCONT');
		const responses = await pendingResponses;
		expect(responses.filter(response => response.status < 400)).toEqual([]);
		await cutNode(pausedNode, [], false);
		await waitForStatus([address], headers, 401);
	});

	test('on a node that was cut off from all and knows nothing of it', async () => {
		const isolatedNode = nodes[2]!;
		await cutNode(isolatedNode, nodes.slice(0, 2), true);
		await Promise.all(nodes.slice(0, 2).map(async node => cutNode(node, [isolatedNode], false)));
		await withdrawKey(nodes[0]!);
		const withdrawnAt = performance.now();
		const response = await waitUntil(async () => {
			const latestResponse = await sendRequest(priceUrls[2]!, headers);
			return latestResponse.status === 503 && latestResponse.reason === 'knowledge-out-of-date' ? latestResponse : undefined;
		}, 'a refusal by the isolated node');
		expect(response.reason).toBe('knowledge-out-of-date');
		expect(performance.now() - withdrawnAt).toBeLessThan(withdrawalLimitMilliseconds);
	});
});

describe('a key that was withdrawn', () => {
	test('is accepted by all nodes again once it is granted again', async () => {
		await withdrawKey(nodes[1]!);
		await waitForStatus(priceUrls, headers, 401);
		expect(await grantKey()).toMatchObject({status: 200, body: {result: 'accepted'}});
		await waitForKeyAccepted();
	});

	test('stays granted when a node reconnects that still has the withdrawal but missed its record', async () => {
		const cutOffNode = nodes[2]!;
		const others = nodes.slice(0, 2);
		await cutNode(cutOffNode, [], true);
		expect(await withdrawKey(cutOffNode)).toMatchObject({body: {result: 'restricted'}});
		await waitForStatus(priceUrls, headers, 401);
		await cutNode(cutOffNode, others, true);
		await waitForNoRestrictions(others);
		expect(await grantKey()).toMatchObject({status: 200, body: {result: 'accepted'}});
		await writeUnrelatedChanges(unrelatedChangeCount);
		await cutNode(cutOffNode, [], false);
		await waitForNoRestrictions();
		await waitForKeyAccepted();
		const responses = await sendRequestsFor(recordLimitMilliseconds);
		expect(responses.filter(status => status === 401)).toEqual([]);
	});

	test('can\'t be granted before its withdrawal is recorded', async () => {
		await setTableFaults(platform, {outage: true});
		await withdrawKey(nodes[1]!);
		await waitForStatus(priceUrls, headers, 401);
		const refused = await grantKey();
		expect(refused).toMatchObject({status: 409, body: {result: 'refused'}});
		for (const expectedText of ['withdrawn by anna', 'nothing was changed', 'catkindale status', 'grant the key again', 'restore the table service']) {
			expect(refused.body.detail).toContain(expectedText);
		}

		await setTableFaults(platform, {});
		await waitForNoRestrictions();
		expect(await grantKey()).toMatchObject({status: 200, body: {result: 'accepted'}});
	});
});

async function grantKey(): ReturnType<typeof callAdmin> {
	return callAdmin(nodes[0]!, 'POST', '/v1/keys/grant', JSON.stringify({customer: 'wideroe', hash: hashText(key)}));
}

/** Adds changes to the history that leave the configuration as it is, like those of other operators. */
async function writeUnrelatedChanges(count: number): Promise<void> {
	for (let change = 0; change < count; change++) {
		const readResponse = await request(`${platform.tableUrl}/rows?key=configuration`);
		const {rows} = await readResponse.body.json() as {rows: Array<{version: number; value: ConfigurationRecord}>};
		const {version, value} = rows[0]!;
		const changeId = `change ${change}`;
		const history = appendChange(value.history, {version: version + 1, changeId, author: 'berit'});
		const body = JSON.stringify({changeId, writes: [{key: 'configuration', expectedVersion: version, value: {...value, history}}]});
		const writeResponse = await request(`${platform.tableUrl}/transactions`, {method: 'POST', body});
		expect(writeResponse.statusCode).toBe(200);
		await writeResponse.body.dump();
	}
}

async function sendRequestsFor(milliseconds: number): Promise<number[]> {
	const statuses: number[] = [];
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		statuses.push(...await sendToAllNodes());
		await delay(100);
	}

	return statuses;
}

async function waitForNoRestrictions(queriedNodes: readonly TestNode[] = nodes): Promise<void> {
	await waitUntil(async () => {
		const statuses = await Promise.all(queriedNodes.map(async node => callAdmin(node, 'GET', '/v1/status')));
		return statuses.every(status => (status.body.restrictions as unknown[]).length === 0) || undefined;
	}, 'the recording of all restrictions');
}

async function withdrawKey(node: TestNode): ReturnType<typeof callAdmin> {
	return callAdmin(node, 'POST', '/v1/keys/withdraw', JSON.stringify({hash: hashText(key), author: 'anna'}));
}

async function sendToAllNodes(): Promise<number[]> {
	const responses = await Promise.all(priceUrls.map(async priceUrl => sendRequest(priceUrl, headers)));
	return responses.map(response => response.status);
}

/** Resolves once every node accepts the key; a node without tokens accepts it but responds with 429. */
async function waitForKeyAccepted(): Promise<void> {
	await waitUntil(async () => {
		const statuses = await sendToAllNodes();
		return statuses.every(status => status === 200 || status === 429) || undefined;
	}, 'acceptance of the key by all nodes');
}
