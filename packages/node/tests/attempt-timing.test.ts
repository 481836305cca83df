/** A target is evaluated by the time to the head of its response; a slow caller must not make its target look slow. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {request} from 'undici';
import type {AttemptResult} from '../src/target-selector.js';
import {callerKey, startEntry} from './entry-helpers.js';

const slowMilliseconds = 500;
const responseBytes = 200_000;

type Case = {
	readonly title: string;
	readonly respond: (received: IncomingMessage, response: ServerResponse) => Promise<void>;
	readonly body?: () => Buffer | Readable;
	/** Limits of the time to the head. */
	readonly minimum: number;
	readonly maximum: number;
};

const slowUpload = async function * (): AsyncGenerator<Buffer> {
	yield Buffer.alloc(100_000);
	await delay(slowMilliseconds);
	yield Buffer.alloc(1000);
};

const cases: Case[] = [
	{
		title: 'a slow download of the body doesn\'t count',
		async respond(_received, response) {
			response.write(Buffer.alloc(responseBytes / 2));
			await delay(slowMilliseconds);
			response.end(Buffer.alloc(responseBytes / 2));
		},
		minimum: 0,
		maximum: slowMilliseconds / 2,
	},
	{
		title: 'a slow start of the response counts',
		async respond(_received, response) {
			await delay(slowMilliseconds);
			response.end(Buffer.alloc(responseBytes));
		},
		minimum: slowMilliseconds * 0.9,
		maximum: Infinity,
	},
	{
		title: 'a slow upload by the caller doesn\'t count',
		async respond(received, response) {
			for await (const chunk of received) {
				response.setHeader('last', (chunk as Buffer).length);
			}

			response.end(Buffer.alloc(responseBytes));
		},
		body: () => Readable.from(slowUpload()),
		minimum: 0,
		maximum: slowMilliseconds / 2,
	},
];

test.each(cases)('$title', async ({respond, body, minimum, maximum}) => {
	const target = createServer((received, response) => {
		response.setHeader('catkindale-request-id', String(received.headers['catkindale-request-id']));
		if (received.url === '/ready') {
			response.end();
		} else {
			void respond(received, response);
		}
	});
	target.listen(0, '127.0.0.1');
	await once(target, 'listening');
	const entry = await startEntry([`127.0.0.1:${(target.address() as AddressInfo).port}`]);
	const results: AttemptResult[] = [];
	entry.node.context.bus.subscribe('attempt-finished', ({result}) => {
		results.push(result);
	});
	const response = await request(`${entry.url}/${body ? 'receipts' : 'prices'}/ENGM`, {
		method: body ? 'PUT' : 'GET', headers: {authorization: `Bearer ${callerKey}`}, body: body?.() ?? null,
	});
	const content = await response.body.bytes();
	await entry.stop();
	target.closeAllConnections();
	target.close();
	expect(content.length).toBe(responseBytes);
	expect(results[0]?.milliseconds).toBeGreaterThanOrEqual(slowMilliseconds * 0.9);
	expect(results[0]?.timeToHeadMilliseconds).toBeGreaterThanOrEqual(minimum);
	expect(results[0]?.timeToHeadMilliseconds).toBeLessThanOrEqual(maximum);
});
