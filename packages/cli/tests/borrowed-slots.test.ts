/** A node without slots of its own serves every route with borrowed slots, whatever the route's deadline. */
import {Buffer} from 'node:buffer';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, applyManifest, endProcesses, getManifest, startFleet, startPlatformProcesses, startTargets, waitForStatus,
} from './helpers.js';

const key = 'borrowed-key';
const headers = {authorization: `Bearer ${key}`};
const responseTimeoutMilliseconds = 10_000;
const lender = {name: 'bergen-1', region: 'bergen', zone: 'bergen-a'};
const borrower = {name: 'oslo-1', region: 'oslo', zone: 'oslo-a'};
let borrowingNode: TestNode;

beforeAll(async () => {
	const platform = await startPlatformProcesses();
	const nodes = await startFleet(platform, [borrower, lender]);
	const targets = await startTargets([lender]);
	await applyManifest(nodes, getManifest({oslo: ['oslo-a'], bergen: ['bergen-a']}, targets, key));
	borrowingNode = nodes[0]!;
	await waitForStatus([`${borrowingNode.callerUrl}/prices/ENGM`], headers, 200);
});

afterAll(endProcesses);

test.each([
	{title: 'a read with a deadline of 10 s', path: '/prices/ENGM', method: 'GET'},
	{title: 'an upload with a deadline of 60 s', path: '/receipts/one', method: 'PUT'},
] as const)('$title is served', async ({path, method}) => {
	const response = await request(`${borrowingNode.callerUrl}${path}`, {
		method, headers, headersTimeout: responseTimeoutMilliseconds, body: method === 'PUT' ? Buffer.alloc(1000) : null,
	});
	await response.body.dump();
	expect(response.statusCode).toBe(200);
});
