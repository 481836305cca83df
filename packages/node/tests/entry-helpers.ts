/** Starts an entry in this process with stand-ins for the platform, and targets whose responses a test writes byte by byte. */
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
const retryDelayMilliseconds = 50;
const startTimeoutMilliseconds = 15_000;

export type ReceivedRequest = {
	readonly socket: Socket;
	/** Returns everything received on the connection so far. */
	readonly getInput: () => string;
	readonly requestId: string;
	/** Number of the connection, counted from 1. */
	readonly connectionNumber: number;
};

export type RawTarget = {
	readonly address: string;
	/** The heads of all requests in order. */
	readonly requestHeads: string[];
	/** Numbers of the connections that were closed. */
	readonly closedConnections: number[];
	stop: () => Promise<void>;
};

/** Starts a target that passes each request to the test, which writes the response to the socket. */
export async function startRawTarget(respond: (received: ReceivedRequest) => void): Promise<RawTarget> {
	const requestHeads: string[] = [];
	const closedConnections: number[] = [];
	const sockets = new Set<Socket>();
	let connections = 0;
	const server = createServer(socket => {
		connections += 1;
		const connectionNumber = connections;
		let input = '';
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			closedConnections.push(connectionNumber);
		});
		socket.on('data', (chunk: Uint8Array) => {
			const before = input.split('\r\n\r\n').length;
			input += String(chunk);
			const after = input.split('\r\n\r\n').length;
			if (after > before && /^[A-Z]+ /v.test(String(chunk))) {
				requestHeads.push(String(chunk).split('\r\n\r\n', 1)[0] ?? '');
				const requestId = /catkindale-request-id: (\S+)/v.exec(requestHeads.at(-1) ?? '')?.[1] ?? '';
				respond({
					socket, requestId, connectionNumber, getInput: () => input,
				});
			}
		});
	});
	server.listen(0, loopback.host);
	await once(server, 'listening');
	return {
		address: `${loopback.host}:${(server.address() as AddressInfo).port}`,
		requestHeads,
		closedConnections,
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
	/** Sends the lines unchanged and returns everything received until the connection ends. */
	sendRaw: (lines: readonly string[]) => Promise<string>;
	connect: () => Socket;
	/** The table answers no request from now on. */
	stopTable: () => Promise<void>;
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
	const openSocket = (): Socket => {
		const {hostname, port} = new URL(url);
		return connect(Number(port), hostname);
	};

	await applyManifest(node, targets);
	await waitForKey(url);
	return {
		node,
		url,
		connect: openSocket,
		async stopTable() {
			const response = await request(`${table.address}/faults`, {method: 'POST', body: JSON.stringify({outage: true})});
			await response.body.dump();
		},
		async sendRaw(lines) {
			const socket = openSocket();
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

export async function applyManifest(node: NodeHandle, targets: readonly string[]): Promise<void> {
	const response = await request(`http://${node.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(targets), headers: {authorization: `Bearer ${operatorToken}`},
	});
	const body = await response.body.text();
	if (response.statusCode !== 200) {
		throw new Error(`the manifest was refused: ${body}`);
	}
}

/** Waits until the customer's key is accepted and its token bucket has begun to fill. */
async function waitForKey(url: string): Promise<void> {
	const endsAt = performance.now() + startTimeoutMilliseconds;
	while (performance.now() < endsAt) {
		const response = await request(`${url}/ready`, {headers: {authorization: `Bearer ${callerKey}`}});
		await response.body.dump();
		if (response.headers['catkindale-outcome'] === 'not-run' && response.statusCode === 503) {
			await delay(retryDelayMilliseconds);
		}

		const status = response.statusCode;
		if (status === 200) {
			return;
		}

		await delay(retryDelayMilliseconds);
	}

	throw new Error('the entry didn\'t serve requests in time');
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
		['GET', '/patient/:airfield', true, false],
		['POST', '/orders', false, false],
		['POST', '/open-orders', false, true],
		['POST', '/patient-orders', false, true],
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
deadlineMilliseconds = ${path.startsWith('/patient') ? 10_000 : 1500}`);
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
