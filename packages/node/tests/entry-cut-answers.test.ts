/**
 * Answers that break off and heads that are no answer, at an entry and on the
 * hop from entry to entry: whatever ends the connection of a target, no caller
 * may take a part of its answer for the whole.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse, createServer} from 'node:http';
import {type AddressInfo, type Socket, connect} from 'node:net';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {createEntryForwarder} from '../src/idempotency-hop.js';
import {failRequest} from '../src/problem.js';
import {sendBufferedResponse} from '../src/target-response.js';
import {
	type RawTarget, type ReceivedRequest, type TestEntry, startEntry, startRawTarget,
} from './entry-helpers.js';

const uploadBytes = 200_000;
/** A target that failed is avoided for a while, so that each request needs others. */
const targetCount = 80;
const slackMilliseconds = 30;
const framings = [
	{framing: 'no length', header: ''},
	{framing: 'chunks', header: 'transfer-encoding: chunked\r\n'},
	{framing: 'chunks, then a close', header: 'transfer-encoding: chunked\r\nconnection: close\r\n'},
	{framing: 'another transfer encoding', header: 'transfer-encoding: gzip\r\n'},
	{framing: 'chunks within another transfer encoding', header: 'transfer-encoding: chunked, identity\r\n'},
	{framing: 'chunks, and another transfer encoding', header: 'transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n'},
	{framing: 'a length', header: 'content-length: 300000\r\n'},
	{framing: 'a length, then a close', header: 'content-length: 300000\r\nconnection: close\r\n'},
] as const;
const sizes = [20, 11_000, 200_000];
const ends = ['reset', 'late reset', 'close', 'late close'] as const;
const callers = [
	{caller: 'HTTP/1.1', version: '1.1', headers: ['connection: close']},
	{caller: 'HTTP/1.0', version: '1.0', headers: []},
	{caller: 'HTTP/1.0 with keep-alive', version: '1.0', headers: ['connection: keep-alive']},
] as const;
const cuts = framings.flatMap(framing => callers.map(caller => ({...framing, ...caller})));
const invalidStartLines = [
	'HTTP/1.1 000 Trouble',
	'HTTP/1.1 000',
	'HTTP/1.1 0 Trouble',
	'HTTP/1.1 42 Trouble',
	'HTTP/1.1 099 Trouble',
	'HTTP/1.1 100 Continue',
	'HTTP/1.1 101 Switching Protocols',
	'HTTP/1.1 600 Trouble',
	'HTTP/1.1 700 Trouble',
	'HTTP/1.1 999 Trouble',
	'HTTP/1.1 1000 Trouble',
	'HTTP/1.1 -1 Trouble',
	'HTTP/1.1  ',
	'HTTP/1.1 OK',
	'HTTP/1.1 200OK',
	'OK',
];
let entry: TestEntry | undefined;
const targets: RawTarget[] = [];

afterEach(async () => {
	await entry?.stop();
	entry = undefined;
	await Promise.all(targets.splice(0).map(async target => target.stop()));
});

async function startTarget(respond: (received: ReceivedRequest) => void): Promise<string> {
	const target = await startRawTarget(received => {
		if (received.getInput().includes('GET /ready ')) {
			received.socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
			return;
		}

		respond(received);
	});
	targets.push(target);
	return target.address;
}

/** Writes the part of an answer and ends the connection, which has unread bytes of the upload in it. */
function writePart({socket, requestId}: ReceivedRequest, header: string, bytes: number, end: typeof ends[number]): void {
	const body = 'x'.repeat(bytes);
	const content = header.startsWith('transfer-encoding') ? `${bytes.toString(16)}\r\n${body}\r\n` : body;
	socket.write(`HTTP/1.1 200 OK\r\ncatkindale-request-id: ${requestId}\r\n${header}\r\n${content}`);
	const finish = (): void => {
		if (end.endsWith('reset')) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	};

	if (end.startsWith('late')) {
		setTimeout(finish, slackMilliseconds);
	} else {
		finish();
	}
}

/** Returns the status, and whether a caller that goes by the protocol takes the answer for a whole one. */
async function readAnswer(socket: Socket): Promise<{readonly status: number; readonly isWhole: boolean}> {
	let received = '';
	let hasEnded = false;
	socket.setEncoding('latin1');
	socket.on('error', () => undefined);
	socket.on('data', (chunk: string) => {
		received += chunk;
		if (isComplete(received)) {
			socket.destroy();
		}
	});
	socket.once('end', () => {
		// A reset that arrives together with data is reported as an end; the socket then has no remote address.
		hasEnded = socket.remoteAddress !== undefined;
	});
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	const status = Number(/^HTTP\/1\.1 (\d{3})/v.exec(received)?.[1] ?? 0);
	const hasOwnEnd = /^(?:content-length|transfer-encoding):/imv.test(received);
	return {status, isWhole: status !== 0 && (hasOwnEnd ? isComplete(received) : hasEnded)};
}

