/** Retries at another target: only if they are safe, and never beyond the retry budget. */
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type RawTarget, type TestEntry, startEntry, startRawTarget,
} from './entry-helpers.js';

const ok = 'HTTP/1.1 200 OK\r\n';
const largeBytes = 200_000;
const totalRequests = 100;
const maximumAmplification = 1.2;
type CreateResponse = (requestId: string) => string;
let entry: TestEntry | undefined;
let targets: RawTarget[] = [];

afterEach(async () => {
	await Promise.all(targets.map(async target => target.stop()));
	await entry?.stop();
});

/** Starts three targets that fail the given number of requests in the given way and serve all others. */
async function start(fail: CreateResponse, failures: number): Promise<string> {
	let failed = 0;
	targets = await Promise.all([1, 2, 3].map(async () => startRawTarget(({socket, requestId, getInput}) => {
		if (getInput().includes('GET /ready ') || failed >= failures) {
			socket.end(`${ok}catkindale-request-id: ${requestId}\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok`);
			return;
		}

		failed += 1;
		socket.end(fail(requestId));
	})));
	entry = await startEntry(targets.map(target => target.address));
	for (const target of targets) {
		target.requestHeads.length = 0;
	}

	return entry.url;
}

function countAttempts(): number {
	return targets.flatMap(target => target.requestHeads).length;
}

const cutShort: CreateResponse = id => `${ok}catkindale-request-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`;
const noResponse: CreateResponse = () => '';
const refusal: CreateResponse = id => `HTTP/1.1 503 No\r\ncatkindale-request-id: ${id}\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n`;
const anonymousRefusal: CreateResponse = () => 'HTTP/1.1 503 No\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n';
const badGateway: CreateResponse = id => `HTTP/1.1 502 No\r\ncatkindale-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
const internalError: CreateResponse = id => `HTTP/1.1 500 No\r\ncatkindale-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;

describe('a first attempt that fails', () => {
	test.each([
		{
			name: 'idempotent, response cut short', method: 'GET', path: '/prices/a', fail: cutShort, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, no response', method: 'GET', path: '/prices/a', fail: noResponse, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, bad gateway', method: 'GET', path: '/prices/a', fail: badGateway, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, internal error', method: 'GET', path: '/prices/a', fail: internalError, attempts: 1, status: 500, outcome: 'ran',
		},
		{
			name: 'idempotent with a small body', method: 'PUT', path: '/receipts/a', body: 'small', fail: cutShort, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent with a body too large to send again', method: 'PUT', path: '/receipts/a', body: 'x'.repeat(largeBytes), fail: noResponse, attempts: 1, status: 502, outcome: 'unknown',
		},
		{
			name: 'not idempotent, response cut short', method: 'POST', path: '/open-orders', fail: cutShort, attempts: 1, status: 502, outcome: 'unknown',
		},
		{
			name: 'not idempotent, bad gateway', method: 'POST', path: '/open-orders', fail: badGateway, attempts: 1, status: 502, outcome: 'ran',
		},
		{
			name: 'not idempotent, refused by the target', method: 'POST', path: '/open-orders', fail: refusal, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'not idempotent, refusal without a request identifier', method: 'POST', path: '/open-orders', fail: anonymousRefusal, attempts: 1, status: 502, outcome: 'unknown',
		},
	])('$name', async ({method, path, body, fail, attempts, status, outcome}) => {
		const url = await start(fail, 1);
		const response = await request(`${url}${path}`, {method, body: body ?? null});
		expect([response.statusCode, response.headers['catkindale-outcome'], countAttempts()]).toEqual([status, outcome, attempts]);
	});

	test('because its target is unreachable is followed by a retry, also if the request isn\'t idempotent', async () => {
		const url = await start(noResponse, 0);
		await targets[0]!.stop();
		const responses = await Promise.all(Array.from({length: 20}, async () => request(`${url}/open-orders`, {method: 'POST'})));
		expect(responses.every(response => response.headers['catkindale-outcome'] !== 'unknown')).toBe(true);
		expect(countAttempts()).toBe(responses.filter(response => response.statusCode === 200).length);
	});
});

test('when every target fails at once, attempts stay within 1.2 times the requests', async () => {
	const url = await start(noResponse, Infinity);
	let requests = 0;
	for (let index = 0; index < totalRequests; index++) {
		const response = await request(`${url}/prices/a`);
		await response.body.dump();
		requests += 1;
	}

	expect(requests).toBe(totalRequests);
	expect(countAttempts()).toBeLessThanOrEqual(requests * maximumAmplification);
});

describe('a hedged route', () => {
	test('sends a request to a second target if the first is slow, and returns one complete response', async () => {
		let isSlow = false;
		let requestCount = 0;
		targets = await Promise.all([1, 2, 3].map(async () => startRawTarget(({socket, requestId}) => {
			requestCount += 1;
			const response = `${ok}catkindale-request-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`;
			if (!isSlow || requestCount > 1) {
				socket.write(response);
			}
		})));
		entry = await startEntry(targets.map(target => target.address));
		for (let index = 0; index < 60; index++) {
			const response = await request(`${entry.url}/hedged/a`);
			await response.body.dump();
		}

		isSlow = true;
		requestCount = 0;
		const response = await request(`${entry.url}/hedged/a`);
		expect([response.statusCode, await response.body.text(), requestCount]).toEqual([200, 'ok', 2]);
	});
});
