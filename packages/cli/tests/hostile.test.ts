/** Hostile input on the ports of a node: it goes on, and nothing of its state changes. */
import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {type Socket, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	createFrameReader, createProofCode, encodeFrame, maximumHandshakeFrameBytes, maximumFrameBytes, parsePeerMessage, protocolVersion,
} from '@catkindale/protocol';
import {
	type TestNode, type TestPlatform, applyManifest, callAdmin, endProcesses, getManifest, getPeerAddress, operatorToken, peerSecret, startFleet, startPlatformProcesses, waitUntil,
} from './helpers.js';

const closeLimitMilliseconds = 5000;
const halfOpenConnections = 200;
/** Far more than a node lets try to prove themselves from one address. */
const silentConnections = 600;
const cutMilliseconds = 200;
/** More than an operator's request may hold. */
const endlessBody = 'x'.repeat(0x1_00_00_00);
const nonce = 'a-nonce-of-the-stranger';
const hello = {
	type: 'hello', protocolVersion, id: 'stranger', incarnation: 'one', nonce,
};
const intruded = {
	type: 'configuration', version: 99, history: [], configuration: {regions: [{name: 'oslo', zones: ['oslo-a']}]},
};
/** With a shift declared, a node reads the rows of all shifts. */
const shiftLines = '[[shifts]]\nname = "oslo-to-bergen"\nservice = "pricing"\nfrom = "oslo"\nto = "bergen"\nshare = 0.5\ncap = 0.1\nwindowSeconds = 60\n';
let platform: TestPlatform;
let node: TestNode;
let peer = '';

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const nodes = await startFleet(platform, [{name: 'oslo-1', region: 'oslo', zone: 'oslo-a'}]);
	node = nodes[0]!;
	peer = await getPeerAddress(node);
	await applyManifest(nodes, getManifest({oslo: ['oslo-a'], bergen: ['bergen-a']}, [], 'hostile-key') + shiftLines);
});

afterAll(endProcesses);

test.each([
	{name: 'bytes that are no frame', input: () => [Buffer.from('GET / HTTP/1.1\r\n\r\n')]},
	{name: 'an empty frame', input: () => [Buffer.from([0, 0, 0, 0])]},
	{name: 'a frame above the limit', input: () => [Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])]},
	{name: 'a large frame before the proof', input: () => [encodeFrame({...hello, id: 'x'.repeat(maximumHandshakeFrameBytes)})]},
	{name: 'another protocol version', input: () => [encodeFrame({...hello, protocolVersion: protocolVersion + 1})]},
	{name: 'the node\'s own name', input: () => [encodeFrame({...hello, id: 'oslo-1'})]},
	{name: 'no proof but a configuration', input: () => [encodeFrame(hello), encodeFrame(intruded)]},
	{name: 'a configuration as the first frame', input: () => [encodeFrame(intruded)]},
	{name: 'a proof by a wrong secret', input: (theirs: string) => [encodeFrame(hello), encodeProof('wrong-secret-of-the-fleet', theirs), encodeFrame(intruded)]},
	{name: 'a proof that was made for another connection', input: () => [encodeFrame(hello), encodeProof(peerSecret, 'an-older-nonce'), encodeFrame(intruded)]},
	{name: 'a silent half-open connection', input: () => []},
])('$name ends the connection and changes nothing', async ({input}) => {
	const {socket, theirNonce} = await openStranger();
	for (const bytes of input(theirNonce)) {
		socket.write(bytes);
	}

	const startedAt = performance.now();
	await waitUntil(() => socket.closed || undefined, 'the connection ended');
	expect(performance.now() - startedAt).toBeLessThan(closeLimitMilliseconds);
	await expectUnchanged();
});

test('a stranger who knows the secret is let in, so that the refusals above are for their reasons', async () => {
	const {socket, theirNonce} = await openStranger();
	socket.write(encodeFrame(hello));
	socket.write(encodeProof(peerSecret, theirNonce));
	await node.waitFor(/event=(peer_connected) peer=stranger/v);
	socket.destroy();
});

test('random frames after the proof never stop the node', async () => {
	await fc.assert(fc.asyncProperty(fc.anything({withDate: true, withMap: true}), async value => {
		const {socket, theirNonce} = await openStranger();
		socket.write(encodeFrame(hello));
		socket.write(encodeProof(peerSecret, theirNonce));
		socket.write(encodeFrame(value));
		socket.end();
		await waitUntil(() => socket.closed || undefined, 'the connection ended');
	}), {seed: 1, numRuns: 50});
	await expectUnchanged();
});

