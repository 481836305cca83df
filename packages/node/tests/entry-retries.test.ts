/** A second attempt at another target: when it is safe, and never beyond the budget. */
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type RawTarget, type TestEntry, startEntry, startRawTarget,
} from './entry-helpers.js';

const ok = 'HTTP/1.1 200 OK\r\n';
const largeBytes = 200_000;
const callersAtOnce = 100;
const largestAmplification = 1.2;
type Answer = (requestId: string) => string;
let entry: TestEntry | undefined;
let targets: RawTarget[] = [];

afterEach(async () => {
	await Promise.all(targets.map(async target => target.stop()));
	await entry?.stop();
});

/** Three targets; the first that is asked fails as told, the others answer. */
async function start(fail: Answer, failures: number): Promise<string> {
	let failed = 0;
	targets = await Promise.all([1, 2, 3].map(async () => startRawTarget(({socket, requestId, getInput: received}) => {
		if (received().includes('GET /ready ') || failed >= failures) {
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

const cut: Answer = id => `${ok}catkindale-request-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`;
const silent: Answer = () => '';
const shed: Answer = id => `HTTP/1.1 503 No\r\ncatkindale-request-id: ${id}\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n`;
const unclaimedShed: Answer = () => 'HTTP/1.1 503 No\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n';
const badGateway: Answer = id => `HTTP/1.1 502 No\r\ncatkindale-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
const failure: Answer = id => `HTTP/1.1 500 No\r\ncatkindale-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`;

describe('a first attempt that fails', () => {
	test.each([
		{
			name: 'idempotent, cut', method: 'GET', path: '/prices/a', fail: cut, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, no answer', method: 'GET', path: '/prices/a', fail: silent, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, bad gateway', method: 'GET', path: '/prices/a', fail: badGateway, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent, an answer of the service', method: 'GET', path: '/prices/a', fail: failure, attempts: 1, status: 500, outcome: 'ran',
		},
		{
			name: 'idempotent with a small body', method: 'PUT', path: '/receipts/a', body: 'small', fail: cut, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'idempotent with a body that is gone', method: 'PUT', path: '/receipts/a', body: 'x'.repeat(largeBytes), fail: silent, attempts: 1, status: 502, outcome: 'unknown',
		},
		{
			name: 'not idempotent, cut', method: 'POST', path: '/open-orders', fail: cut, attempts: 1, status: 502, outcome: 'unknown',
		},
		{
			name: 'not idempotent, bad gateway', method: 'POST', path: '/open-orders', fail: badGateway, attempts: 1, status: 502, outcome: 'ran',
		},
		{
			name: 'not idempotent, not run by contract', method: 'POST', path: '/open-orders', fail: shed, attempts: 2, status: 200, outcome: 'ran',
		},
		{
			name: 'not idempotent, a claim that isn\'t its own', method: 'POST', path: '/open-orders', fail: unclaimedShed, attempts: 1, status: 502, outcome: 'unknown',
		},
	])('$name', async ({method, path, body, fail, attempts, status, outcome}) => {
		const url = await start(fail, 1);
		const answer = await request(`${url}${path}`, {method, body: body ?? null});
		expect([answer.statusCode, answer.headers['catkindale-outcome'], countAttempts()]).toEqual([status, outcome, attempts]);
	});

	test('is tried at another target when it can\'t be reached, also if it isn\'t idempotent', async () => {
		const url = await start(silent, 0);
		await targets[0]!.stop();
		const answers = await Promise.all(Array.from({length: 20}, async () => request(`${url}/open-orders`, {method: 'POST'})));
		expect(answers.every(answer => answer.headers['catkindale-outcome'] !== 'unknown')).toBe(true);
		expect(countAttempts()).toBe(answers.filter(answer => answer.statusCode === 200).length);
	});
});

test('when every target fails at once, attempts stay within 1.2 times the requests', async () => {
	const url = await start(silent, Infinity);
	let requests = 0;
	for (let index = 0; index < callersAtOnce; index++) {
		const answer = await request(`${url}/prices/a`);
		await answer.body.dump();
		requests += 1;
	}

	expect(requests).toBe(callersAtOnce);
	expect(countAttempts()).toBeLessThanOrEqual(requests * largestAmplification);
});

describe('a hedged route', () => {
	test('asks a second target when the first is slow, and one answer wins whole', async () => {
		let isSlow = false;
		let asked = 0;
		targets = await Promise.all([1, 2, 3].map(async () => startRawTarget(({socket, requestId}) => {
			asked += 1;
			const answer = `${ok}catkindale-request-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`;
			if (!isSlow || asked > 1) {
				socket.write(answer);
			}
		})));
		entry = await startEntry(targets.map(target => target.address));
		for (let index = 0; index < 60; index++) {
			const answer = await request(`${entry.url}/hedged/a`);
			await answer.body.dump();
		}

		isSlow = true;
		asked = 0;
		const answer = await request(`${entry.url}/hedged/a`);
		expect([answer.statusCode, await answer.body.text(), asked]).toEqual([200, 'ok', 2]);
	});
});
