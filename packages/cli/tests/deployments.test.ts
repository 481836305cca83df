/** Both example deployments at full size: 12 nodes and 44 targets, each in its own process. */
import {createHash, randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {parseManifest} from '@catkindale/node';
import type {Configuration} from '@catkindale/policy';
import {
	type TestNode, callAdmin, endProcesses, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForConfigurationVersion,
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
		const entryAddresses = await startDeployment(deployment);
		const entryUrl = `http://${entryAddresses[0] ?? ''}`;
		const readResponse = await request(`${entryUrl}${deployment.read.path}`, {headers});
		expect([readResponse.statusCode, readResponse.headers['catkindale-outcome']]).toEqual([200, 'ran']);
		expect(await readResponse.body.json()).toMatchObject({path: deployment.read.path});
		const writeResponse = await request(`${entryUrl}${deployment.write}`, {method: 'POST', headers, body: '{"litres": 900}'});
		expect([writeResponse.statusCode, writeResponse.headers['catkindale-outcome']]).toEqual([200, 'ran']);
		await writeResponse.body.dump();
		const body = randomBytes(documentBytes);
		const uploadResponse = await request(`${entryUrl}${deployment.document}`, {method: 'PUT', headers, body});
		expect(await uploadResponse.body.json()).toMatchObject({digest: createHash('sha256').update(body).digest('hex')});
		const downloadResponse = await request(`${entryUrl}${deployment.document}?bytes=${documentBytes}`, {headers});
		const received = await downloadResponse.body.bytes();
		expect(received.length).toBe(documentBytes);
	}, deploymentTimeoutMilliseconds);
});

/** Starts all processes, applies the example manifest and looks up the entries. */
async function startDeployment(deployment: Deployment): Promise<string[]> {
	const manifestText = await readFile(new URL(`../../../examples/${deployment.name}/manifest.toml`, import.meta.url), 'utf8');
	const example = parseManifest(manifestText);
	if (!example.ok) {
		throw new Error('the manifest of the example is invalid');
	}

	const [platform, manifest] = await Promise.all([startPlatformProcesses(), startTargetsOfManifest(manifestText, example.value)]);
	const places = example.value.regions.flatMap(region => region.zones.flatMap(zone =>
		Array.from({length: nodesPerZone}, (_, index) => ({name: `${zone}-${index + 1}`, region: region.name, zone}))));
	const nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place)));
	expect(nodes).toHaveLength(12);
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied.body).toMatchObject({version: 1});
	await waitForConfigurationVersion(nodes, 1);
	return lookUpEntries(nodes[0]!, deployment);
}

/** Starts a process for each target and returns the manifest with the addresses of these processes. */
async function startTargetsOfManifest(manifestText: string, {targets}: Configuration): Promise<string> {
	const addresses = await Promise.all(targets.map(async target => startStandinProcess('target', ['--slots', String(target.slots)])));
	let manifest = manifestText;
	for (const [index, target] of targets.entries()) {
		manifest = manifest.replace(`"${target.address}"`, `"${addresses[index]?.replace('http://', '')}"`);
	}

	return manifest;
}

async function lookUpEntries(node: TestNode, deployment: Deployment): Promise<string[]> {
	const response = await request(`${node.callerUrl}/v1/entries?service=${deployment.read.service}`, {headers: {authorization: `Bearer ${deployment.key}`}});
	const {entries} = await response.body.json() as {entries: Array<{address: string}>};
	return entries.map(entry => entry.address);
}
