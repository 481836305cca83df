/** Bodies between regions: within the link's quota, interactive before bulk, and whole. */
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
	type QuotaMember, type Link, type RequestClass, getLinkBurst, linkReadBytes,
} from '@catkindale/policy';
import {createLeaseClock} from '../src/lease-clock.js';
import {createLinkMeter} from '../src/link-meter.js';
import {type LinkQuotas, createLinkQuotas} from '../src/link-quotas.js';
import {createQuotaLease} from '../src/quota-lease.js';

const leaseMilliseconds = 60_000;
const toleranceMilliseconds = 100;
const laterMilliseconds = 800;
const stopMilliseconds = 20;
const holder: QuotaMember = {
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

test('a download takes as long as the link needs, and comes whole', async () => {
	const link = getLink('bergen', 'oslo', 4_000_000);
	const links = createLinks([link]);
	const startedAt = performance.now();
	const answer = await send(links, {path: '/download'});
	const seconds = (performance.now() - startedAt) / 1000;
	expect(answer.equals(download)).toBe(true);
	expect(seconds).toBeGreaterThanOrEqual((download.length - getLinkBurst(link)) / link.bytesPerSecond);
	expect(links.getStates()[0]?.transferredBytes).toEqual({interactive: download.length, bulk: 0});
	expect(links.getOverAllocations()).toEqual(new Set());
	links.end();
});

test('downloads that wait for the link together come whole on a node that stands still at times', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 12_000_000)]);
	// After a stop there is room for several reads at once; the first of them is read at once.
	const stops = setInterval(() => {
		standStill(stopMilliseconds);
	}, 2 * stopMilliseconds);
	const answers = await Promise.all(Array.from({length: 4}, async () => send(links, {path: '/download'})));
	clearInterval(stops);
	expect(answers.map(answer => answer.equals(download))).toEqual([true, true, true, true]);
	links.end();
});

const upload = randomBytes(2_000_000);

test.each([
	{title: 'held', open: () => upload},
	{title: 'streamed', open: () => Readable.from([upload.subarray(0, 50_000), upload.subarray(50_000)])},
])('an upload that is $title keeps to the link and comes whole', async ({open}) => {
	const link = getLink('oslo', 'bergen', 4_000_000);
	const links = createLinks([link]);
	const startedAt = performance.now();
	const answer = JSON.parse(String(await send(links, {path: '/', body: open()}))) as {digest: string};
	const seconds = (performance.now() - startedAt) / 1000;
	expect(answer.digest).toBe(createHash('sha256').update(upload).digest('hex'));
	expect(seconds).toBeGreaterThanOrEqual((upload.length - getLinkBurst(link)) / link.bytesPerSecond);
	links.end();
});

test('a held upload still tells its length', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 4_000_000)]);
	const answer = JSON.parse(String(await send(links, {path: '/', body: Buffer.alloc(1000)}))) as {length: string};
	expect(answer.length).toBe('1000');
	links.end();
});

test('a region isn\'t open while its link is used up, and is again later', async () => {
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
	await delay((linkReadBytes / 1000) + toleranceMilliseconds);
	expect(meter.hasCapacityTo('bergen')).toBe(true);
	links.end();
});

test('bulk bodies that wait close no region', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 1000)]);
	const [first, second] = [1, 2].map(() => links.openTransfer('bergen>oslo', 'bulk'));
	await new Promise<unknown>(resolve => {
		first!.reserve(262_144, resolve);
	});
	second!.reserve(1000, () => undefined);
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	links.end();
});

test('interactive bodies go first, and bulk keeps a part', async () => {
	const links = createLinks([getLink('bergen', 'oslo', 2_000_000)]);
	const first = links.openTransfer('bergen>oslo', 'interactive');
	await new Promise<unknown>(resolve => {
		first.reserve(262_144, resolve);
	});
	first.consume(262_144);
	const order: RequestClass[] = [];
	const waiting = [...Array.from({length: 3}, () => 'bulk' as const), ...Array.from({length: 20}, () => 'interactive' as const)].map(async requestClass => {
		const transfer = links.openTransfer('bergen>oslo', requestClass);
		await new Promise<unknown>(resolve => {
			transfer.reserve(50_000, resolve);
		});
		order.push(requestClass);
		transfer.consume(50_000);
	});
	await Promise.all(waiting);
	expect(order.indexOf('bulk')).toBe(9);
	expect(order.slice(0, 20).filter(requestClass => requestClass === 'bulk').length).toBe(2);
	links.end();
});

test('requests whose answers are awaited keep nothing of the link', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 1000), getLink('bergen', 'oslo', 1000)]);
	const answers = Array.from({length: 10}, async () => send(links, {path: '/later'}));
	await delay(laterMilliseconds / 2);
	expect(links.getStates().map(({allocation: floor}) => floor.burst)).toEqual([262_144, 262_144]);
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	await expect(send(links, {path: '/', body: Buffer.alloc(1000), deadlineMilliseconds: laterMilliseconds / 4})).resolves.toBeInstanceOf(Buffer);
	await Promise.all(answers);
	links.end();
});

test('a request that can\'t cross in time was not sent and leaves nothing reserved', async () => {
	const links = createLinks([getLink('oslo', 'bergen', 1000)]);
	const hog = links.openTransfer('oslo>bergen', 'bulk');
	await new Promise<unknown>(resolve => {
		hog.reserve(200_000, resolve);
	});
	await expect(send(links, {path: '/', body: Buffer.alloc(65_536), deadlineMilliseconds: 100})).rejects.toMatchObject({abortCause: 'link'});
	hog.close();
	expect(createLinkMeter(links, 'oslo').hasCapacityTo('bergen')).toBe(true);
	links.end();
});

function standStill(milliseconds: number): void {
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		// Nothing else runs.
	}
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const hash = createHash('sha256');
	for await (const chunk of request) {
		hash.update(chunk as Buffer);
	}

	if (request.url === '/later') {
		await delay(laterMilliseconds);
	}

	const text = JSON.stringify({digest: hash.digest('hex'), length: request.headers['content-length']});
	response.end(request.url === '/download' ? download : text);
}

function getLink(from: string, to: string, bytesPerSecond: number): Link {
	return {
		from, to, bytesPerSecond, burstBytes: 262_144,
	};
}

/** The quotas of the only node, with full buckets. */
function createLinks(declared: readonly Link[]): LinkQuotas {
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
	links.setLinks(declared);
	links.reduceAllocations({incarnation: holder.incarnation, members: [holder]});
	links.increaseAllocations(new Set());
	elapsed = 1_000_000;
	lease.renew(clock.pauseAdjusted());
	return links;
}

type Sent = {readonly path: string; readonly body?: Buffer | Readable; readonly deadlineMilliseconds?: number};

async function send(links: LinkQuotas, {path, body, deadlineMilliseconds = 20_000}: Sent): Promise<Buffer> {
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
