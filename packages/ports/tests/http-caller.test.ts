/**
 * A call that is never answered must end at its timeout, also after the garbage
 * collector has run. In optimized code, Node.js 20 collects a timeout signal that
 * is only part of `AbortSignal.any`.
 */
import {type Server, createServer} from 'node:http';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {type HttpCaller, createHttpCaller} from '@catkindale/ports';

const timeoutMilliseconds = 400;
/** Enough calls for the function to be optimized. */
const answeredCalls = 2000;

describe('a call that is never answered', () => {
	let server: Server;
	let caller: HttpCaller;
	let collectGarbage: () => void;

	beforeAll(async () => {
		setFlagsFromString('--expose-gc');
		collectGarbage = runInNewContext('gc') as () => void;
		server = createServer((request, response) => {
			if (request.url === '/answered') {
				response.end();
			}
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as {port: number};
		caller = createHttpCaller({address: `http://127.0.0.1:${port}`, timeoutMilliseconds: 1000, maximumCallsInFlight: 6});
		for (let count = 0; count < answeredCalls; count++) {
			await caller.call('GET', '/answered', undefined, {timeoutMilliseconds, signal: new AbortController().signal});
		}
	});

	afterAll(async () => {
		await caller.close();
		server.closeAllConnections();
		server.close();
	});

	it.each([
		{name: 'with a signal', controller: new AbortController()},
		{name: 'without a signal', controller: undefined},
	])('$name ends at its timeout', async ({controller}) => {
		const collection = setInterval(collectGarbage, 20);
		const startedAt = performance.now();
		const outcome = await Promise.race([
			caller.call('GET', '/silent', undefined, {timeoutMilliseconds, signal: controller?.signal}),
			new Promise(resolve => {
				setTimeout(resolve, 5 * timeoutMilliseconds);
			}),
		]);
		clearInterval(collection);
		expect(outcome).toMatchObject({kind: 'lost'});
		expect(performance.now() - startedAt).toBeGreaterThanOrEqual(timeoutMilliseconds - 1);
	});

	it.each([
		{name: 'before', delayMilliseconds: undefined},
		{name: 'during', delayMilliseconds: 50},
	])('ends when it is aborted $name the call', async ({delayMilliseconds}) => {
		const controller = new AbortController();
		if (delayMilliseconds === undefined) {
			controller.abort();
		} else {
			setTimeout(() => {
				controller.abort();
			}, delayMilliseconds);
		}

		const startedAt = performance.now();
		expect(await caller.call('GET', '/silent', undefined, {timeoutMilliseconds, signal: controller.signal})).toMatchObject({kind: 'lost'});
		expect(performance.now() - startedAt).toBeLessThan(timeoutMilliseconds);
	});
});