test('random bytes never make the reader of frames throw, nor hold more than its limit', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 64})), chunks => {
		const reader = createFrameReader(maximumHandshakeFrameBytes);
		for (const chunk of chunks) {
			reader.push(chunk, frame => {
				parsePeerMessage(frame);
			});
		}
	}), {seed: 1, numRuns: 2000});
	expect(createFrameReader().push(Buffer.from([0, 0x10, 0, 1]), () => undefined).ok).toBe(false);
	expect(maximumFrameBytes).toBe(0x10_00_00);
});

test('a large frame right behind the proof is read, since the limit has risen by then', () => {
	const reader = createFrameReader(maximumHandshakeFrameBytes);
	const received: unknown[] = [];
	const large = 'x'.repeat(maximumHandshakeFrameBytes * 2);
	const read = reader.push(Buffer.concat([encodeFrame('proof'), encodeFrame(large)]), frame => {
		received.push(frame);
		reader.setLimit(maximumFrameBytes);
	});
	expect(read.ok).toBe(true);
	expect(received).toEqual(['proof', large]);
});

test('many half-open connections cost little memory and end by themselves', async () => {
	const before = await getMemory();
	const strangers = await Promise.all(Array.from({length: halfOpenConnections}, async () => openStranger()));
	for (const {socket} of strangers) {
		socket.write(Buffer.from([0, 0, 0x0F, 0xFF, ...Buffer.alloc(maximumHandshakeFrameBytes - 8)]));
	}

	await waitUntil(() => strangers.every(({socket}) => socket.closed) || undefined, 'all connections ended');
	const after = await getMemory();
	expect(after - before).toBeLessThan(halfOpenConnections * 0x1_00_00);
	await expectUnchanged();
});

test.each([
	{name: 'no token', headers: {}},
	{name: 'a wrong token', headers: {authorization: 'Bearer wrong'}},
])('operators\' actions with $name are refused and change nothing', async ({headers}) => {
	const bodies = [
		{path: '/v1/configuration', body: getManifest({bergen: ['bergen-a']}, [], 'hostile-key')},
		{path: '/v1/keys/withdraw', body: JSON.stringify({hash: '0'.repeat(64)})},
		{path: '/v1/drains', body: JSON.stringify({kind: 'vm', name: 'oslo-1'})},
		{path: '/v1/testing/cuts', body: JSON.stringify({table: true})},
	];
	for (const {path, body} of bodies) {
		const answer = await request(`http://${node.admin}${path}`, {method: 'POST', headers, body});
		await answer.body.dump();
		expect(answer.statusCode).toBe(401);
	}

	await expectUnchanged();
});

test.each(['', '{', '[]', '{"hash": 1}', '{"kind": "region", "name": "oslo"}', '\u0000'])('the body %j is refused by every operators\' action', async body => {
	for (const path of ['/v1/configuration', '/v1/keys/grant', '/v1/keys/withdraw', '/v1/drains', '/v1/rates', '/v1/testing/cuts']) {
		const reply = await callAdmin(node, 'POST', path, body);
		expect([400, 422]).toContain(reply.status);
	}

	await expectUnchanged();
});

test.each([
	{name: 'a path that is no address', lines: ['GET // HTTP/1.1'], body: ''},
	{name: 'a body that is cut off', lines: ['POST /v1/configuration HTTP/1.1', 'content-length: 1000'], body: 'rate = 5'},
	{name: 'a body that never ends', lines: ['POST /v1/configuration HTTP/1.1', 'transfer-encoding: chunked'], body: `${endlessBody.length.toString(16)}\r\n${endlessBody}`},
])('$name at the operators\' port changes nothing, and the node goes on', async ({lines, body}) => {
	const [host, port] = node.admin.split(':');
	const socket = connect(Number(port), host).on('error', () => undefined).resume();
	const head = [...lines, 'host: node', `authorization: Bearer ${operatorToken}`, '', ''];
	socket.write(head.join('\r\n') + body);
	await delay(cutMilliseconds);
	socket.destroy();
	await delay(cutMilliseconds);
	await expectUnchanged();
});

