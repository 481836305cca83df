/** One request, one target: whole answers, true outcomes, limits and hidden keys. */
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type RawTarget, type ReceivedRequest, type TestEntry, callerKey, startEntry, startRawTarget,
} from './entry-helpers.js';

const ok = 'HTTP/1.1 200 OK\r\n';
const largeBytes = 200_000;
const crossedRefusal = 'HTTP/1.1 503 No\r\ncatkindale-request-id: other\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n';
const unknown502 = /HTTP\/1.1 502 .*"outcome":"unknown"/vs;
const bodyLimitBytes = 100_000;
const idleMilliseconds = 300;
let entry: TestEntry | undefined;
let target: RawTarget | undefined;

afterEach(async () => {
	await target?.stop();
	await entry?.stop();
});

async function start(answer: (received: ReceivedRequest) => void, limits = {}): Promise<TestEntry> {
	target = await startRawTarget(received => {
		if (received.getInput().includes('GET /ready ')) {
			received.socket.end(`${ok}content-length: 0\r\nconnection: close\r\n\r\n`);
			return;
		}

		answer(received);
	});
	entry = await startEntry([target.address], limits);
	target.requestHeads.length = 0;
	target.closedConnections.length = 0;
	return entry;
}

describe('an answer that isn\'t whole or isn\'t the request\'s own', () => {
	test.each([
		{
			name: 'cut small answer', path: '/open-orders', answer: (id: string) => `${ok}catkindale-request-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`, seen: unknown502,
		},
		{
			name: 'crossed answer', path: '/open-orders', answer: () => `${ok}catkindale-request-id: other\r\ncontent-length: 5\r\n\r\nwhole`, seen: unknown502,
		},
		{
			name: 'answer without an end', path: '/open-orders', answer: () => `${ok}\r\nwhole?`, seen: unknown502,
		},
		{
			name: 'no answer', path: '/open-orders', answer: () => '', seen: unknown502,
		},
		{
			name: 'crossed claim not to have run', path: '/open-orders', answer: () => crossedRefusal, seen: unknown502,
		},
		{
			name: 'claim not to have run', path: '/open-orders', answer: (id: string) => crossedRefusal.replace('other', id), seen: /HTTP\/1.1 503 .*"outcome":"not-run"/vs,
		},
	])('is told as what it is: $name', async ({path, answer, seen}) => {
		const {sendRaw} = await start(({socket, requestId}) => {
			socket.end(answer(requestId));
		});
		expect(await sendRaw([`POST ${path} HTTP/1.1`, 'host: x', 'connection: close'])).toMatch(seen);
	});

	test('resets the caller\'s connection when a streamed answer is cut', async () => {
		const {sendRaw} = await start(({socket, requestId}) => {
			socket.write(`${ok}catkindale-request-id: ${requestId}\r\ncontent-length: ${largeBytes * 2}\r\n\r\n${'x'.repeat(largeBytes)}`);
			setTimeout(() => {
				socket.destroy();
			}, 100);
		});
		await expect(sendRaw(['GET /prices/a HTTP/1.0', 'host: x'])).rejects.toThrow('ECONNRESET');
	});

	test('leaves its connection unused, so that no later caller gets its rest', async () => {
		const {url} = await start(({socket, requestId, connectionNumber: connection}) => {
			const id = connection === 2 ? 'other' : requestId;
			socket.write(`${ok}catkindale-request-id: ${id}\r\ncontent-length: 1\r\n\r\n${connection}`);
		});
		const first = await request(`${url}/open-orders`, {method: 'POST'});
		const second = await request(`${url}/open-orders`, {method: 'POST'});
		expect([first.statusCode, await second.body.text()]).toEqual([502, '3']);
		expect(target?.closedConnections).toContain(2);
	});

	test('is refused without the identifier once the target has echoed it', async () => {
		let served = 0;
		const {url} = await start(({socket, requestId}) => {
			served += 1;
			const echo = served === 1 ? `catkindale-request-id: ${requestId}\r\n` : '';
			socket.write(`${ok}${echo}content-length: 0\r\n\r\n`);
		});
		const first = await request(`${url}/open-orders`, {method: 'POST'});
		const second = await request(`${url}/open-orders`, {method: 'POST'});
		expect([first.statusCode, second.statusCode]).toEqual([200, 502]);
	});
});