function isComplete(received: string): boolean {
	const headEnd = received.indexOf('\r\n\r\n');
	const head = received.slice(0, Math.max(0, headEnd));
	const length = /^content-length: (\d+)/imv.exec(head)?.[1];
	return length === undefined ? /^transfer-encoding/imv.test(head) && received.endsWith('\r\n0\r\n\r\n') : received.length - headEnd - 4 >= Number(length);
}

function writeUpload(socket: Socket, method: string, path: string, {version, headers}: {readonly version: string; readonly headers: readonly string[]}): void {
	const body = method === 'POST' ? 'u'.repeat(uploadBytes) : '';
	socket.write([`${method} ${path} HTTP/${version}`, 'host: x', `content-length: ${body.length}`, ...headers, '', body].join('\r\n'));
}

describe('an answer that breaks off', () => {
	test.each(cuts)('never looks complete at an entry: $framing, to $caller', async ({header, version, headers}) => {
		let current: {readonly bytes: number; readonly end: typeof ends[number]} | undefined;
		let arrivals = 0;
		const addresses = await Promise.all(Array.from({length: targetCount}, async () => startTarget(received => {
			arrivals += 1;
			writePart(received, header, current!.bytes, current!.end);
		})));
		entry = await startEntry(addresses);
		for (const bytes of sizes) {
			for (const end of ends) {
				for (const [method, path] of [['POST', '/open-orders'], ['GET', '/prices/a']] as const) {
					current = {bytes, end};
					const socket = entry.connect();
					writeUpload(socket, method, path, {version, headers});
					const answer = await readAnswer(socket);
					expect({
						bytes, end, method, ...answer, isWholeSuccess: answer.isWhole && answer.status === 200,
					}).toMatchObject({isWholeSuccess: false});
				}
			}
		}

		expect(arrivals).toBeGreaterThanOrEqual(sizes.length * ends.length * 2);
	});

	test.each(cuts)('never looks complete behind the hop to another entry: $framing, to $caller', async ({header, version, headers}) => {
		let current: {readonly bytes: number; readonly end: typeof ends[number]} | undefined;
		const address = await startTarget(received => {
			writePart(received, header, current!.bytes, current!.end);
		});
		const forwarder = createEntryForwarder('secret-of-the-fleet');
		const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
			const result = await forwarder.forward({
				address, request, response, requestId: 'order', key: undefined, deadlineMilliseconds: 3000, signal: new AbortController().signal, body: {
					prefix: Buffer.alloc(0), isFullyBuffered: true, open: () => null, canOpen: () => true,
				},
			});
			if (result?.kind === 'answered') {
				sendBufferedResponse(response, result.response, 'order');
			} else if (!result) {
				failRequest(response, 'order');
			}
		};

		const server = createServer((request, response) => {
			void handle(request, response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		for (const bytes of sizes) {
			for (const end of ends) {
				current = {bytes, end};
				const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
				writeUpload(socket, 'GET', '/orders', {version, headers});
				const answer = await readAnswer(socket);
				expect({bytes, end, isWholeSuccess: answer.isWhole && answer.status === 200}).toEqual({bytes, end, isWholeSuccess: false});
			}
		}

		await forwarder.close();
		server.close();
	});
});

describe('a head that is no answer', () => {
	test.each(invalidStartLines)('is a lost answer to an unsafe request, and another target answers a safe one: %s', async startLine => {
		let faultyArrivals = 0;
		const faulty = await startTarget(({socket, requestId}) => {
			faultyArrivals += 1;
			socket.write(`${startLine}\r\ncatkindale-request-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`);
		});
		const sound = await startTarget(({socket, requestId}) => {
			socket.write(`HTTP/1.1 200 OK\r\ncatkindale-request-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`);
		});
		entry = await startEntry([faulty, sound]);
		const unsafe = new Set<number>();
		const safe = new Set<number>();
		for (let count = 0; count < 10; count++) {
			for (const [method, path, statuses] of [['POST', '/open-orders', unsafe], ['GET', '/prices/a', safe]] as const) {
				const socket = entry.connect();
				writeUpload(socket, method, path, {version: '1.1', headers: ['connection: close']});
				const {status} = await readAnswer(socket);
				statuses.add(status);
			}
		}

		expect(faultyArrivals).toBeGreaterThan(0);
		expect([...unsafe].filter(status => status !== 200 && status !== 502)).toEqual([]);
		expect([...safe]).toEqual([200]);
	});
});