test('connections beyond a number that prove nothing are refused at once, and the node goes on', async () => {
	const [host, port] = peer.split(':');
	const sockets = Array.from({length: silentConnections}, () => connect(Number(port), host).on('error', () => undefined).resume());
	await waitUntil(() => sockets.some(socket => socket.closed) || undefined, 'a connection was refused');
	await node.waitFor(/event=(peer_connections_refused)/v);
	const metrics = await request(`${node.metrics}/metrics`);
	expect(await metrics.body.text()).toMatch(/^catkindale_peer_connections_refused_total [1-9]/mv);
	await expectUnchanged();
	for (const socket of sockets) {
		socket.destroy();
	}
});

test.each([
	{row: 'membership/fleet', event: /(ledger_unreadable)/v},
	{row: 'shift/of-nobody', event: /(shift_unreadable)/v},
])('a row $row that something else wrote is told in the log, and the node goes on', async ({row, event}) => {
	const read = await request(`${platform.table}/rows?key=${encodeURIComponent(row)}`);
	const {rows} = await read.body.json() as {rows: Array<{version: number; value: unknown}>};
	const version = rows[0]?.version ?? 0;
	await writeRow(row, version, {nobody: 'knows'});
	await node.waitFor(event);
	await expectUnchanged();
	await writeRow(row, version + 1, rows[0]?.value ?? {});
});

test('a rollout\'s row that something else wrote is told in the log and to operators, and the node goes on', async () => {
	const row = 'rollout/pricing-2';
	await writeRow(row, 0, {nobody: 'knows'});
	await applyManifest([node], `${getManifest({oslo: ['oslo-a']}, [], 'hostile-key')}
[[targets]]
name = "pricing-2"
service = "pricing"
version = "2"
region = "oslo"
zone = "oslo-a"
address = "127.0.0.1:9"
slots = 1
[[rollouts]]
name = "pricing-2"
service = "pricing"
from = "1"
to = "2"
deadline = "2100-01-01T00:00:00Z"
`);
	await node.waitFor(/(rollout_unreadable) rollout=pricing-2/v);
	const status = await callAdmin(node, 'GET', '/v1/rollouts');
	expect(status).toMatchObject({status: 200, body: {rollouts: [], unreadable: [row]}});
	const halt = await callAdmin(node, 'POST', '/v1/rollouts/halt?name=pricing-2');
	expect(halt).toMatchObject({status: 409, body: {result: 'refused'}});
	await expectUnchanged(2);
});

test('a configuration row that something else wrote stops neither the node nor its configuration', async () => {
	await writeRow('configuration', 2, {nobody: 'knows'});
	await node.waitFor(/(table_read_failed) row=configuration/v);
	await expectUnchanged(2);
	const applied = await callAdmin(node, 'POST', '/v1/configuration', getManifest({oslo: ['oslo-a']}, [], 'hostile-key'));
	expect(applied).toMatchObject({status: 503, body: {result: 'refused'}});
});

async function openStranger(): Promise<{readonly socket: Socket; readonly theirNonce: string}> {
	const [host, port] = peer.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	const reader = createFrameReader();
	const theirNonce = await new Promise<string>(resolve => {
		socket.on('data', (chunk: Uint8Array) => {
			reader.push(chunk, frame => {
				const {nonce: first} = frame as {nonce?: string};
				if (first !== undefined) {
					resolve(first);
				}
			});
		});
	});
	return {socket, theirNonce};
}

async function writeRow(key: string, expectedVersion: number, value: unknown): Promise<void> {
	const body = JSON.stringify({changeId: `junk-${key}-${expectedVersion}`, writes: [{key, expectedVersion, value}]});
	const answer = await request(`${platform.table}/transactions`, {method: 'POST', body});
	await answer.body.dump();
}

function encodeProof(secret: string, theirNonce: string): Buffer {
	const code = createProofCode({
		secret, id: hello.id, incarnation: hello.incarnation, ownNonce: nonce, peerNonce: theirNonce,
	});
	return encodeFrame({type: 'proof', code});
}

async function expectUnchanged(version = 1): Promise<void> {
	const status = await callAdmin(node, 'GET', '/v1/status');
	expect(status).toMatchObject({status: 200, body: {configurationVersion: version, knownVersion: version, restrictions: []}});
	expect(node.child.exitCode).toBeNull();
}

/** The resident memory of the node's process in bytes. */
async function getMemory(): Promise<number> {
	const status = await readFile(`/proc/${node.child.pid}/status`, 'utf8');
	return Number(/^VmRSS:\s+(\d+) kB$/mv.exec(status)?.[1]) * 1024;
}
