/** The body of a request of a caller, with raw connections. */
import {once} from 'node:events';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {readCallerBody} from '../src/caller-body.js';
import {listenOn} from '../src/http-server.js';

const limits = {maximumBytes: 1000, idleTimeoutMilliseconds: 1000, prefixTimeoutMilliseconds: 1000};

describe('the body of a caller\'s request', () => {
	let server: Server;
	let port: number;

	beforeEach(async () => {
		const serve = (request: IncomingMessage, response: ServerResponse): void => {
			void echoBody(request, response);
		};

		server = createServer(serve);
		server.on('checkContinue', serve);
		const address = await listenOn(server, '127.0.0.1:0');
		port = Number(address.split(':')[1]);
	});

	afterEach(() => {
		server.close();
		server.closeAllConnections();
	});

	// A caller of HTTP/1.0 knows no interim response and takes `100 Continue` for the last one.
	it.each([
		{version: '1.0', statuses: ['200']},
		{version: '1.1', statuses: ['100', '200']},
	])('gives $statuses to a caller of HTTP/$version that expects 100 Continue', async ({version, statuses}) => {
		const socket = connect({host: '127.0.0.1', port});
		let received = '';
		socket.on('data', (chunk: Uint8Array) => {
			received += String(chunk);
		});
		socket.write(`POST / HTTP/${version}\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody`);
		await once(socket, 'close');
		expect([...received.matchAll(/HTTP\/1\.1 (\d+)/gv)].map(([, status]) => status)).toEqual(statuses);
		expect(received.endsWith('body')).toBe(true);
	});
});

async function echoBody(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const body = await readCallerBody(request, limits, response);
	response.end(body.ok ? body.value.prefix : body.error);
}
