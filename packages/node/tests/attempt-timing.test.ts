/** A target is judged by how soon it begins its answer, not by how long a caller takes over the bodies. */
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
const answerBytes = 200_000;

type Case = {
	readonly title: string;
	readonly answer: (received: IncomingMessage, response: ServerResponse) => Promise<void>;
	readonly body?: () => Buffer | Readable;
	/** Limits of the time to the head. */
	readonly least: number;
	readonly most: number;
};

const slowUpload = async function * (): AsyncGenerator<Buffer> {
	yield Buffer.alloc(100_000);
	await delay(slowMilliseconds);
	yield Buffer.alloc(1000);
};

const cases: Case[] = [
	{
		title: 'a long download is quick to its head',
		async answer(_received, response) {
			response.write(Buffer.alloc(answerBytes / 2));
			await delay(slowMilliseconds);
			response.end(Buffer.alloc(answerBytes / 2));
		},
		least: 0,
		most: slowMilliseconds / 2,
	},
	{
		title: 'a target that thinks for long is slow',
		async answer(_received, response) {
			await delay(slowMilliseconds);
			response.end(Buffer.alloc(answerBytes));
		},
		least: slowMilliseconds * 0.9,
		most: Infinity,
	},
	{
		title: 'a caller that uploads slowly doesn\'t make its target slow',
		async answer(received, response) {
			for await (const chunk of received) {
				response.setHeader('last', (chunk as Buffer).length);
			}

			response.end(Buffer.alloc(answerBytes));
		},
		body: () => Readable.from(slowUpload()),
		least: 0,
		most: slowMilliseconds / 2,
	},
];

test.each(cases)('$title', async ({answer, body, least, most}) => {
	const target = createServer((received, response) => {
		response.setHeader('catkindale-request-id', String(received.headers['catkindale-request-id']));
		if (received.url === '/ready') {
			response.end();
		} else {
			void answer(received, response);
		}
	});
	target.listen(0, '127.0.0.1');
	await once(target, 'listening');
	const entry = await startEntry([`127.0.0.1:${(target.address() as AddressInfo).port}`]);
	const results: AttemptResult[] = [];
	entry.node.context.bus.subscribe('attempt-finished', ({result}) => {
		results.push(result);
	});
	const received = await request(`${entry.url}/${body ? 'receipts' : 'prices'}/ENGM`, {
		method: body ? 'PUT' : 'GET', headers: {authorization: `Bearer ${callerKey}`}, body: body?.() ?? null,
	});
	const content = await received.body.bytes();
	await entry.stop();
	target.closeAllConnections();
	target.close();
	expect(content.length).toBe(answerBytes);
	expect(results[0]?.milliseconds).toBeGreaterThanOrEqual(slowMilliseconds * 0.9);
	expect(results[0]?.timeToHeadMilliseconds).toBeGreaterThanOrEqual(least);
	expect(results[0]?.timeToHeadMilliseconds).toBeLessThanOrEqual(most);
});
