/** Connections that end while the response on them is paused, with a raw server. */
import {once} from 'node:events';
import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createConnector} from '../src/http-connector.js';

const endAfterMilliseconds = 50;
const resumeAfterMilliseconds = 150;
const timeoutMilliseconds = 2000;
/** Less than a socket reads ahead. */
const largeBytes = 100_000;
const cases = [
	{name: 'without a length', response: 'HTTP/1.1 200 OK\r\n\r\nabc', result: 'end'},
	{name: 'with a length and all its bytes', response: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc', result: 'end'},
	{name: 'with a length and a part of its bytes', response: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nabc', result: 'error'},
	{name: 'in chunks, cut', response: 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc', result: 'error'},
].flatMap(given => [1, 2, 3].map(pauses => ({...given, pauses})));
const resetCases = [
	{name: 'without a length', response: 'HTTP/1.1 200 OK\r\n\r\n', isWhole: false},
	{name: 'with a length and all its bytes', response: `HTTP/1.1 200 OK\r\nContent-Length: ${largeBytes}\r\n\r\n`, isWhole: true},
	{name: 'with a length, all its bytes and a close', response: `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${largeBytes}\r\n\r\n`, isWhole: true},
	{name: 'with a length and a part of its bytes', response: `HTTP/1.1 200 OK\r\nContent-Length: ${largeBytes + 1}\r\n\r\n`, isWhole: false},
	{
		name: 'in chunks', response: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${largeBytes.toString(16)}\r\n`, tail: '\r\n0\r\n\r\n', isWhole: true,
	},
	{
		name: 'in chunks, cut', response: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${largeBytes.toString(16)}\r\n`, tail: '\r\n0\r\n', isWhole: false,
	},
].flatMap(given => [1, 2, 3].flatMap(pauses => [0, endAfterMilliseconds].map(delayMilliseconds => ({
	tail: '', ...given, pauses, delayMilliseconds,
}))));

describe('a response that is paused', () => {
	let server: Server;
	let client: Client;

	afterEach(async () => {
		await client.destroy();
		server.close();
	});

	const receive = async (pauses: number): Promise<{readonly text: string; readonly result: string}> => {
		let text = '';
		let pausesLeft = pauses;
		return new Promise(resolve => {
			const finish = (result: string): void => {
				clearTimeout(timer);
				resolve({text, result});
			};

			const timer = setTimeout(finish, timeoutMilliseconds, 'nothing');
			const handler: Dispatcher.DispatchHandler = {
				onRequestStart() {
					text = '';
				},
				onResponseData(controller, chunk) {
					text += String(chunk);
					if (pausesLeft > 0) {
						pausesLeft -= 1;
						controller.pause();
						setTimeout(() => {
							controller.resume();
						}, resumeAfterMilliseconds);
					}
				},
				onResponseEnd() {
					finish('end');
				},
				onResponseError() {
					finish('error');
				},
			};
			client.dispatch({method: 'GET', path: '/'}, handler);
		});
	};

	// An assertion of the client ended the process, at the next pause too: after each, the client passes on an empty chunk.
	it.each(cases)('keeps the end of its connection: $name, $pauses pauses', async ({response, result, pauses}) => {
		server = createServer(socket => {
			answerAndEnd(socket, response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connect: createConnector()});
		expect(await receive(pauses)).toEqual({text: 'abc', result});
	});

	// A reset dropped what had arrived and waited for its caller.
	it.each(resetCases)('that is reset is complete if all of it had arrived: $name, $pauses pauses, $delayMilliseconds ms', async ({response, tail, isWhole, pauses, delayMilliseconds}) => {
		let connections = 0;
		server = createServer(socket => {
			connections += 1;
			answerAndReset(socket, response + 'x'.repeat(largeBytes) + tail, delayMilliseconds);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connect: createConnector()});
		const expected = {bytes: largeBytes, result: isWhole ? 'end' : 'error'};
		for (const connection of [1, 2]) {
			// The second request comes at once, before the client may have seen the reset.
			const {text, result} = await receive(pauses);
			expect({bytes: text.length, result}).toEqual(expected);
			expect(connections).toBe(connection);
		}
	});
});

function answerAndEnd(socket: Socket, response: string): void {
	socket.on('error', () => undefined);
	socket.once('data', () => {
		socket.write(response);
		setTimeout(() => {
			socket.end();
		}, endAfterMilliseconds);
	});
}

function answerAndReset(socket: Socket, response: string, delayMilliseconds: number): void {
	const reset = (): void => {
		socket.resetAndDestroy();
	};

	socket.on('error', () => undefined);
	socket.once('data', () => {
		socket.write(response, () => {
			setTimeout(reset, delayMilliseconds);
		});
	});
}
