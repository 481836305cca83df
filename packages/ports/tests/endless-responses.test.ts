/**
 * Responses without end, as a faulty service or target sends them until its
 * caller closes the connection. A call that keeps all of their bytes, or reads
 * them until its timeout, takes the memory or the processor of the node.
 */
import {type Server, type Socket, createServer} from 'node:net';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	createHttpCaller, machineListDrivers, objectDrivers, tableDrivers, targetHealthDrivers,
} from '@catkindale/ports';

const timeoutMilliseconds = 5000;
const maximumMilliseconds = 3000;
const maximumGrowthBytes = 250_000_000;
const chunk = 'x'.repeat(65_536);
const answered = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}';

const kinds = [
	{name: 'no head at all', begin: ''},
	{name: 'a header', begin: 'HTTP/1.1 200 OK\r\nX-More: '},
	{name: 'interim responses', begin: '', repeat: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(600)},
	{name: 'a body without a length', begin: 'HTTP/1.1 200 OK\r\n\r\n'},
	{name: 'a chunk', begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n'},
	{name: 'a trailer', begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-More: '},
	{name: 'bytes behind a response', begin: answered},
];

const settings = {timeoutMilliseconds, maximumCallsInFlight: 6};

describe.each(kinds)('$name', kind => {
	let server: Server;
	let address: string;
	let isEndless: boolean;
	const sockets = new Set<Socket>();

	beforeEach(async () => {
		isEndless = true;
		server = createServer(socket => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				sockets.delete(socket);
			});
			socket.on('data', () => {
				if (!isEndless) {
					socket.write(answered);
					return;
				}

				const writeMore = (): void => {
					while (!socket.destroyed && socket.write(kind.repeat ?? chunk)) {
						// Writes until the buffer is full.
					}
				};

				socket.on('drain', writeMore);
				socket.write(kind.begin);
				writeMore();
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as {port: number}).port}`;
	});

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});

	it.each([
		{
			name: 'service', open() {
				const caller = createHttpCaller({...settings, address: `http://${address}`});
				return {read: async () => caller.call('GET', '/'), close: caller.close};
			},
		},
		{
			name: 'table', open() {
				const table = tableDrivers.open('http', {...settings, address: `http://${address}`});
				return {read: async () => table.list(''), close: table.close};
			},
		},
		{
			name: 'VM list', open() {
				const machines = machineListDrivers.open('http', {...settings, address: `http://${address}`});
				return {read: async () => machines.list(), close: machines.close};
			},
		},
		{
			name: 'target\'s health', open() {
				const reader = targetHealthDrivers.open('http', {...settings, path: '/health'});
				return {read: async () => reader.read(address), close: reader.close};
			},
		},
	])('from a $name ends the call soon and within the memory', async ({open}) => {
		const {read, close} = open();
		const before = process.memoryUsage().rss;
		const startedAt = performance.now();
		const outcomes = await Promise.all([read(), read(), read()]);
		expect(performance.now() - startedAt).toBeLessThan(maximumMilliseconds);
		expect(process.memoryUsage().rss - before).toBeLessThan(maximumGrowthBytes);
		if (!kind.name.startsWith('bytes behind')) {
			expect(outcomes.map(outcome => outcome.kind)).not.toContain('answered');
			expect(outcomes.map(outcome => outcome.kind)).not.toContain('done');
		}

		// The next call is answered.
		isEndless = false;
		const {kind: nextKind} = await read();
		expect(['answered', 'done', 'not-done', 'unknown']).toContain(nextKind);
		await close();
	});

	it('from an object store ends the call', async () => {
		const objects = objectDrivers.open('http', {...settings, address: `http://${address}`});
		const outcome = await objects.get('snapshot');
		expect(outcome.kind).toBe(kind.name.startsWith('bytes behind') ? 'done' : 'not-done');
		await objects.close();
	});
});

describe('a malformed VM list', () => {
	it.each(['', '{}', '[', '{"machines":[{"id":1}]}'])('%s is a failed read', async body => {
		const server = createServer(socket => {
			socket.on('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const machines = machineListDrivers.open('http', {...settings, address: `http://127.0.0.1:${(server.address() as {port: number}).port}`});
		expect(await machines.list()).toEqual({kind: 'not-done', reason: 'the VM list is malformed'});
		await machines.close();
		server.close();
	});
});
