/** A leaving target gets no new requests after 3 s, and the requests in progress there finish. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestPlatform, type TestResponse, applyManifest, callAdmin, endProcesses, getManifest, sendRequest, setMachineList,
	startFleet, startPlatformProcesses, startTargets, waitUntil,
} from './helpers.js';

const leaveLimitMilliseconds = 3000;
const slowServiceMilliseconds = 1500;
const key = 'leaving-key';
const headers = {authorization: `Bearer ${key}`};
const region = 'oslo';
const zones = ['oslo-a', 'oslo-b'];
const places = zones.map(zone => ({name: `${zone}-1`, region, zone}));
let platform: TestPlatform;
let nodes: TestNode[] = [];
let targets: ManifestTarget[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
	targets = await startTargets(places);
});

beforeEach(async () => {
	await setMachineList(platform, [...nodes, ...targets].map(({name}) => name));
	await applyManifest(nodes, getManifest({[region]: zones}, targets, key));
	await waitUntil(async () => {
		const countsBefore = await Promise.all(targets.map(async target => getReceived(target)));
		await Promise.all(nodes.map(async node => sendRequest(`${node.callerUrl}/prices/ENGM`, headers)));
		const countsAfter = await Promise.all(targets.map(async target => getReceived(target)));
		return countsAfter.every((count, index) => count > countsBefore[index]!) || undefined;
	}, 'requests at both targets');
});

afterAll(endProcesses);

test.each([
	{
		name: 'the platform\'s list', async leave(leaving: ManifestTarget) {
			await setMachineList(platform, [...nodes, ...targets].map(({name}) => name).filter(name => name !== leaving.name), [leaving.name]);
		},
	},
	{
		name: 'an operator\'s drain', async leave(leaving: ManifestTarget) {
			await callAdmin(nodes[0]!, 'POST', '/v1/drains', JSON.stringify({kind: 'target', name: leaving.name}));
		},
	},
	{
		name: 'its own responses', async leave(leaving: ManifestTarget) {
			await setBehaviour(leaving, {isDraining: true});
		},
	},
])('a target that is reported as leaving by $name', async ({leave}) => {
	const leaving = targets[1]!;
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: slowServiceMilliseconds})));
	const pendingRequests: Array<Promise<TestResponse>> = [];
	await waitUntil(async () => {
		// A target that just came back is cold and gets requests only while the other target is busy.
		pendingRequests.push(...nodes.map(async node => sendRequest(`${node.callerUrl}/prices/slow`, headers)));
		return await getInFlight(leaving) > 0 || undefined;
	}, 'a request in flight at the leaving target');
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: 1})));
	await leave(leaving);
	const endsAt = performance.now() + leaveLimitMilliseconds;
	while (performance.now() < endsAt) {
		await sendToAllNodes();
	}

	const receivedBefore = await getReceived(leaving);
	for (let round = 0; round < 20; round++) {
		expect(new Set(await sendToAllNodes())).toEqual(new Set([200]));
		await delay(20);
	}

	expect(await getReceived(leaving)).toBe(receivedBefore);
	const responses = await Promise.all(pendingRequests);
	expect(responses.filter(response => response.status !== 200)).toEqual([]);
});

async function sendToAllNodes(): Promise<number[]> {
	const responses = await Promise.all(nodes.map(async node => sendRequest(`${node.callerUrl}/prices/ENGM`, headers)));
	return responses.map(response => response.status);
}

async function getCounts(target: ManifestTarget): Promise<{received: number; inFlight: number}> {
	const response = await request(`${target.address}/counts`);
	return await response.body.json() as {received: number; inFlight: number};
}

async function getReceived(target: ManifestTarget): Promise<number> {
	const {received} = await getCounts(target);
	return received;
}

async function getInFlight(target: ManifestTarget): Promise<number> {
	const {inFlight} = await getCounts(target);
	return inFlight;
}

async function setBehaviour(target: ManifestTarget, behaviour: object): Promise<void> {
	const response = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await response.body.dump();
}
