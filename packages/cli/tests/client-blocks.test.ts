/** Client blocks, from the file that the operator passes to `catkindale blocks` to the order of entries in lookups. */
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	type TestNode, type TestPlatform, type TestProcess, applyManifest, endProcesses, getManifest, startFleet, startPlatformProcesses, startProcess, startTargets,
	waitUntil,
} from './helpers.js';

const regions = {oslo: ['oslo-a'], bergen: ['bergen-a']};
const places = Object.entries(regions).map(([region, [zone]]) => ({name: `${region}-1`, region, zone: zone!}));
let platform: TestPlatform;
let nodes: TestNode[] = [];
let manifest = '';

beforeAll(async () => {
	platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
	manifest = getManifest(regions, await startTargets(places), 'blocks-key');
});

afterAll(endProcesses);

async function runBlocksCommand(content: string): Promise<TestProcess> {
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'catkindale-test-')), 'blocks.txt');
	await writeFile(file, content);
	return startProcess(['blocks', file, '--objects', platform.objectsUrl]);
}

async function getFirstRegion(node: TestNode, client: string): Promise<string | undefined> {
	const response = await request(`${node.callerUrl}/v1/entries?service=pricing&client=${client}`);
	const {entries} = await response.body.json() as {entries: Array<{region: string}>};
	return entries[0]?.region;
}

test('every node sends the callers of a block to its sites by weight', async () => {
	const blocksCommand = await runBlocksCommand('# the airports\n10.1.0.0/16 bergen\n10.1.2.0/24 oslo # a part\n10.9.0.0/16 oslo=3 bergen\n');
	const snapshotName = await blocksCommand.waitForOutput(/clientBlockSnapshot = "([^"]+)"/v);
	expect(await blocksCommand.waitForExit()).toBe(0);
	await applyManifest(nodes, `clientBlockSnapshot = "${snapshotName}"\n${manifest}`);
	for (const node of nodes) {
		await waitUntil(async () => await getFirstRegion(node, '10.1.0.1') === 'bergen' || undefined, 'the client block in use');
		expect(await getFirstRegion(node, '10.1.2.1')).toBe('oslo');
		const clients = Array.from({length: 200}, (_, index) => `10.9.${index}.7`);
		const firstRegions = await Promise.all(clients.map(async client => getFirstRegion(node, client)));
		const share = firstRegions.filter(region => region === 'oslo').length / firstRegions.length;
		expect(share).toBeGreaterThan(0.65);
		expect(share).toBeLessThan(0.85);
	}
});

test.each([
	{name: 'an invalid prefix', content: '10.0.0.0/8 oslo\n10.1.0.0/40 oslo\n', reason: /:2: .*10\.1\.0\.0\/40/v},
	{name: 'a block without a site', content: '10.1.0.0/16\n', reason: /:1: the block "10\.1\.0\.0\/16" has no site/v},
	{name: 'an invalid weight', content: '10.1.0.0/16 oslo=-1\n', reason: /:1: "oslo=-1" is no site/v},
	{name: 'a duplicate block', content: '10.1.0.0/16 oslo\n\n10.1.0.0/16 bergen\n', reason: /:3: .* is in line 1 already/v},
])('$name is refused with its line number', async ({content, reason}) => {
	const blocksCommand = await runBlocksCommand(content);
	expect(await blocksCommand.waitForExit()).toBe(1);
	expect(blocksCommand.getOutput()).toMatch(reason);
});
