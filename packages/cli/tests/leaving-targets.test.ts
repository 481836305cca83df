/** A leaving target gets no new work after 3 s, and what runs there finishes. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type Answer, type ManifestTarget, type TestNode, type TestPlatform, applyManifest, callAdmin, endProcesses, getManifest, listMachines, sendRequest, startFleet,
	startPlatformProcesses, startTargets, waitUntil,
} from './helpers.js';

const leaveLimitMilliseconds = 3000;
const slowMilliseconds = 1500;
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
	await listMachines(platform, [...nodes, ...targets].map(({name}) => name));
	await applyManifest(nodes, getManifest({[region]: zones}, targets, key));
	await waitUntil(async () => {
		const counts = await Promise.all(targets.map(async target => getReceived(target)));
		await Promise.all(nodes.map(async node => sendRequest(`${node.caller}/prices/ENGM`, headers)));
		const later = await Promise.all(targets.map(async target => getReceived(target)));
		return later.every((count, index) => count > counts[index]!) || undefined;
	}, 'work at both targets');
});

afterAll(endProcesses);

test.each([
	{
		name: 'the platform\'s list', async leave(leaving: ManifestTarget) {
			await listMachines(platform, [...nodes, ...targets].map(({name}) => name).filter(name => name !== leaving.name), [leaving.name]);
		},
	},
	{
		name: 'an operator\'s drain', async leave(leaving: ManifestTarget) {
			await callAdmin(nodes[0]!, 'POST', '/v1/drains', JSON.stringify({kind: 'target', name: leaving.name}));
		},
	},
	{
		name: 'its own answers', async leave(leaving: ManifestTarget) {
			await setBehaviour(leaving, {isDraining: true});
		},
	},
])('a target that leaves by $name', async ({leave}) => {
	const leaving = targets[1]!;
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: slowMilliseconds})));
	const running: Array<Promise<Answer>> = [];
	await waitUntil(async () => {
		// A target that came back a moment ago is cold and gets work only when the other has much.
		running.push(...nodes.map(async node => sendRequest(`${node.caller}/prices/slow`, headers)));
		return await getInFlight(leaving) > 0 || undefined;
	}, 'work in flight at the leaving target');
	await Promise.all(targets.map(async target => setBehaviour(target, {serviceMilliseconds: 1})));
	await leave(leaving);
	const endsAt = performance.now() + leaveLimitMilliseconds;
	while (performance.now() < endsAt) {
		await sendAll();
	}

	const before = await getReceived(leaving);
	for (let round = 0; round < 20; round++) {
		expect(new Set(await sendAll())).toEqual(new Set([200]));
		await delay(20);
	}

	expect(await getReceived(leaving)).toBe(before);
	const answers = await Promise.all(running);
	expect(answers.filter(answer => answer.status !== 200)).toEqual([]);
});

async function sendAll(): Promise<number[]> {
	const answers = await Promise.all(nodes.map(async node => sendRequest(`${node.caller}/prices/ENGM`, headers)));
	return answers.map(answer => answer.status);
}

async function getCounts(target: ManifestTarget): Promise<{received: number; inFlight: number}> {
	const answer = await request(`${target.address}/counts`);
	return await answer.body.json() as {received: number; inFlight: number};
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
	const answer = await request(`${target.address}/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await answer.body.dump();
}
