/** Outages of the table, and regions that are lost or cut off: which requests are still served and which are refused. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, callAdmin, cutNode, endProcesses, getManifest, sendRequest, setTableFaults, startFleet, startPlatformProcesses,
	startTargets, waitForServingMembers, waitForStatus, waitUntil,
} from './helpers.js';

/** Longer than the freshness limit of 2.5 s. */
const longOutageMilliseconds = 5000;
const refusalLimitMilliseconds = 3000;
const key = 'outage-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
let platform: TestPlatform;
let nodes: TestNode[] = [];
let manifest = '';

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const targets = await startTargets(places);
	nodes = await startFleet(platform, places);
	const openRoute = '[[routes]]\nservice = "pricing"\nmethod = "GET"\npath = "/airfields"\nidempotent = true\nopen = true\n';
	manifest = getManifest(regions, targets, key) + openRoute;
	await applyManifest(nodes, manifest);
});

beforeEach(async () => {
	await setTableFaults(platform, {});
	const runningNodes = nodes.filter(({child}) => child.exitCode === null && child.signalCode === null);
	await Promise.all(runningNodes.map(async node => cutNode(node, [], false)));
	await waitForServingMembers(runningNodes, runningNodes.length);
});

afterAll(endProcesses);

test('the table down for all nodes: requests are served, changes are refused with a reason', async () => {
	await setTableFaults(platform, {outage: true});
	const statuses = await sendRequestsFor(nodes.slice(0, 1), longOutageMilliseconds);
	expect(statuses).toEqual(new Set([200]));
	const response = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(response).toMatchObject({status: 503, body: {result: 'refused'}});
	expect(response.body.detail).toContain('nothing was changed');
});

test('the table slow for all nodes: requests are served', async () => {
	await setTableFaults(platform, {delayMilliseconds: 900});
	expect(await sendRequestsFor(nodes.slice(0, 1), longOutageMilliseconds)).toEqual(new Set([200]));
});

test('one region cut off from the table and all others: it refuses routes that need a key but not open ones, and leaves the lookups; the others serve', async () => {
	const [first, second, isolatedNode] = nodes as [TestNode, TestNode, TestNode];
	await cutNode(isolatedNode, [first, second], true);
	await Promise.all([first, second].map(async node => cutNode(node, [isolatedNode], false)));
	expect(await waitForStatus([`${isolatedNode.callerUrl}/prices/ENGM`], headers, 503)).toBeLessThan(refusalLimitMilliseconds);
	expect(await sendRequest(`${isolatedNode.callerUrl}/prices/ENGM`, headers)).toMatchObject({reason: 'knowledge-out-of-date'});
	expect(await sendRequest(`${isolatedNode.callerUrl}/airfields`)).not.toMatchObject({reason: 'knowledge-out-of-date'});
	await waitForEntries(first, [first, second]);
	await waitForEntries(isolatedNode, [first, second]);
	expect(await sendRequestsFor([first], 1000)).toEqual(new Set([200]));
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForEntries(first, nodes);
});

test('a region cut off from only the table stays in lookups through its peers', async () => {
	await cutNode(nodes[2]!, [], true);
	await delay(longOutageMilliseconds);
	await waitForEntries(nodes[0]!, nodes);
});

test('the table and one region lost: the other regions stay in service', async () => {
	const others = nodes.slice(1);
	await setTableFaults(platform, {outage: true});
	nodes[0]!.sendSignal('SIGKILL');
	await nodes[0]!.waitForExit();
	await delay(longOutageMilliseconds);
	await waitForServingMembers(others, 2);
	await waitForEntries(others[0]!, others);
	const response = await sendRequest(`${others[0]!.callerUrl}/prices/ENGM`, headers);
	expect(response.reason).not.toBe('knowledge-out-of-date');
});

test('the last running node refuses while the table is down, and serves again once the table is back', async () => {
	const [, second, lastNode] = nodes as [TestNode, TestNode, TestNode];
	await setTableFaults(platform, {outage: true});
	second.sendSignal('SIGKILL');
	await second.waitForExit();
	const address = `${lastNode.callerUrl}/prices/ENGM`;
	await waitForStatus([address], headers, 503);
	expect(await sendRequest(address, headers)).toMatchObject({reason: 'knowledge-out-of-date'});
	await delay(longOutageMilliseconds);
	expect(await sendRequest(`${lastNode.callerUrl}/airfields`)).toMatchObject({status: 503, reason: 'no-slot'});
	await setTableFaults(platform, {});
	await waitForStatus([address], headers, 200);
});

/** Sends requests to the nodes in turn and returns the set of response statuses. */
async function sendRequestsFor(gateways: readonly TestNode[], milliseconds: number): Promise<Set<number>> {
	const statuses = new Set<number>();
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		for (const gateway of gateways) {
			const response = await sendRequest(`${gateway.callerUrl}/prices/ENGM`, headers);
			statuses.add(response.status);
		}

		await delay(20);
	}

	return statuses;
}

/** Resolves once the node's lookups return exactly these entries. */
async function waitForEntries(node: TestNode, expected: readonly TestNode[]): Promise<void> {
	const addresses = new Set(expected.map(gateway => gateway.callerUrl.replace('http://', '')));
	await waitUntil(async () => {
		const response = await request(`${node.callerUrl}/v1/entries?service=pricing`);
		const {entries} = await response.body.json() as {entries: Array<{address: string}>};
		const isSame = entries.length === addresses.size && entries.every(({address}) => addresses.has(address));
		return isSame || undefined;
	}, 'the expected entries in lookups');
}
