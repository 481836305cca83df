/** Targets that are removed from the configuration, or change their address, while a request is on its way to them. */
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	type RawTarget, type ReceivedRequest, type TestEntry, applyManifest, startEntry, startRawTarget,
} from './entry-helpers.js';

const serviceMilliseconds = 600;
/** Twice the slots of the target in the configuration of `startEntry`. */
const orders = 40;

async function respond({socket, requestId, getInput}: ReceivedRequest, body: string): Promise<void> {
	await delay(getInput().includes('GET /ready ') ? 0 : serviceMilliseconds);
	socket.write(`HTTP/1.1 200 OK\r\ncatkindale-request-id: ${requestId}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
}

describe('a target that changes its address', () => {
	let entry: TestEntry;
	let targets: RawTarget[];

	beforeEach(async () => {
		targets = await Promise.all(['old', 'new'].map(async name => startRawTarget(received => {
			void respond(received, name);
		})));
		entry = await startEntry([targets[0]!.address]);
	});

	afterEach(async () => {
		await entry.stop();
		await Promise.all(targets.map(async target => target.stop()));
	});

	const moveTarget = async (): Promise<void> => {
		await applyManifest(entry.node, [targets[1]!.address]);
		await delay(200);
	};

	// The pool of the old address no longer exists when the body is complete; a broken invariant ends the process with all its requests.
	it('serves at its new address an order that began before', async () => {
		const socket = entry.connect();
		await once(socket, 'connect');
		const received = text(socket);
		socket.write('POST /open-orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nor');
		await delay(100);
		await moveTarget();
		socket.write('der');
		expect(await received).toMatch(/^HTTP\/1\.1 200 .*new$/sv);
	});

	// A slot at the old address becomes free after the configuration no longer has it. The orders' deadline leaves time for several rounds of requests on a busy machine.
	it('answers an order that waited for a slot at its old address', async () => {
		const answers = Array.from({length: orders}, async () => entry.sendRaw(['POST /patient-orders HTTP/1.1', 'Host: a', 'Connection: close', 'Content-Length: 0']));
		await delay(100);
		await moveTarget();
		const texts = await Promise.all(answers);
		expect(texts.filter(answer => !/^HTTP\/1\.1 (?:200 |503 .*\r\ncatkindale-outcome: not-run\r\n)/sv.test(answer))).toEqual([]);
		expect(texts.filter(answer => answer.endsWith('new')).length).toBeGreaterThan(0);
	});

	// Closing the connections to an address must wait for the requests that run on them.
	it('still answers an order that runs at its old address', async () => {
		const answer = entry.sendRaw(['POST /open-orders HTTP/1.1', 'Host: a', 'Connection: close', 'Content-Length: 0']);
		await delay(100);
		await moveTarget();
		expect(await answer).toMatch(/^HTTP\/1\.1 200 .*old$/sv);
	});
});