describe('answers without a body', () => {
	test.each([
		{method: 'HEAD', head: `${ok}content-length: 500\r\n`, seen: /200 OK.*content-length: 500.*\r\n\r\n$/vs},
		{method: 'GET', head: 'HTTP/1.1 204 Empty\r\n', seen: /204 No Content.*\r\n\r\n$/vs},
		{method: 'GET', head: 'HTTP/1.1 304 Same\r\netag: "1"\r\n', seen: /304 Not Modified.*etag: "1".*\r\n\r\n$/vs},
		{method: 'GET', head: `HTTP/1.1 103 Early\r\n\r\n${ok}content-length: 0\r\n`, seen: /^HTTP\/1.1 200 OK.*\r\n\r\n$/vs},
	])('pass to $method', async ({method, head, seen}) => {
		const {sendRaw} = await start(({socket}) => {
			socket.write(`${head}\r\n`);
		});
		expect(await sendRaw([`${method} /prices/a HTTP/1.1`, 'host: x', 'connection: close'])).toMatch(seen);
	});
});

describe('what a target must not see', () => {
	test.each([
		{name: 'Authorization', headers: [`authorization: Bearer ${callerKey}`]},
		{name: 'X-Api-Key', headers: [`x-api-key: ${callerKey}`]},
		{name: 'Proxy-Authorization', headers: [`authorization: Bearer ${callerKey}`, `proxy-authorization: Bearer ${callerKey}`]},
		{name: 'any other header with the key', headers: [`x-api-key: ${callerKey}`, `x-copy: key=${callerKey}`]},
		{name: 'a header that Connection names', headers: [`x-api-key: ${callerKey}`, 'connection: x-hop, close', 'x-hop: secret']},
		{name: 'a forged identity', headers: [`x-api-key: ${callerKey}`, 'catkindale-customer: secret']},
	])('$name', async ({headers}) => {
		const {sendRaw} = await start(({socket}) => {
			socket.write(`${ok}content-length: 0\r\n\r\n`);
		});
		expect(await sendRaw(['GET /keyed/a HTTP/1.1', 'host: x', 'connection: close', ...headers])).toContain('200 OK');
		expect(target?.requestHeads.join('\n')).not.toMatch(/entry-test-key|secret/v);
		expect(target?.requestHeads.join('\n')).toContain('catkindale-customer: wideroe');
	});

	test('trailers', async () => {
		let input = () => '';
		const {sendRaw} = await start(received => {
			input = received.getInput;
			setTimeout(() => {
				received.socket.write(`${ok}content-length: 0\r\n\r\n`);
			}, 100);
		});
		const lines = ['POST /open-orders HTTP/1.1', 'host: x', 'connection: close', 'trailer: x-secret', 'transfer-encoding: chunked', '', '3', 'abc', '0', 'x-secret: 1'];
		expect(await sendRaw(lines)).toContain('200 OK');
		expect(input()).toContain('abc');
		expect(input()).not.toContain('x-secret');
	});
});

describe('a request that is refused before any target sees it', () => {
	const key = `x-api-key: ${callerKey}`;
	test.each([
		{name: 'dot segments', lines: ['GET /files/../keyed/a HTTP/1.1'], status: 400},
		{name: 'encoded dot segments', lines: ['GET /files/%2e%2E/keyed/a HTTP/1.1'], status: 400},
		{name: 'doubly encoded dot segments', lines: ['GET /files/%252e%252e/keyed/a HTTP/1.1'], status: 400},
		{name: 'dot segments with a parameter', lines: ['GET /files/..;x/keyed/a HTTP/1.1'], status: 400},
		{name: 'an encoded slash', lines: ['GET /prices/a%2fb HTTP/1.1'], status: 400},
		{name: 'a backslash', lines: [String.raw`GET /files/..\keyed HTTP/1.1`], status: 400},
		{name: 'empty segments', lines: ['GET /files//keyed HTTP/1.1'], status: 400},
		{name: 'an absolute URL', lines: ['GET http://y/prices/a HTTP/1.1'], status: 400},
		{name: 'a fragment', lines: ['GET /prices/a#/../b HTTP/1.1'], status: 400},
		{name: 'two keys in one header', lines: ['GET /keyed/a HTTP/1.1', key, 'x-api-key: other'], status: 400},
		{name: 'two keys in two headers', lines: ['GET /keyed/a HTTP/1.1', key, 'authorization: Bearer other'], status: 400},
		{name: 'a declared body above the limit', lines: ['POST /open-orders HTTP/1.1', `content-length: ${bodyLimitBytes + 1}`], status: 413},
		{name: 'a body that doesn\'t come', lines: ['POST /open-orders HTTP/1.1', 'content-length: 10'], status: 408},
		{name: 'an unasked body after a refusal', lines: ['POST /orders HTTP/1.1', 'expect: 100-continue', 'content-length: 10'], status: 401},
	])('$name', async ({lines, status}) => {
		const {sendRaw} = await start(({socket}) => {
			socket.write(`${ok}content-length: 0\r\n\r\n`);
		}, {bodyBytes: bodyLimitBytes, idleTimeoutMilliseconds: idleMilliseconds});
		const answer = await sendRaw([...lines, 'host: x', 'connection: close']);
		expect(answer).toMatch(new RegExp(String.raw`^HTTP/1.1 ${status} .*"outcome":"not-run"`, 'vs'));
		expect(target?.requestHeads).toEqual([]);
	});
});

