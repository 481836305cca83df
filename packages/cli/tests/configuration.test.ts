/**
 * Configuration changes: an accepted change takes effect on all nodes within
 * seconds, a node's version never decreases, and the result that the operator
 * gets is correct also when the table or a link fails.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {
	type AdminResponse, type TestNode, type TestPlatform, callAdmin, cutNode, endProcesses, getManifest, getPeerAddress, setMachineList, setTableFaults, startFleet,
	startNodeProcess, startPlatformProcesses, waitForConfigurationVersion, waitForServingMembers, waitUntil,
} from './helpers.js';

const propagationLimitMilliseconds = 3000;
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const manifest = getManifest(regions, [], 'configuration-key');
const places = [
	{name: 'oslo-1', region: 'oslo', zone: 'oslo-a'},
	{name: 'oslo-2', region: 'oslo', zone: 'oslo-a'},
	{name: 'bergen-1', region: 'bergen', zone: 'bergen-a'},
	{name: 'tromso-1', region: 'tromso', zone: 'tromso-a'},
];
let platform: TestPlatform;
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
});

beforeEach(async () => {
	await setTableFaults(platform, {});
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForServingMembers(nodes, nodes.length);
});

afterAll(endProcesses);

describe('a configuration change', () => {
	test('takes effect on every node within 3 s, and the response lists the state of each region', async () => {
		const startedAt = performance.now();
		const response = await sendManifest(nodes[0]!);
		expect(response).toMatchObject({status: 200, body: {result: 'accepted'}});
		expect(response.body.regions).toEqual(['bergen', 'oslo', 'tromso'].map(region => ({region, state: 'in force', missing: []})));
		await waitForConfigurationVersion(nodes, Number(response.body.version));
		expect(performance.now() - startedAt).toBeLessThan(propagationLimitMilliseconds);
	});

	test.each([
		{name: 'the table is slow', faults: {delayMilliseconds: 700}},
		{name: 'a third of its responses is lost', faults: {lostAnswerShare: 0.33}},
	])('is made once and reported correctly while $name', async ({faults}) => {
		const versionBefore = await getConfigurationVersion(nodes[0]!);
		await setTableFaults(platform, faults);
		const response = await sendManifest(nodes[0]!);
		expect(response).toMatchObject({status: 200, body: {result: 'accepted', version: versionBefore + 1}});
	});

	test('is resolved once the table responds again, if all its responses were lost before', async () => {
		const versionBefore = await getConfigurationVersion(nodes[0]!);
		await setTableFaults(platform, {lostAnswerShare: 1});
		const pendingResponse = sendManifest(nodes[0]!);
		await delay(1000);
		await setTableFaults(platform, {});
		expect(await pendingResponse).toMatchObject({status: 200, body: {result: 'accepted', version: versionBefore + 1}});
	});

	test('is reported as unknown if it can\'t be resolved, and the status shows whether it took effect', async () => {
		await setTableFaults(platform, {lostAnswerShare: 1});
		const response = await sendManifest(nodes[0]!);
		expect(response).toMatchObject({status: 504, body: {result: 'unknown'}});
		await setTableFaults(platform, {});
		await waitUntil(async () => {
			const status = await callAdmin(nodes[1]!, 'GET', '/v1/status');
			return (status.body.changes as Array<{changeId: string}>).some(({changeId}) => changeId === response.body.changeId) || undefined;
		}, 'the change in the history');
	});

	test('is accepted from only one of two operators who apply at the same version, and the other gets the winning change', async () => {
		const version = await getConfigurationVersion(nodes[0]!);
		const authors = ['anna', 'bjarne'];
		const responses = await Promise.all(authors.map(async (author, index) => sendManifest(nodes[index + 1]!, `?if-version=${version}&author=${author}`)));
		const winner = responses.findIndex(response => response.body.result === 'accepted');
		expect(responses.map(response => response.status).toSorted((left, right) => left - right)).toEqual([200, 409]);
		expect(responses[1 - winner]?.body.winner).toMatchObject({author: authors[winner], version: version + 1, changeId: responses[winner]?.body.changeId});
	});
});

test('a change reaches a node that is cut off from the author\'s node and the table through its other peers within 3 s', async () => {
	const author = nodes[0]!;
	const cutOffNode = nodes[3]!;
	await cutNode(cutOffNode, [author], true);
	await cutNode(author, [cutOffNode], false);
	const startedAt = performance.now();
	const response = await sendManifest(author);
	await waitForConfigurationVersion([cutOffNode], Number(response.body.version));
	expect(performance.now() - startedAt).toBeLessThan(propagationLimitMilliseconds);
});

describe('a change made in a region that is cut off from the others', () => {
	test('is reported as committed, not as accepted, and reaches the other regions once the cut ends', async () => {
		const regionNodes = nodes.slice(0, 2);
		const otherNodes = nodes.slice(2);
		await cutRegion(regionNodes, otherNodes, otherNodes);
		const response = await sendManifest(regionNodes[0]!);
		expect(response).toMatchObject({status: 202, body: {result: 'committed'}});
		expect(response.body.detail).toContain('not in force in bergen, tromso');
		await cutRegion(regionNodes, otherNodes, []);
		await waitForConfigurationVersion(nodes, Number(response.body.version));
	});
});

describe('the configuration version of a node', () => {
	test('never decreases during an outage, cuts and restarts', async () => {
		const highestVersions = new Map<string, number>();
		const regressions: string[] = [];
		const watchStop = new AbortController();
		const watchVersions = async (): Promise<void> => {
			while (!watchStop.signal.aborted) {
				for (const node of nodes) {
					const version = await getConfigurationVersion(node).catch(() => undefined);
					if (version !== undefined && version > 0) {
						const previous = highestVersions.get(node.name) ?? 0;
						if (version < previous) {
							regressions.push(`${node.name} from ${previous} to ${version}`);
						}

						highestVersions.set(node.name, Math.max(previous, version));
					}
				}
			}
		};

		const watching = watchVersions();
		await sendManifest(nodes[0]!);
		await cutNode(nodes[3]!, nodes.slice(0, 3), true);
		await sendManifest(nodes[1]!);
		await setTableFaults(platform, {outage: true});
		await restartNode(2);
		await cutNode(nodes[3]!, [], false);
		await waitForServingMembers(nodes.slice(0, 2), 4);
		const expected = await getConfigurationVersion(nodes[0]!);
		await waitForConfigurationVersion(nodes, expected);
		await setTableFaults(platform, {});
		await restartNode(0);
		await waitForConfigurationVersion(nodes, expected);
		watchStop.abort();
		await watching;
		expect(regressions).toEqual([]);
		expect(await getConfigurationVersion(nodes[2]!)).toBe(expected);
	});
});

async function sendManifest(node: TestNode, query = ''): Promise<AdminResponse> {
	return callAdmin(node, 'POST', `/v1/configuration${query}`, manifest);
}

async function getConfigurationVersion(node: TestNode): Promise<number> {
	const status = await callAdmin(node, 'GET', '/v1/status');
	return Number(status.body.configurationVersion);
}

/** Cuts a region's nodes off from the others in both directions, and the others from the table; an empty `cutPeers` ends the cut. */
async function cutRegion(regionNodes: readonly TestNode[], otherNodes: readonly TestNode[], cutPeers: readonly TestNode[]): Promise<void> {
	const isCut = cutPeers.length > 0;
	await Promise.all([
		...regionNodes.map(async node => cutNode(node, cutPeers, false)),
		...otherNodes.map(async node => cutNode(node, isCut ? regionNodes : [], isCut)),
	]);
}

/** Kills a node and starts it again under the same name, with the peers' addresses in its settings. */
async function restartNode(index: number): Promise<void> {
	const others = nodes.filter((_, other) => other !== index);
	const peers = await Promise.all(others.map(async node => getPeerAddress(node)));
	nodes[index]!.sendSignal('SIGKILL');
	await nodes[index]!.waitForExit();
	const settings = `peers = ${JSON.stringify(peers)}\ntesting = {allowCuts = true}`;
	nodes[index] = await startNodeProcess(platform, places[index]!, settings);
}

test('the first node of a starting fleet doesn\'t report a change as accepted while it is alone', async () => {
	const newPlatform = await startPlatformProcesses();
	await setMachineList(newPlatform, places.map(({name}) => name));
	const firstNode = await startNodeProcess(newPlatform, places[0]!);
	expect(await sendManifest(firstNode)).toMatchObject({status: 202, body: {result: 'committed', version: 1}});
	const otherNodes = await Promise.all(places.slice(1).map(async place => startNodeProcess(newPlatform, place)));
	await waitForServingMembers([firstNode, ...otherNodes], places.length);
	expect(await sendManifest(firstNode)).toMatchObject({status: 200, body: {result: 'accepted', version: 2}});
});
