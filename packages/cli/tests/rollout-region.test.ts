/** Rollouts while a region fails, and two concurrent rollouts, with each node and target in its own process. */
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
const requestPauseMilliseconds = 10;
const settlingMilliseconds = 2000;
const testTimeoutMilliseconds = 40_000;

type ListedRollout = {name: string; phase: string; deadlineAt: number; reason: string; history: ReadonlyArray<{at: number; phase: string}>};

let platform: TestPlatform;
let nodes: TestNode[] = [];
let manifest = '';

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const [oldTargets, newTargets] = await Promise.all([startTargets(places), startTargets(places)]);
	nodes = await startFleet(platform, places);
	const renamedTargets = newTargets.map((target): ManifestTarget => ({...target, name: `new-${target.name}`}));
	manifest = getManifest(regions, [...oldTargets, ...renamedTargets], key)
		.replaceAll(/(name = "new-\S+"\nservice = "pricing"\nversion = )"1"/gv, '$1"2"');
});

afterAll(endProcesses);

function getRolloutLines(name: string, service = 'pricing'): string {
	const deadline = new Date(Date.now() + deadlineMilliseconds).toISOString();
	return `[[rollouts]]\nname = "${name}"\nservice = "${service}"\nfrom = "1"\nto = "2"\ndeadline = "${deadline}"\n`;
}

async function getRollout(node: TestNode, name: string): Promise<ListedRollout | undefined> {
	const response = await callAdmin(node, 'GET', '/v1/rollouts');
	return (response.body.rollouts as ListedRollout[]).find(rollout => rollout.name === name);
}

async function waitForEnd(node: TestNode, name: string): Promise<ListedRollout> {
	return waitUntil(async () => {
		const rollout = await getRollout(node, name);
		return rollout && ['done', 'reverted'].includes(rollout.phase) ? rollout : undefined;
	}, `the end of ${name}`);
}

function startLoad(gateways: readonly TestNode[]): () => Promise<void> {
	const loadStop = new AbortController();
	const requestLoops = gateways.map(async node => {
		while (!loadStop.signal.aborted) {
			await sendRequest(`${node.callerUrl}/prices/ENGM`, headers);
			await delay(requestPauseMilliseconds);
		}
	});
	return async () => {
		loadStop.abort();
		await Promise.all(requestLoops);
	};
}

function expectSingleEnd(rollout: ListedRollout): void {
	const finalPhases = rollout.history.filter(({phase}) => phase === 'done' || phase === 'reverted');
	expect(finalPhases).toHaveLength(1);
	expect(finalPhases[0]!.at).toBeLessThan(rollout.deadlineAt);
}

test('a manifest with two rollouts of one service is refused with the reason', async () => {
	const response = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest + getRolloutLines('first') + getRolloutLines('second'));
	expect(response).toMatchObject({status: 422, body: {issues: [expect.stringContaining('service "pricing" has another rollout already')]}});
});

test('two services roll out at the same time, and each rollout ends on its own', async () => {
	const secondManifest = manifest.replaceAll('"pricing"', '"ordering"').replaceAll(/name = "(?<name>\S*pricing-\S+)"/gv, 'name = "ordering-$1"');
	const secondServiceLines = secondManifest.slice(secondManifest.indexOf('[[services]]')).replaceAll('"/', '"/second/');
	await applyManifest(nodes, manifest + secondServiceLines + getRolloutLines('first') + getRolloutLines('second', 'ordering'));
	const stopLoad = startLoad(nodes);
	const endedRollouts = await Promise.all(['first', 'second'].map(async name => waitForEnd(nodes[0]!, name)));
	await stopLoad();
	for (const rollout of endedRollouts) {
		expectSingleEnd(rollout);
	}

	expect(endedRollouts[0], JSON.stringify(endedRollouts[0])).toMatchObject({phase: 'done'});
	// The second service gets no requests, so there is no evidence to evaluate its new version.
	expect(endedRollouts[1]).toMatchObject({phase: 'reverted', reason: expect.stringContaining('requests of the new version') as string});
}, testTimeoutMilliseconds);

test.each(['cut off', 'killed'] as const)('a region %s during the trial: the rollout ends once, by its deadline', async fault => {
	const [first, second, failingNode] = nodes as [TestNode, TestNode, TestNode];
	const name = `region-${fault.replace(' ', '-')}`;
	await callAdmin(first, 'POST', '/v1/configuration?allow-move-back=true', manifest);
	await applyManifest(nodes, manifest + getRolloutLines(name));
	const stopLoad = startLoad(nodes);
	await delay(faultAfterMilliseconds);
	if (fault === 'killed') {
		failingNode.sendSignal('SIGKILL');
	} else {
		await cutNode(failingNode, [first, second], true);
		await Promise.all([first, second].map(async node => cutNode(node, [failingNode], false)));
	}

	const endedRollout = await waitForEnd(first, name);
	expectSingleEnd(endedRollout);
	await Promise.all(fault === 'killed' ? [] : nodes.map(async node => cutNode(node, [], false)));
	await delay(settlingMilliseconds);
	await stopLoad();
	const survivors = fault === 'killed' ? [first, second] : nodes;
	const observedRollouts = await Promise.all(survivors.map(async node => getRollout(node, name)));
	expect(observedRollouts.map(rollout => rollout?.phase)).toEqual(survivors.map(() => endedRollout.phase));
}, testTimeoutMilliseconds);
