/** Both deployments of the examples at full size: 12 nodes and 44 targets, each its own process. */
import {createHash, randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {parseManifest} from '@catkindale/node';
import type {Configuration} from '@catkindale/policy';
import {
	type TestNode, callAdmin, endProcesses, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForVersion,
} from './helpers.js';

type Deployment = {
	readonly name: string;
	readonly key: string;
	readonly read: {readonly service: string; readonly path: string};
	readonly write: string;
	readonly document: string;
};

const deploymentTimeoutMilliseconds = 120_000;
const documentBytes = 20_000_000;
const nodesPerZone = 2;

const deployments: Deployment[] = [
	{
		name: 'fjordvik', key: 'example-gardermoen-handling', read: {service: 'pricing', path: '/prices/ENGM'}, write: '/orders', document: '/documents/receipt',
	},
	{
		name: 'schulessen', key: 'example-leipzig-schools', read: {service: 'status', path: '/applications/17'}, write: '/decisions', document: '/rosters/school',
	},
];

afterEach(endProcesses);

describe('a deployment of 12 nodes and 44 targets', () => {
	test.each(deployments)('of $name serves a look-up, an order and documents whole', async deployment => {
		const headers = {authorization: `Bearer ${deployment.key}`};
		const entries = await startDeployment(deployment);
		const entry = `http://${entries[0] ?? ''}`;
		const read = await request(`${entry}${deployment.read.path}`, {headers});
		expect([read.statusCode, read.headers['catkindale-outcome']]).toEqual([200, 'ran']);
		expect(await read.body.json()).toMatchObject({path: deployment.read.path});
		const write = await request(`${entry}${deployment.write}`, {method: 'POST', headers, body: '{"litres": 900}'});
		expect([write.statusCode, write.headers['catkindale-outcome']]).toEqual([200, 'ran']);
		await write.body.dump();
		const body = randomBytes(documentBytes);
		const upload = await request(`${entry}${deployment.document}`, {method: 'PUT', headers, body});
		expect(await upload.body.json()).toMatchObject({digest: createHash('sha256').update(body).digest('hex')});
		const download = await request(`${entry}${deployment.document}?bytes=${documentBytes}`, {headers});
		const received = await download.body.bytes();
		expect(received.length).toBe(documentBytes);
	}, deploymentTimeoutMilliseconds);
});

/** Starts all processes, applies the example manifest and asks which entries to use. */
async function startDeployment(deployment: Deployment): Promise<string[]> {
	const text = await readFile(new URL(`../../../examples/${deployment.name}/manifest.toml`, import.meta.url), 'utf8');
	const example = parseManifest(text);
	if (!example.ok) {
		throw new Error('the example has faults');
	}

	const [platform, manifest] = await Promise.all([startPlatformProcesses(), startTargets(text, example.value)]);
	const places = example.value.regions.flatMap(region => region.zones.flatMap(zone =>
		Array.from({length: nodesPerZone}, (_, index) => ({name: `${zone}-${index + 1}`, region: region.name, zone}))));
	const nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place)));
	expect(nodes).toHaveLength(12);
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied.body).toMatchObject({version: 1});
	await waitForVersion(nodes, 1);
	return getEntries(nodes[0]!, deployment);
}

/** Starts a process for each target and gives the manifest their addresses. */
async function startTargets(text: string, {targets}: Configuration): Promise<string> {
	const addresses = await Promise.all(targets.map(async target => startStandinProcess('target', ['--slots', String(target.slots)])));
	let manifest = text;
	for (const [index, target] of targets.entries()) {
		manifest = manifest.replace(`"${target.address}"`, `"${addresses[index]?.replace('http://', '')}"`);
	}

	return manifest;
}

async function getEntries(node: TestNode, deployment: Deployment): Promise<string[]> {
	const answer = await request(`${node.caller}/v1/entries?service=${deployment.read.service}`, {headers: {authorization: `Bearer ${deployment.key}`}});
	const {entries} = await answer.body.json() as {entries: Array<{address: string}>};
	return entries.map(entry => entry.address);
}
