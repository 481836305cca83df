/** One request at one target: complete responses, correct outcomes, limits, and keys that targets never see. */
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
const otherRequestRefusal = 'HTTP/1.1 503 No\r\ncatkindale-request-id: other\r\ncatkindale-outcome: not-run\r\ncontent-length: 0\r\n\r\n';
const unknown502 = /HTTP\/1.1 502 .*"outcome":"unknown"/vs;
const bodyLimitBytes = 100_000;
const idleMilliseconds = 300;
let entry: TestEntry | undefined;
let target: RawTarget | undefined;

afterEach(async () => {
	await target?.stop();
	await entry?.stop();
});

async function start(respond: (received: ReceivedRequest) => void, limits = {}): Promise<TestEntry> {
	target = await startRawTarget(received => {
		if (received.getInput().includes('GET /ready ')) {
			received.socket.end(`${ok}content-length: 0\r\nconnection: close\r\n\r\n`);
			return;
		}

		respond(received);
	});
	entry = await startEntry([target.address], limits);
	target.requestHeads.length = 0;
	target.closedConnections.length = 0;
	return entry;
}

describe('a response that is incomplete or belongs to another request', () => {
	test.each([
		{
			name: 'small response cut short', path: '/open-orders', createResponse: (id: string) => `${ok}catkindale-request-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`, expected: unknown502,
		},
		{
			name: 'response to another request', path: '/open-orders', createResponse: () => `${ok}catkindale-request-id: other\r\ncontent-length: 5\r\n\r\nwhole`, expected: unknown502,
		},
		{
			name: 'response without a length', path: '/open-orders', createResponse: () => `${ok}\r\nwhole?`, expected: unknown502,
		},
		{
			name: 'no response', path: '/open-orders', createResponse: () => '', expected: unknown502,
		},
		{
			name: 'refusal of another request', path: '/open-orders', createResponse: () => otherRequestRefusal, expected: unknown502,
		},
		{
			name: 'refusal of this request', path: '/open-orders', createResponse: (id: string) => otherRequestRefusal.replace('other', id), expected: /HTTP\/1.1 503 .*"outcome":"not-run"/vs,
		},
	])('is reported with its outcome: $name', async ({path, createResponse, expected}) => {
		const {sendRaw} = await start(({socket, requestId}) => {
			socket.end(createResponse(requestId));
		});
		expect(await sendRaw([`POST ${path} HTTP/1.1`, 'host: x', 'connection: close'])).toMatch(expected);
	});

	test('resets the caller\'s connection when it is cut while streaming', async () => {
		const {sendRaw} = await start(({socket, requestId}) => {
			socket.write(`${ok}catkindale-request-id: ${requestId}\r\ncontent-length: ${largeBytes * 2}\r\n\r\n${'x'.repeat(largeBytes)}`);
			setTimeout(() => {
				socket.destroy();
			}, 100);
		});
		await expect(sendRaw(['GET /prices/a HTTP/1.0', 'host: x'])).rejects.toThrow('ECONNRESET');
	});

	test('closes its connection, so that no later caller gets the rest of it', async () => {
		const {url} = await start(({socket, requestId, connectionNumber}) => {
			const id = connectionNumber === 2 ? 'other' : requestId;
			socket.write(`${ok}catkindale-request-id: ${id}\r\ncontent-length: 1\r\n\r\n${connectionNumber}`);
		});
		const first = await request(`${url}/open-orders`, {method: 'POST'});
		const second = await request(`${url}/open-orders`, {method: 'POST'});
		expect([first.statusCode, await second.body.text()]).toEqual([502, '3']);
		expect(target?.closedConnections).toContain(2);
	});

	test('is rejected without the request identifier once the target has echoed one', async () => {
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

describe('responses without a body', () => {
	test.each([
		{method: 'HEAD', head: `${ok}content-length: 500\r\n`, expected: /200 OK.*content-length: 500.*\r\n\r\n$/vs},
		{method: 'GET', head: 'HTTP/1.1 204 Empty\r\n', expected: /204 No Content.*\r\n\r\n$/vs},
		{method: 'GET', head: 'HTTP/1.1 304 Same\r\netag: "1"\r\n', expected: /304 Not Modified.*etag: "1".*\r\n\r\n$/vs},
		{method: 'GET', head: `HTTP/1.1 103 Early\r\n\r\n${ok}content-length: 0\r\n`, expected: /^HTTP\/1.1 200 OK.*\r\n\r\n$/vs},
	])('are forwarded for $method', async ({method, head, expected}) => {
		const {sendRaw} = await start(({socket}) => {
			socket.write(`${head}\r\n`);
		});
		expect(await sendRaw([`${method} /prices/a HTTP/1.1`, 'host: x', 'connection: close'])).toMatch(expected);
	});
});

describe('headers that must not reach a target', () => {
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

describe('a request that is refused before it reaches a target', () => {
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
		{name: 'a body that never arrives', lines: ['POST /open-orders HTTP/1.1', 'content-length: 10'], status: 408},
		{name: 'a body that waits for 100 Continue', lines: ['POST /orders HTTP/1.1', 'expect: 100-continue', 'content-length: 10'], status: 401},
	])('$name', async ({lines, status}) => {
		const {sendRaw} = await start(({socket}) => {
			socket.write(`${ok}content-length: 0\r\n\r\n`);
		}, {bodyBytes: bodyLimitBytes, idleTimeoutMilliseconds: idleMilliseconds});
		const response = await sendRaw([...lines, 'host: x', 'connection: close']);
		expect(response).toMatch(new RegExp(String.raw`^HTTP/1.1 ${status} .*"outcome":"not-run"`, 'vs'));
		expect(target?.requestHeads).toEqual([]);
	});
});

describe('a request that fails after its beginning was sent to the target', () => {
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
	])('has the outcome unknown and is cancelled at the target: $name', async ({rest, status, limits}) => {
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

describe('callers that disconnect or stop reading', () => {
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

	test('cancel a streaming response at once, also if the outcome is remembered', async () => {
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

	test('slow down their target and no other caller', async () => {
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
	test('is sent only after the request was accepted', async () => {
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
	test('waits for running requests', async () => {
		const {url, node} = await start(({socket}) => {
			setTimeout(() => {
				socket.write(`${ok}content-length: 4\r\n\r\ndone`);
			}, 300);
		});
		const running = request(`${url}/prices/a`);
		await delay(100);
		const stopped = node.stop();
		const response = await running;
		expect([response.statusCode, await response.body.text()]).toEqual([200, 'done']);
		await stopped;
	});
});

describe('a target that answers before it has read a large body', () => {
	const bodyBytes = 1_000_000;
	const sentBeforeAnswer = 600_000;
	const answerTimeoutMilliseconds = 3000;

	// Guards against a connection whose next request was never read, as nothing read the rest of the body.
	test('the next request on the caller\'s connection is answered', async () => {
		const {connect} = await start(({socket, requestId, getInput}) => {
			const isUpload = getInput().includes('PUT /receipts/');
			socket.write(`${ok}catkindale-request-id: ${requestId}\r\ncontent-length: 5\r\n\r\n${isUpload ? 'early' : 'whole'}`);
		});
		const socket = connect();
		let received = '';
		socket.on('data', chunk => {
			received += String(chunk);
		});
		socket.write(`PUT /receipts/one HTTP/1.1\r\nhost: entry\r\ncontent-length: ${bodyBytes}\r\n\r\n${'x'.repeat(sentBeforeAnswer)}`);
		await waitUntilReceived(() => received, 'early', answerTimeoutMilliseconds);
		socket.write('x'.repeat(bodyBytes - sentBeforeAnswer));
		socket.write('GET /prices/ENGM HTTP/1.1\r\nhost: entry\r\n\r\n');
		await waitUntilReceived(() => received, 'whole', answerTimeoutMilliseconds);
		expect(received.match(/HTTP\/1.1 200/gv)).toHaveLength(2);
		socket.destroy();
	});
});

describe('a response that breaks off while other requests of its caller wait behind it', () => {
	const answerTimeoutMilliseconds = 3000;

	// Guards against a reset for one broken response that took the whole ones of other targets with it.
	test('costs those requests nothing', async () => {
		const {connect} = await start(({socket, requestId, getInput}) => {
			const head = `${ok}catkindale-request-id: ${requestId}\r\n`;
			if (getInput().includes('GET /prices/ENGM')) {
				socket.write(`${head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
				return;
			}

			setTimeout(() => {
				socket.write(`${head}content-length: 5\r\n\r\nwhole`);
			}, 100);
		});
		const socket = connect();
		let received = '';
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			received += String(chunk);
		});
		socket.write(['ENGM', 'ENBR', 'ENVA'].map(airfield => `GET /prices/${airfield} HTTP/1.1\r\nhost: entry\r\n\r\n`).join(''));
		await waitUntilReceived(() => received, 'whole', answerTimeoutMilliseconds);
		expect(received).toMatch(/^HTTP\/1.1 50[23] .*HTTP\/1.1 200 .*HTTP\/1.1 200 /vs);
		expect(received).not.toContain('half');
		socket.destroy();
	});
});

describe('a request that waits for a slot while the knowledge of keys goes out of date', () => {
	const slots = 20;
	/** Longer than the freshness limit of 2.5 s, shorter than the request's own deadline. */
	const waitLimitMilliseconds = 5000;

	// Guards against requests that waited for their whole deadline on a node that could run none of them any more.
	test('is refused as soon as it is', async () => {
		const {url, stopTable} = await start(() => undefined);
		const get = async () => request(`${url}/patient/ENGM`, {headers: {authorization: `Bearer ${callerKey}`}});
		const running = Array.from({length: slots}, async () => get().catch(() => undefined));
		await waitUntilCount(() => target!.requestHeads.length, slots);
		const startedAt = performance.now();
		const waiting = get();
		await stopTable();
		const response = await waiting;
		expect(response.statusCode).toBe(503);
		expect(await response.body.json()).toMatchObject({outcome: 'not-run', reason: 'knowledge-out-of-date'});
		expect(performance.now() - startedAt).toBeLessThan(waitLimitMilliseconds);
		expect(target!.requestHeads).toHaveLength(slots);
		await target!.stop();
		await Promise.all(running);
	});
});

async function waitUntilCount(getCount: () => number, count: number): Promise<void> {
	while (getCount() < count) {
		await delay(10);
	}
}

/** Resolves once the text contains the part; fails after the timeout. */
async function waitUntilReceived(getText: () => string, part: string, timeoutMilliseconds: number): Promise<void> {
	const endsAt = performance.now() + timeoutMilliseconds;
	while (!getText().includes(part)) {
		if (performance.now() > endsAt) {
			throw new Error(`'${part}' wasn't received in time, only '${getText()}'`);
		}

		await delay(10);
	}
}
