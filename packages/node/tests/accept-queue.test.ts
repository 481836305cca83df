/** The load: more new connections than the process can serve, so that they wait in the kernel while each turn is short. */
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
	it('is told while it stands, and no longer once it is empty', async () => {
		const queue = watchAcceptQueue(server);
		const told: number[] = [];
		server.on('connection', socket => {
			callers.push(socket);
			told.push(queue.getStandingMilliseconds());
			const busyUntil = performance.now() + 5;
			while (performance.now() < busyUntil) {
				// Each connection costs 5 ms.
			}
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		for (let index = 0; index < 60; index++) {
			callers.push(connect(port, '127.0.0.1').on('error', () => undefined));
		}

		while (told.length < 60) {
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}

		expect(told[0]).toBeLessThan(50);
		expect(told.at(-1)).toBeGreaterThan(200);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(queue.getStandingMilliseconds()).toBe(0);
	});
});
