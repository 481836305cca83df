/** The drain of a server for callers, with raw connections: it closes none that still carries a response. */
import {once} from 'node:events';
import {type Socket, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type CallerServer, createCallerServer} from '../src/caller-server.js';
import {listenOn} from '../src/http-server.js';
import {sendProblem} from '../src/problem.js';

const bodyBytes = 24_000_000;
const graceMilliseconds = 3000;
/** Longer than the time after which a drain closes idle connections. */
const uploadParts = 12;
const uploadPart = 'x'.repeat(40_000);
/** `/slow` takes longer than the limit for a head and the interval at which it is checked. */
const serviceMilliseconds: Record<string, number> = {'/slow': 3000, '/early': 0};
const defaultServiceMilliseconds = 300;
const limits = {
	headerBytes: 16_384, callerConnections: 100, headerTimeoutMilliseconds: 1000, idleTimeoutMilliseconds: 10_000,
};

describe('the drain of a server for callers', () => {
	let callerServer: CallerServer;
	let port: number;
	let socket: Socket;
	let received: string;
	let cutOff: string[];
	let begun: string[];

	beforeEach(async () => {
		received = '';
		cutOff = [];
		begun = [];
		callerServer = createCallerServer(limits, (request, response) => {
			begun.push(request.url ?? '');
			switch (request.url ?? '') {
				case '/large': {
					response.end('x'.repeat(bodyBytes));
					break;
				}

				case '/refused': {
					sendProblem(response, {
						status: 413, outcome: 'not-run', reason: 'body-too-large', detail: 'the body is above the limit',
					});
					break;
				}

				case '/begun': {
					response.writeHead(200);
					response.write('begun');
					break;
				}

				case '/unframed': {
					response.write('un');
					setTimeout(() => {
						response.end('framed');
					}, 300);
					break;
				}

				case '/read-on': {
					response.end('early');
					request.resume();
					break;
				}

				default: {
					setTimeout(() => {
						response.end(request.url);
					}, serviceMilliseconds[request.url ?? ''] ?? defaultServiceMilliseconds);
				}
			}
		});
		const address = await listenOn(callerServer.server, '127.0.0.1:0');
		port = Number(address.split(':')[1]);
		socket = connect({host: '127.0.0.1', port});
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		await once(socket, 'connect');
	});

	afterEach(() => {
		socket.destroy();
		callerServer.close();
	});

	const drain = async (): Promise<void> => callerServer.drain({
		graceMilliseconds, onCutOff(response) {
			cutOff.push(response.req.url ?? '');
		},
	});

	const countConnections = async (): Promise<number> => new Promise(resolve => {
		callerServer.server.getConnections((_error, count) => {
			resolve(count);
		});
	});

	// Node.js counts the connection as idle from the moment at which the response was ended.
	it('leaves a response whole whose bytes wait in the process', async () => {
		const closed = once(socket, 'close');
		socket.pause();
		socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
		await delay(200);
		const drained = drain();
		await delay(1500);
		socket.resume();
		await drained;
		await closed;
		expect(received.length).toBeGreaterThan(bodyBytes);
	});

	it('leaves a request whole that waits behind a response whose bytes wait in the process', async () => {
		const closed = once(socket, 'close');
		socket.pause();
		socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\nGET /behind HTTP/1.1\r\nHost: a\r\n\r\n');
		await delay(200);
		const drained = drain();
		await delay(1500);
		socket.resume();
		await drained;
		await closed;
		expect(received.endsWith('/behind')).toBe(true);
	});

	// A request that comes behind the last response resets a closed connection; its caller fails to send then, and never reads that response.
	it('leaves the last response whole for a caller that reads late and goes on sending', async () => {
		callerServer.startDraining();
		socket.on('error', () => undefined);
		const closed = once(socket, 'close');
		socket.pause();
		socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\n');
		await delay(400);
		for (const path of ['/second', '/third']) {
			socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
			await delay(50);
		}

		socket.resume();
		await closed;
		expect(received.endsWith('/first')).toBe(true);
	});

	// The refusal of what came behind the last response had no place any more, and closed the connection in its stead.
	it.each([
		{what: 'a head that can\'t be read', path: '/first', behind: 'no head\r\n\r\n'},
		{what: 'a head that comes too slowly', path: '/slow', behind: 'GET /behind HTTP/1.1\r\n'},
	])('leaves the last response whole for a caller that reads late and goes on sending behind $what', async ({path, behind}) => {
		socket.on('error', () => undefined);
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.pause();
		socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n${behind}`);
		await delay(serviceMilliseconds[path] ?? defaultServiceMilliseconds);
		for (let part = 0; part < 4; part++) {
			await delay(50);
			socket.write('a: b\r\n');
		}

		socket.resume();
		await closed;
		expect(received.endsWith(path)).toBe(true);
	});

	it('closes the connection after its last response also if its caller doesn\'t', async () => {
		callerServer.startDraining();
		const halfOpen = connect({host: '127.0.0.1', port, allowHalfOpen: true});
		halfOpen.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\n');
		halfOpen.resume();
		await once(halfOpen, 'end');
		const startedAt = performance.now();
		await drain();
		expect(performance.now() - startedAt).toBeLessThan(graceMilliseconds / 2);
		halfOpen.destroy();
	});

	// Without a length, the end of the connection would tell a caller of HTTP/1.0 that its response is complete.
	it('resets a response that has begun when the grace time ends, and reports it', async () => {
		socket.write('GET /begun HTTP/1.0\r\nHost: a\r\n\r\n');
		await delay(100);
		const failure = once(socket, 'error');
		await drain();
		const [error] = await failure as [NodeJS.ErrnoException];
		expect(error.code).toBe('ECONNRESET');
		expect(cutOff).toEqual(['/begun']);
	});

	// Node.js closes the connection at a CONNECT that nothing handles, whatever waits on it.
	it('answers the request ahead of a CONNECT, and refuses the CONNECT', async () => {
		socket.write('GET /ahead HTTP/1.1\r\nHost: a\r\n\r\nCONNECT b:1 HTTP/1.1\r\nHost: b:1\r\n\r\n');
		await once(socket, 'close');
		expect(received).toMatch(/^HTTP\/1\.1 200 .*\/aheadHTTP\/1\.1 400 .*"outcome":"not-run"/sv);
	});

	// A head that is too slow is complete, and its request begun, before the refusal has its turn on the connection.
	it('begins no request on a connection whose refusal waits for the answer ahead', async () => {
		socket.write('GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /late HTTP/1.1\r\n');
		await delay(2500);
		socket.write('Host: a\r\n\r\n');
		await once(socket, 'close');
		expect(begun).toEqual(['/slow']);
		expect(received).toMatch(/^HTTP\/1\.1 200 .*\/slowHTTP\/1\.1 408 .*"outcome":"not-run"/sv);
	});

	// A close with unread data resets the connection, which takes the answer away from a caller that still writes.
	it.each([
		{name: 'when its caller wants the connection closed', isDraining: false, header: 'Connection: close'},
		{name: 'in a drain', isDraining: true, header: 'Connection: keep-alive'},
	])('reads the rest of a body that was answered early, $name', async ({isDraining, header}) => {
		const errors: Error[] = [];
		const uploader = connect({host: '127.0.0.1', port, allowHalfOpen: true});
		uploader.on('error', error => {
			errors.push(error);
		});
		let answer = '';
		uploader.on('data', (chunk: Uint8Array) => {
			answer += String(chunk);
		});
		await once(uploader, 'connect');
		if (isDraining) {
			callerServer.startDraining();
		}

		uploader.write(`POST /early HTTP/1.1\r\nHost: a\r\n${header}\r\nContent-Length: ${uploadParts * uploadPart.length}\r\n\r\n`);
		const drained = isDraining ? drain() : undefined;
		for (let part = 0; part < uploadParts; part++) {
			uploader.write(uploadPart);
			await delay(60);
		}

		uploader.end();
		await drained;
		expect(answer).toMatch(/\/early$/v);
		expect(errors).toEqual([]);
	});

	// A refused upload is read to its end, so that a request behind it is read while the announced close is due.
	it('begins no request behind a response that has announced the close of its connection', async () => {
		const closed = once(socket, 'close');
		socket.write('POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n');
		await expect.poll(() => received).toContain('413');
		socket.write(`${'x'.repeat(100_000)}GET /behind HTTP/1.1\r\nHost: a\r\n\r\n`);
		await closed;
		expect({begun, answers: received.match(/HTTP\/1\.1 \d+/gv)}).toEqual({begun: ['/refused'], answers: ['HTTP/1.1 413']});
	});

	// HTTP/1.0 has no pipelining: without a length, the end of the connection is the end of the response.
	it('begins no request behind one of HTTP/1.0', async () => {
		const closed = once(socket, 'close');
		socket.write('GET /unframed HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\nGET /behind HTTP/1.0\r\nHost: a\r\n\r\n');
		await closed;
		expect({begun, answers: received.match(/HTTP\/1\.1 \d+/gv), isWhole: received.endsWith('unframed')}).toEqual({begun: ['/unframed'], answers: ['HTTP/1.1 200'], isWhole: true});
	});

	// Node.js answers the first itself, and closes the connection with the requests behind it; the HTTP client can't send the second, which looked like an unreachable target.
	it.each([
		{hosts: 'no host', lines: ''},
		{hosts: 'two hosts', lines: 'Host: a\r\nhost: a\r\n'},
	])('refuses a request with $hosts, and answers those around it', async ({lines}) => {
		socket.write(`GET /ahead HTTP/1.1\r\nHost: a\r\n\r\nGET /refused-head HTTP/1.1\r\n${lines}\r\nGET /behind HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
		await once(socket, 'close');
		expect(received).toMatch(/^HTTP\/1\.1 200 .*\/aheadHTTP\/1\.1 400 .*"outcome":"not-run".*HTTP\/1\.1 200 .*\/behind$/sv);
		expect(begun).toEqual(['/ahead', '/behind']);
	});

	// Such a caller may go on sending, or neither send nor close, and would occupy the connection for ever.
	it.each([
		{what: 'a head that can\'t be read', head: 'no head\r\n\r\n', status: 400},
		{what: 'a head that comes too slowly', head: 'GET /first HT', status: 408},
	])('closes the connection of a caller that doesn\'t, after the refusal of $what', async ({head, status}) => {
		socket.destroy();
		const halfOpen = connect({host: '127.0.0.1', port, allowHalfOpen: true});
		let refusal = '';
		halfOpen.on('data', chunk => {
			refusal += String(chunk);
		});
		halfOpen.write(head);
		await once(halfOpen, 'end');
		expect(refusal).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `, 'v'));
		await delay(1000);
		expect(await countConnections()).toBe(0);
		halfOpen.destroy();
	});

	// The rest of the body was taken for a part of a further request, and the drain lasted for its whole grace time.
	it('closes a connection without a request after a body that was read behind its response', async () => {
		socket.write('POST /read-on HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n');
		await expect.poll(() => received).toContain('early');
		socket.write('x'.repeat(100_000));
		await delay(200);
		const startedAt = performance.now();
		await drain();
		expect(performance.now() - startedAt).toBeLessThan(graceMilliseconds / 2);
	});

	it('closes connections without a request', async () => {
		const startedAt = performance.now();
		await drain();
		expect(performance.now() - startedAt).toBeLessThan(graceMilliseconds / 2);
	});
});
