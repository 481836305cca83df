/** Transfers between regions: they keep the link's quota, prefer interactive requests to bulk ones and deliver complete bodies. */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {type Dispatcher, Pool} from 'undici';
import {systemClock} from '@catkindale/common';
import {
	type QuotaMember, type Link, type RequestClass, getLinkBurst, maximumLinkReadBytes,
} from '@catkindale/policy';
import {createLeaseClock} from '../src/lease-clock.js';
import {createLinkMeter} from '../src/link-meter.js';
import {type LinkQuotas, createLinkQuotas} from '../src/link-quotas.js';
import {createQuotaLease} from '../src/quota-lease.js';

const leaseMilliseconds = 60_000;
const toleranceMilliseconds = 100;
const responseDelayMilliseconds = 800;
const blockMilliseconds = 20;
const member: QuotaMember = {
	id: 'oslo-1', incarnation: 'oslo-1/1', region: 'oslo', zone: 'oslo-a',
};
const download = randomBytes(3_000_000);
let server: Server;
let pool: Pool;

beforeAll(async () => {
	server = createServer((request, response) => {
		void serve(request, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connections: 16, pipelining: 1});
});

afterAll(async () => {
	await pool.destroy();
	server.close();
});

test('a download is limited to the rate of the link and arrives complete', async () => {
	const link = getLink('bergen', 'oslo', 4_000_000);
	const links = createLinks([link]);
	const startedAt = performance.now();
	const response = await send(links, {path: '/download'});
	const seconds = (performance.now() - startedAt) / 1000;
	expect(response.equals(download)).toBe(true);
	expect(seconds).toBeGreaterThanOrEqual((download.length - getLinkBurst(link)) / link.bytesPerSecond);
	expect(links.getStates()[0]?.transferredBytes).toEqual({interactive: download.length, bulk: 0});
	expect(links.getOverAllocations()).toEqual(new Set());
	links.end();
});

test('concurrent downloads over one link arrive complete although the event loop is blocked at times', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 12_000_000)]);
	// After a block there are tokens for several reads, and the first of them starts immediately.
	const blocking = setInterval(() => {
		blockEventLoop(blockMilliseconds);
	}, 2 * blockMilliseconds);
	const responses = await Promise.all(Array.from({length: 4}, async () => send(links, {path: '/download'})));
	clearInterval(blocking);
	expect(responses.map(response => response.equals(download))).toEqual([true, true, true, true]);
	links.end();
});

const upload = randomBytes(2_000_000);

test.each([
	{title: 'buffered', open: () => upload},
	{title: 'streamed', open: () => Readable.from([upload.subarray(0, 50_000), upload.subarray(50_000)])},
])('an upload that is $title is limited to the rate of the link and arrives complete', async ({open}) => {
	const link = getLink('oslo', 'bergen', 4_000_000);
	const links = createLinks([link]);
	const startedAt = performance.now();
	const response = JSON.parse(String(await send(links, {path: '/', body: open()}))) as {digest: string};
	const seconds = (performance.now() - startedAt) / 1000;
	expect(response.digest).toBe(createHash('sha256').update(upload).digest('hex'));
	expect(seconds).toBeGreaterThanOrEqual((upload.length - getLinkBurst(link)) / link.bytesPerSecond);
	links.end();
});

test('a buffered upload still declares its length', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 4_000_000)]);
	const response = JSON.parse(String(await send(links, {path: '/', body: Buffer.alloc(1000)}))) as {length: string};
	expect(response.length).toBe('1000');
	links.end();
});

test('a region has no capacity while the quota of its link is used up, and has capacity again later', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 1_000_000)]);
	const meter = createLinkMeter(links, 'oslo');
	const transfer = links.openTransfer('bergen>oslo', 'interactive');
	expect(meter.hasCapacityTo('bergen')).toBe(true);
	expect(meter.hasCapacityTo('tromso')).toBe(true);
	await new Promise<unknown>(resolve => {
		transfer.reserve(200_000, resolve);
	});
	expect(meter.hasCapacityTo('bergen')).toBe(false);
	transfer.consume(200_000);
	await delay((maximumLinkReadBytes / 1000) + toleranceMilliseconds);
	expect(meter.hasCapacityTo('bergen')).toBe(true);
	links.end();
});

test('waiting bulk bodies don\'t use up the capacity to a region', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 1000)]);
	const [first, second] = [1, 2].map(() => links.openTransfer('bergen>oslo', 'bulk'));
	await new Promise<unknown>(resolve => {
		first!.reserve(262_144, resolve);
	});
	second!.reserve(1000, () => undefined);
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	links.end();
});

