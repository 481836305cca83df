/** Rollouts while a region fails, and two at once, with each node and target in its own process. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	type ManifestTarget, type TestNode, type TestPlatform, applyManifest, callAdmin, cutNode, endProcesses, getManifest, sendRequest, startFleet, startPlatformProcesses,
	startTargets, waitUntil,
} from './helpers.js';

const key = 'rollout-region-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
const deadlineMilliseconds = 12_000;
const faultAfterMilliseconds = 3000;
const callPauseMilliseconds = 10;
const settleMilliseconds = 2000;
const testTimeoutMilliseconds = 40_000;

type ListedRollout = {name: string; phase: string; deadlineAt: number; reason: string; history: ReadonlyArray<{at: number; phase: string}>};

let platform: TestPlatform;
let nodes: TestNode[] = [];
let manifest = '';

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const [oldTargets, newTargets] = await Promise.all([startTargets(places), startTargets(places)]);
	nodes = await startFleet(platform, places);
	const renamed = newTargets.map((target): ManifestTarget => ({...target, name: `new-${target.name}`}));
	manifest = getManifest(regions, [...oldTargets, ...renamed], key)
		.replaceAll(/(name = "new-\S+"\nservice = "pricing"\nversion = )"1"/gv, '$1"2"');
});

afterAll(endProcesses);

function getRolloutLines(name: string, service = 'pricing'): string {
	const deadline = new Date(Date.now() + deadlineMilliseconds).toISOString();
	return `[[rollouts]]\nname = "${name}"\nservice = "${service}"\nfrom = "1"\nto = "2"\ndeadline = "${deadline}"\n`;
}

async function getRollout(node: TestNode, name: string): Promise<ListedRollout | undefined> {
	const reply = await callAdmin(node, 'GET', '/v1/rollouts');
	return (reply.body.rollouts as ListedRollout[]).find(rollout => rollout.name === name);
}

async function waitForEnd(node: TestNode, name: string): Promise<ListedRollout> {
	return waitUntil(async () => {
		const rollout = await getRollout(node, name);
		return rollout && ['done', 'reverted'].includes(rollout.phase) ? rollout : undefined;
	}, `the end of ${name}`);
}

function startCalls(entries: readonly TestNode[]): () => Promise<void> {
	const ending = new AbortController();
	const running = entries.map(async node => {
		while (!ending.signal.aborted) {
			await sendRequest(`${node.caller}/prices/ENGM`, headers);
			await delay(callPauseMilliseconds);
		}
	});
	return async () => {
		ending.abort();
		await Promise.all(running);
	};
}

function expectOneEnd(rollout: ListedRollout): void {
	const ends = rollout.history.filter(({phase}) => phase === 'done' || phase === 'reverted');
	expect(ends).toHaveLength(1);
	expect(ends[0]!.at).toBeLessThan(rollout.deadlineAt);
}

test('two rollouts of one service are refused with the reason', async () => {
	const reply = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest + getRolloutLines('first') + getRolloutLines('second'));
	expect(reply).toMatchObject({status: 422, body: {issues: [expect.stringContaining('service "pricing" has another rollout already')]}});
});

test('two services roll out at once, each to its own end', async () => {
	const second = manifest.replaceAll('"pricing"', '"ordering"').replaceAll(/name = "(?<name>\S*pricing-\S+)"/gv, 'name = "ordering-$1"');
	const secondParts = second.slice(second.indexOf('[[services]]')).replaceAll('"/', '"/second/');
	await applyManifest(nodes, manifest + secondParts + getRolloutLines('first') + getRolloutLines('second', 'ordering'));
	const stop = startCalls(nodes);
	const ends = await Promise.all(['first', 'second'].map(async name => waitForEnd(nodes[0]!, name)));
	await stop();
	for (const rollout of ends) {
		expectOneEnd(rollout);
	}

	expect(ends[0], JSON.stringify(ends[0])).toMatchObject({phase: 'done'});
	// Nothing was sent to the second service, so that its new version can't be judged.
	expect(ends[1]).toMatchObject({phase: 'reverted', reason: expect.stringContaining('requests of the new version') as string});
}, testTimeoutMilliseconds);

test.each(['cut off', 'killed'] as const)('a region %s during the trial: the rollout ends once, by its deadline', async fault => {
	const [first, second, failing] = nodes as [TestNode, TestNode, TestNode];
	const name = `region-${fault.replace(' ', '-')}`;
	await callAdmin(first, 'POST', '/v1/configuration?allow-move-back=true', manifest);
	await applyManifest(nodes, manifest + getRolloutLines(name));
	const stop = startCalls(nodes);
	await delay(faultAfterMilliseconds);
	if (fault === 'killed') {
		failing.signal('SIGKILL');
	} else {
		await cutNode(failing, [first, second], true);
		await Promise.all([first, second].map(async node => cutNode(node, [failing], false)));
	}

	const ended = await waitForEnd(first, name);
	expectOneEnd(ended);
	await Promise.all(fault === 'killed' ? [] : nodes.map(async node => cutNode(node, [], false)));
	await delay(settleMilliseconds);
	await stop();
	const survivors = fault === 'killed' ? [first, second] : nodes;
	const known = await Promise.all(survivors.map(async node => getRollout(node, name)));
	expect(known.map(rollout => rollout?.phase)).toEqual(survivors.map(() => ended.phase));
}, testTimeoutMilliseconds);
