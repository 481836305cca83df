/** Starts one entry in this process with stand-ins of the platform, and targets that answer byte by byte. */
import {once} from 'node:events';
import {
	type AddressInfo, type Socket, connect, createServer,
} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {createSilentLogger, hashText} from '@catkindale/common';
import {
	type Standin, startMachineListStandin, startObjectStoreStandin, startTableStandin,
} from '@catkindale/standins';
import {request} from 'undici';
import {
	type NodeHandle, type SettingsInput, settingsSchema, startNode,
} from '@catkindale/node';

export const callerKey = 'entry-test-key';
const operatorToken = 'entry-test-operator';
const loopback = {host: '127.0.0.1', port: 0};
const settleMilliseconds = 50;
const startLimitMilliseconds = 15_000;

export type ReceivedRequest = {
	readonly socket: Socket;
	/** All that came on the connection so far. */
	readonly getInput: () => string;
	readonly requestId: string;
	/** Which connection it came on, from 1. */
	readonly connectionNumber: number;
};

export type RawTarget = {
	readonly address: string;
	/** The heads of all requests, in order. */
	readonly requestHeads: string[];
	/** Connections that the entry closed. */
	readonly closedConnections: number[];
	stop: () => Promise<void>;
};

/** A target that hands each request's head to the test, which answers on the socket. */
export async function startRawTarget(answer: (received: ReceivedRequest) => void): Promise<RawTarget> {
	const heads: string[] = [];
	const closed: number[] = [];
	const sockets = new Set<Socket>();
	let connections = 0;
	const server = createServer(socket => {
		connections += 1;
		const connection = connections;
		let input = '';
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			closed.push(connection);
		});
		socket.on('data', (chunk: Uint8Array) => {
			const before = input.split('\r\n\r\n').length;
			input += String(chunk);
			const after = input.split('\r\n\r\n').length;
			if (after > before && /^[A-Z]+ /v.test(String(chunk))) {
				heads.push(String(chunk).split('\r\n\r\n', 1)[0] ?? '');
				const requestId = /catkindale-request-id: (\S+)/v.exec(heads.at(-1) ?? '')?.[1] ?? '';
				answer({
					socket, requestId, connectionNumber: connection, getInput: () => input,
				});
			}
		});
	});
	server.listen(0, loopback.host);
	await once(server, 'listening');
	return {
		address: `${loopback.host}:${(server.address() as AddressInfo).port}`,
		requestHeads: heads,
		closedConnections: closed,
		async stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
}

export type TestEntry = {
	readonly node: NodeHandle;
	readonly url: string;
	/** Sends lines as they stand and returns all that comes back. */
	sendRaw: (lines: readonly string[]) => Promise<string>;
	connect: () => Socket;
	stop: () => Promise<void>;
};

export async function startEntry(targets: readonly string[], limits: SettingsInput['limits'] = {}): Promise<TestEntry> {
	const standins = await Promise.all([startTableStandin(loopback), startObjectStoreStandin(loopback), startMachineListStandin(loopback)]);
	const [table, objects, machines] = standins;
	const listen = '127.0.0.1:0';
	const node = await startNode(settingsSchema.parse({
		node: {name: 'oslo-1', region: 'oslo', zone: 'oslo-a'},
		listen: {
			caller: listen, peer: listen, admin: listen, metrics: listen,
		},
		platform: {table: {address: table.address}, objects: {address: objects.address}, machines: {address: machines.address}},
		secrets: {peer: 'entry-test-peer-secret', operatorToken},
		limits,
		timing: {lookupHoldMilliseconds: 0},
	}), {logger: createSilentLogger()});
	const url = `http://${node.addresses.caller}`;
	const open = (): Socket => {
		const {hostname, port} = new URL(url);
		return connect(Number(port), hostname);
	};

	await apply(node, targets);
	await waitForKey(url);
	return {
		node,
		url,
		connect: open,
		async sendRaw(lines) {
			const socket = open();
			socket.write([...lines, '', ''].join('\r\n'));
			return text(socket);
		},
		async stop() {
			await node.stop();
			await stopAll(standins);
		},
	};
}

async function stopAll(standins: readonly Standin[]): Promise<void> {
	await Promise.all(standins.map(async standin => standin.stop()));
}

async function apply(node: NodeHandle, targets: readonly string[]): Promise<void> {
	const answer = await request(`http://${node.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(targets), headers: {authorization: `Bearer ${operatorToken}`},
	});
	const body = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`the manifest was refused: ${body}`);
	}
}

/** Waits until the customer's key is known and its tokens have begun to grow. */
async function waitForKey(url: string): Promise<void> {
	const endsAt = performance.now() + startLimitMilliseconds;
	while (performance.now() < endsAt) {
		const answer = await request(`${url}/ready`, {headers: {authorization: `Bearer ${callerKey}`}});
		await answer.body.dump();
		if (answer.headers['catkindale-outcome'] === 'not-run' && answer.statusCode === 503) {
			await delay(settleMilliseconds);
		}

		const reason = answer.statusCode;
		if (reason === 200) {
			return;
		}

		await delay(settleMilliseconds);
	}

	throw new Error('the entry didn\'t serve in time');
}

function getManifest(targets: readonly string[]): string {
	const targetLines = targets.map((address, index) => `[[targets]]
name = "target-${index + 1}"
service = "pricing"
version = "1"
region = "oslo"
zone = "oslo-a"
address = "${address}"
slots = 20`);
	const routes = [
		['GET', '/ready', true, false],
		['GET', '/prices/:airfield', true, true],
		['HEAD', '/prices/:airfield', true, true],
		['GET', '/keyed/:airfield', true, false],
		['POST', '/orders', false, false],
		['POST', '/open-orders', false, true],
		['PUT', '/receipts/:name', true, true],
		['GET', '/files/*', true, true],
		['GET', '/hedged/:airfield', true, true],
	] as const;
	const routeLines = routes.map(([method, path, isIdempotent, isOpen]) => `[[routes]]
service = "pricing"
method = "${method}"
path = "${path}"
idempotent = ${isIdempotent}
open = ${isOpen}
hedge = ${path.startsWith('/hedged')}
deadlineMilliseconds = 1500`);
	return `[[regions]]
name = "oslo"
zones = ["oslo-a"]
[[customers]]
name = "wideroe"
rate = 1000
burst = 600
[[keys]]
customer = "wideroe"
hash = "${hashText(callerKey)}"
[[services]]
name = "pricing"
version = "1"
${[...routeLines, ...targetLines].join('\n')}
`;
}
