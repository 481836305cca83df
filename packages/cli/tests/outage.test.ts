/** Outages of the table, dead and cut regions: what goes on and what is refused. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, callAdmin, cutNode, endProcesses, getManifest, sendRequest, setTableFaults, startFleet,
	startPlatformProcesses, startTargets, waitForServing, waitForStatus, waitUntil,
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
	const running = nodes.filter(({child}) => child.exitCode === null && child.signalCode === null);
	await Promise.all(running.map(async node => cutNode(node, [], false)));
	await waitForServing(running, running.length);
});

afterAll(endProcesses);

test('the table down for all: traffic goes on, changes are refused clearly', async () => {
	await setTableFaults(platform, {outage: true});
	const answers = await sendDuring(nodes.slice(0, 1), longOutageMilliseconds);
	expect(answers).toEqual(new Set([200]));
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied).toMatchObject({status: 503, body: {result: 'refused'}});
	expect(applied.body.detail).toContain('nothing was changed');
});

test('the table slow for all: traffic goes on', async () => {
	await setTableFaults(platform, {delayMilliseconds: 900});
	expect(await sendDuring(nodes.slice(0, 1), longOutageMilliseconds)).toEqual(new Set([200]));
});

test('one region cut off alone: it refuses keyed routes and leaves the look-ups, open routes go on, the others go on', async () => {
	const [first, second, alone] = nodes as [TestNode, TestNode, TestNode];
	await cutNode(alone, [first, second], true);
	await Promise.all([first, second].map(async node => cutNode(node, [alone], false)));
	expect(await waitForStatus([`${alone.caller}/prices/ENGM`], headers, 503)).toBeLessThan(refusalLimitMilliseconds);
	expect(await sendRequest(`${alone.caller}/prices/ENGM`, headers)).toMatchObject({reason: 'knowledge-out-of-date'});
	expect(await sendRequest(`${alone.caller}/airfields`)).not.toMatchObject({reason: 'knowledge-out-of-date'});
	await waitForEntries(first, [first, second]);
	await waitForEntries(alone, [first, second]);
	expect(await sendDuring([first], 1000)).toEqual(new Set([200]));
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForEntries(first, nodes);
});

test('a region cut off from the table alone goes on through its peers', async () => {
	await cutNode(nodes[2]!, [], true);
	await delay(longOutageMilliseconds);
	await waitForEntries(nodes[0]!, nodes);
});

test('the table\'s region dead: the others go on', async () => {
	const others = nodes.slice(1);
	await setTableFaults(platform, {outage: true});
	nodes[0]!.signal('SIGKILL');
	await nodes[0]!.exit();
	await delay(longOutageMilliseconds);
	await waitForServing(others, 2);
	await waitForEntries(others[0]!, others);
	const answer = await sendRequest(`${others[0]!.caller}/prices/ENGM`, headers);
	expect(answer.reason).not.toBe('knowledge-out-of-date');
});

test('a single node left while the table is down refuses, and serves again once the table is back', async () => {
	const [, second, last] = nodes as [TestNode, TestNode, TestNode];
	await setTableFaults(platform, {outage: true});
	second.signal('SIGKILL');
	await second.exit();
	const address = `${last.caller}/prices/ENGM`;
	await waitForStatus([address], headers, 503);
	expect(await sendRequest(address, headers)).toMatchObject({reason: 'knowledge-out-of-date'});
	await delay(longOutageMilliseconds);
	expect(await sendRequest(`${last.caller}/airfields`)).toMatchObject({status: 503, reason: 'no-slot'});
	await setTableFaults(platform, {});
	await waitForStatus([address], headers, 200);
});

/** Sends to each node in turn and returns the statuses seen. */
async function sendDuring(entries: readonly TestNode[], milliseconds: number): Promise<Set<number>> {
	const statuses = new Set<number>();
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		for (const entry of entries) {
			const answer = await sendRequest(`${entry.caller}/prices/ENGM`, headers);
			statuses.add(answer.status);
		}

		await delay(20);
	}

	return statuses;
}

/** Resolves once the node's look-ups name just these entries. */
async function waitForEntries(node: TestNode, expected: readonly TestNode[]): Promise<void> {
	const addresses = new Set(expected.map(entry => entry.caller.replace('http://', '')));
	await waitUntil(async () => {
		const answer = await request(`${node.caller}/v1/entries?service=pricing`);
		const {entries} = await answer.body.json() as {entries: Array<{address: string}>};
		const isSame = entries.length === addresses.size && entries.every(({address}) => addresses.has(address));
		return isSame || undefined;
	}, 'the expected entries in look-ups');
}
