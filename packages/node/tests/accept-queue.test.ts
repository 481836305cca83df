/** Overload by new connections: they wait in the kernel although each turn of the event loop is short. */
import {
	type Socket, type AddressInfo, connect, createServer,
} from 'node:net';
import {once} from 'node:events';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {watchAcceptQueue} from '../src/accept-queue.js';

const server = createServer();
const callers: Socket[] = [];

afterEach(async () => {
	for (const caller of callers) {
		caller.destroy();
	}

	server.close();
	await once(server, 'close');
});

describe('a queue of connections that wait to be accepted', () => {
	it('is reported while it is standing, and no longer once it is empty', async () => {
		const queue = watchAcceptQueue(server);
		const waits: number[] = [];
		server.on('connection', socket => {
			callers.push(socket);
			waits.push(queue.getStandingMilliseconds());
			const busyUntil = performance.now() + 5;
			while (performance.now() < busyUntil) {
				// Each connection takes 5 ms of processor time.
			}
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		for (let index = 0; index < 60; index++) {
			callers.push(connect(port, '127.0.0.1').on('error', () => undefined));
		}

		while (waits.length < 60) {
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}

		expect(waits[0]).toBeLessThan(50);
		expect(waits.at(-1)).toBeGreaterThan(200);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(queue.getStandingMilliseconds()).toBe(0);
	});
});