describe('a request that ends early after its beginning was handed over', () => {
	test.each([
		{
			name: 'above the limit', rest: 'x'.repeat(bodyLimitBytes), status: 413, limits: {bodyBytes: bodyLimitBytes},
		},
		{
			name: 'too slow', rest: '', status: 408, limits: {idleTimeoutMilliseconds: idleMilliseconds},
		},
		{
			name: 'past the deadline', rest: '', status: 504, limits: {},
		},
		{
			name: 'malformed', rest: '\r\nno chunk', status: 400, limits: {},
		},
	])('is unknown and cancelled at the target: $name', async ({rest, status, limits}) => {
		const {connect} = await start(() => undefined, limits);
		const socket = connect();
		socket.setEncoding('utf8');
		let output = '';
		socket.on('data', chunk => {
			output += String(chunk);
		});
		const size = bodyLimitBytes - 10_000;
		socket.write(`POST /open-orders HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`);
		await delay(100);
		expect(target?.requestHeads).toHaveLength(1);
		if (rest) {
			socket.write(rest.startsWith('x') ? `${rest.length.toString(16)}\r\n${rest}\r\n` : rest);
		}

		await once(socket, 'close');
		expect(output).toMatch(new RegExp(String.raw`HTTP/1.1 ${status} .*"outcome":"unknown"`, 'vs'));
		await delay(100);
		expect(target?.closedConnections).toContain(2);
	});
});

describe('callers that leave or stop reading', () => {
	test('cancel the request at the target', async () => {
		const {connect} = await start(() => undefined);
		const socket = connect();
		socket.write('GET /prices/a HTTP/1.1\r\nhost: x\r\n\r\n');
		await delay(100);
		expect(target?.closedConnections).not.toContain(2);
		socket.destroy();
		await delay(100);
		expect(target?.closedConnections).toContain(2);
	});

	test('free the target at once in mid-answer, also if the outcome is remembered', async () => {
		const {connect} = await start(({socket}) => {
			socket.write(`${ok}content-length: ${largeBytes * 100}\r\n\r\n${'x'.repeat(largeBytes * 100)}`);
		});
		const socket = connect();
		socket.pause();
		socket.write('POST /open-orders HTTP/1.1\r\nhost: x\r\nidempotency-key: one\r\ncontent-length: 0\r\n\r\n');
		await delay(300);
		expect(target?.closedConnections).not.toContain(2);
		socket.destroy();
		await delay(200);
		expect(target?.closedConnections).toContain(2);
	});

	test('hold the target back and no one else up', async () => {
		let isDrained = true;
		const {connect, url} = await start(({socket, requestId}) => {
			const isFlood = socket.listenerCount('drain') === 0 && target?.requestHeads.at(-1)?.includes('flood');
			if (!isFlood) {
				socket.write(`${ok}catkindale-request-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`);
				return;
			}

			const total = 64 * 1_048_576;
			socket.write(`${ok}content-length: ${total}\r\n\r\n`);
			isDrained = socket.write('x'.repeat(total));
		});
		const slow = connect();
		slow.pause();
		slow.write('GET /prices/flood HTTP/1.1\r\nhost: x\r\n\r\n');
		await delay(300);
		expect(isDrained).toBe(false);
		const other = await request(`${url}/prices/other`);
		expect(await other.body.text()).toBe('ok');
		slow.destroy();
	});
});

describe('100-continue', () => {
	test('asks for the body only once the request is accepted', async () => {
		const {connect} = await start(({socket}) => {
			socket.write(`${ok}content-length: 0\r\n\r\n`);
		});
		const socket = connect();
		socket.write('POST /open-orders HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 3\r\nconnection: close\r\n\r\n');
		const [first] = await once(socket, 'data') as [Uint8Array];
		expect(String(first)).toBe('HTTP/1.1 100 Continue\r\n\r\n');
		socket.write('abc');
		const [second] = await once(socket, 'data') as [Uint8Array];
		expect(String(second)).toContain('200 OK');
	});
});

describe('a graceful stop', () => {
	test('lets requests in flight finish', async () => {
		const {url, node} = await start(({socket}) => {
			setTimeout(() => {
				socket.write(`${ok}content-length: 4\r\n\r\ndone`);
			}, 300);
		});
		const running = request(`${url}/prices/a`);
		await delay(100);
		const stopped = node.stop();
		const answer = await running;
		expect([answer.statusCode, await answer.body.text()]).toEqual([200, 'done']);
		await stopped;
	});
});