test('interactive bodies go first, but bulk bodies keep a minimum of the link', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 2_000_000)]);
	const first = links.openTransfer('bergen>oslo', 'interactive');
	await new Promise<unknown>(resolve => {
		first.reserve(262_144, resolve);
	});
	first.consume(262_144);
	const order: RequestClass[] = [];
	const transfers = [...Array.from({length: 3}, () => 'bulk' as const), ...Array.from({length: 20}, () => 'interactive' as const)].map(async requestClass => {
		const transfer = links.openTransfer('bergen>oslo', requestClass);
		await new Promise<unknown>(resolve => {
			transfer.reserve(50_000, resolve);
		});
		order.push(requestClass);
		transfer.consume(50_000);
	});
	await Promise.all(transfers);
	expect(order.indexOf('bulk')).toBe(9);
	expect(order.slice(0, 20).filter(requestClass => requestClass === 'bulk').length).toBe(2);
	links.end();
});

test('requests that wait for their responses reserve nothing of the link', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 1000), getLink('bergen', 'oslo', 1000)]);
	const responses = Array.from({length: 10}, async () => send(links, {path: '/later'}));
	await delay(responseDelayMilliseconds / 2);
	expect(links.getStates().map(({allocation}) => allocation.burst)).toEqual([262_144, 262_144]);
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	await expect(send(links, {path: '/', body: Buffer.alloc(1000), deadlineMilliseconds: responseDelayMilliseconds / 4})).resolves.toBeInstanceOf(Buffer);
	await Promise.all(responses);
	links.end();
});

test('a request that the link can\'t carry in time isn\'t sent and leaves nothing reserved', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 1000)]);
	const competitor = links.openTransfer('oslo>bergen', 'bulk');
	await new Promise<unknown>(resolve => {
		competitor.reserve(200_000, resolve);
	});
	await expect(send(links, {path: '/', body: Buffer.alloc(65_536), deadlineMilliseconds: 100})).rejects.toMatchObject({abortCause: 'link'});
	competitor.close();
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	links.end();
});

function blockEventLoop(milliseconds: number): void {
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		// Keeps the event loop busy.
	}
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const hash = createHash('sha256');
	for await (const chunk of request) {
		hash.update(chunk as Buffer);
	}

	if (request.url === '/later') {
		await delay(responseDelayMilliseconds);
	}

	const text = JSON.stringify({digest: hash.digest('hex'), length: request.headers['content-length']});
	response.end(request.url === '/download' ? download : text);
}

function getLink(from: string, to: string, bytesPerSecond: number): Link {
	return {
		from, to, bytesPerSecond, burstBytes: 262_144,
	};
}

/** Creates the quotas of a single node whose token buckets are full. */
function createLinks(configured: readonly Link[]): LinkQuotas {
	let elapsed = 0;
	const clock = createLeaseClock({monotonic: () => systemClock.monotonic() + elapsed, wall: () => systemClock.wall() + elapsed});
	const lease = createQuotaLease(clock, leaseMilliseconds);
	const links = createLinkQuotas({
		clock,
		lease,
		schedule(run, milliseconds) {
			const timer = setTimeout(run, milliseconds);
			return () => {
				clearTimeout(timer);
			};
		},
	});
	links.setLinks(configured);
	links.reduceAllocations({incarnation: member.incarnation, members: [member]});
	links.increaseAllocations(new Set());
	elapsed = 1_000_000;
	lease.renew(clock.pauseAdjusted());
	return links;
}

type SentRequest = {readonly path: string; readonly body?: Buffer | Readable; readonly deadlineMilliseconds?: number};

async function send(links: LinkQuotas, {path, body, deadlineMilliseconds = 20_000}: SentRequest): Promise<Buffer> {
	const dispatcher = createLinkMeter(links, 'oslo').getDispatcher(pool, {
		region: 'bergen', class: 'interactive', deadlineMilliseconds, signal: new AbortController().signal,
	});
	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		const handler: Dispatcher.DispatchHandler = {
			onRequestStart() {
				chunks.length = 0;
			},
			onResponseData(_controller, chunk) {
				chunks.push(Buffer.from(chunk));
			},
			onResponseEnd() {
				resolve(Buffer.concat(chunks));
			},
			onResponseError(_controller, error) {
				reject(error);
			},
		};
		dispatcher.dispatch({
			path, method: body ? 'POST' : 'GET', headers: [], body: body ?? null,
		}, handler);
	});
}
