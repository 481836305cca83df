/** The whole path of a request from the caller to the target, with each node, target and platform service in its own process. */
import {createHash, randomBytes} from 'node:crypto';
import {type Socket, connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, callAdmin, endProcesses, getManifest, startNodeProcess, startPlatformProcesses, startStandinProcess, waitForConfigurationVersion,
} from './helpers.js';

const key = 'whole-path-key';
const headers = {authorization: `Bearer ${key}`};
const overlongHeaderBytes = 20_000;
const uploadBytes = 20_000_000;
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
let nodes: TestNode[] = [];
let targetUrl = '';
let entryUrl = '';

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	targetUrl = await startStandinProcess('target', ['--slots', '6']);
	nodes = await Promise.all(Object.entries(regions).map(async ([region, zones]) =>
		startNodeProcess(platform, {name: `${region}-1`, region, zone: zones[0] ?? ''})));
	const manifest = getManifest(regions, [{
		name: 'pricing-1', address: targetUrl, region: 'oslo', zone: 'oslo-a', slots: 6,
	}], key);
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	expect(applied).toMatchObject({status: 200, body: {result: 'accepted', version: 1}});
	await waitForConfigurationVersion(nodes, 1);
	const lookup = await request(`${nodes[0]!.callerUrl}/v1/entries?service=pricing`);
	const {entries} = await lookup.body.json() as {entries: Array<{address: string}>};
	expect(entries.length).toBeGreaterThan(0);
	entryUrl = `http://${entries[0]!.address}`;
});

afterAll(endProcesses);

describe('a caller that looked up its entry', () => {
	test('gets the price that it requested, as its customer', async () => {
		const response = await request(`${entryUrl}/prices/ENGM`, {headers});
		expect(response.statusCode).toBe(200);
		expect(response.headers['catkindale-outcome']).toBe('ran');
		expect(await response.body.json()).toMatchObject({path: '/prices/ENGM', customer: 'wideroe'});
	});

	test('places an order, and the target doesn\'t receive the caller\'s key', async () => {
		const response = await request(`${entryUrl}/orders`, {method: 'POST', headers, body: '{"litres": 900}'});
		expect(response.statusCode).toBe(200);
		await response.body.dump();
		const counts = await request(`${targetUrl}/counts`);
		expect(await counts.body.text()).not.toContain(key);
	});

	test('uploads 20 MB byte-exact', async () => {
		const body = randomBytes(uploadBytes);
		const response = await request(`${entryUrl}/receipts/one`, {method: 'PUT', headers, body});
		const expected = createHash('sha256').update(body).digest('hex');
		expect(await response.body.json()).toMatchObject({digest: expected});
	});

	test('downloads 20 MB byte-exact', async () => {
		const path = `/prices/large?bytes=${uploadBytes}`;
		const [direct, forwarded] = await Promise.all([digestResponse(`${targetUrl}${path}`), digestResponse(`${entryUrl}${path}`)]);
		expect(forwarded).toEqual(direct);
		expect(forwarded.bytes).toBe(uploadBytes);
	});
});

describe('a request that can\'t be served', () => {
	test.each([
		{
			name: 'a wrong key', lines: ['GET /prices/ENGM HTTP/1.1', 'host: x', 'authorization: Bearer wrong', 'connection: close'], status: 401, reason: 'unknown-key',
		},
		{
			name: 'no key', lines: ['GET /prices/ENGM HTTP/1.1', 'host: x', 'connection: close'], status: 401, reason: 'unknown-key',
		},
		{
			name: 'an unknown route', lines: ['GET /nowhere HTTP/1.1', 'host: x', `x-api-key: ${key}`, 'connection: close'], status: 404, reason: 'unknown-route',
		},
		{
			name: 'a malformed line', lines: ['this is no request'], status: 400, reason: 'malformed-request',
		},
		{
			name: 'an over-long header', lines: ['GET /prices/ENGM HTTP/1.1', 'host: x', `long: ${'x'.repeat(overlongHeaderBytes)}`], status: 431, reason: 'header-too-large',
		},
		{
			name: 'both framings', lines: ['POST /orders HTTP/1.1', 'host: x', 'content-length: 3', 'transfer-encoding: chunked'], status: 400, reason: 'malformed-request',
		},
		{
			name: 'two lengths', lines: ['POST /orders HTTP/1.1', 'host: x', 'content-length: 3', 'content-length: 4'], status: 400, reason: 'malformed-request',
		},
		{
			name: 'bare line ends', lines: ['GET /prices/ENGM HTTP/1.1\nhost: x'], status: 400, reason: 'malformed-request',
		},
	])('gets its clear error for $name', async ({lines, status, reason}) => {
		const response = await sendRaw(lines);
		expect(response).toContain(`HTTP/1.1 ${status} `);
		expect(response).toContain(reason);
		expect(response).toContain('not-run');
	});
});

async function digestResponse(url: string): Promise<{readonly digest: string; readonly bytes: number}> {
	const response = await request(url, {headers});
	const hash = createHash('sha256');
	let bytes = 0;
	for await (const chunk of response.body) {
		const data = chunk as Uint8Array;
		hash.update(data);
		bytes += data.length;
	}

	return {digest: hash.digest('hex'), bytes};
}

async function sendRaw(lines: readonly string[]): Promise<string> {
	const {hostname, port} = new URL(entryUrl);
	const socket: Socket = connect(Number(port), hostname);
	socket.write([...lines, '', ''].join('\r\n'));
	return text(socket);
}
