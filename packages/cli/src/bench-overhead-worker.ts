/**
 * Worker threads of `catkindale bench overhead`: a minimal target, a bare
 * forwarder, or an entry with its platform stand-ins, each on its own event loop.
 */
import {type IncomingMessage, type ServerResponse, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type MessagePort, parentPort, workerData} from 'node:worker_threads';
import {startMachineListStandin, startObjectStoreStandin, startTableStandin} from '@catkindale/standins';
import {Pool} from 'undici';
import {startEmbeddedNode} from './embedded-node.js';

export type WorkerRole = 'target' | 'forwarder' | 'entry';
export type WorkerStart = {readonly role: WorkerRole; readonly operatorToken: string; readonly target: string};
/** Garbage is collected only for a `memory` report, because a collection would disturb a measurement of time. */
export type ReportKind = 'busy' | 'memory';
/** Size of the thread's heap and buffers, and the fraction of time that its event loop was busy since the last report. */
export type WorkerReport = {readonly memoryBytes: number; readonly busyFraction: number};
export type WorkerReady = {readonly caller: string; readonly admin: string};

const loopback = {host: '127.0.0.1', port: 0};
const connectionsPerTarget = 128;
const responseBody = '{"airfield":"ENGM","price":1234,"currency":"NOK"}';

async function startTarget(): Promise<WorkerReady> {
	const server = createServer((request, response) => {
		response.writeHead(200, {
			'content-type': 'application/json', 'content-length': responseBody.length, 'catkindale-request-id': request.headers['catkindale-request-id'] ?? '',
		});
		response.end(responseBody);
	});
	await new Promise<void>(resolve => {
		server.listen(loopback.port, loopback.host, resolve);
	});
	return {caller: `${loopback.host}:${(server.address() as AddressInfo).port}`, admin: ''};
}

/** The minimal forwarder with the same HTTP libraries: no checks, no target choice, no limits. */
async function startForwarder(target: string): Promise<WorkerReady> {
	const pool = new Pool(`http://${target}`, {connections: connectionsPerTarget, pipelining: 1});
	const forward = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const targetResponse = await pool.request({method: 'GET', path: request.url ?? '/', headers: request.headers});
		response.writeHead(targetResponse.statusCode, targetResponse.headers);
		await pipeline(targetResponse.body, response);
	};

	const server = createServer((request, response) => {
		void forward(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(loopback.port, loopback.host, resolve);
	});
	return {caller: `${loopback.host}:${(server.address() as AddressInfo).port}`, admin: ''};
}

async function startEntry(operatorToken: string): Promise<WorkerReady> {
	const [table, objects, machines] = await Promise.all([startTableStandin(loopback), startObjectStoreStandin(loopback), startMachineListStandin(loopback)]);
	const node = await startEmbeddedNode({
		place: {name: 'oslo-1', region: 'oslo', zone: 'oslo-a'},
		platform: {table, objects, machines},
		operatorToken,
		limits: {connectionsPerTarget, idleTimeoutMilliseconds: 600_000},
	});
	return {caller: node.addresses.caller, admin: node.addresses.admin};
}

function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
}

async function startRole({role, operatorToken, target}: WorkerStart): Promise<WorkerReady> {
	switch (role) {
		case 'target': {
			return startTarget();
		}

		case 'forwarder': {
			return startForwarder(target);
		}

		case 'entry': {
			return startEntry(operatorToken);
		}
	}
}

async function run(port: MessagePort, start: WorkerStart): Promise<void> {
	port.postMessage(await startRole(start));
	let previous = performance.eventLoopUtilization();
	port.on('message', (kind: ReportKind) => {
		const current = performance.eventLoopUtilization();
		const busyFraction = performance.eventLoopUtilization(current, previous).utilization;
		previous = current;
		if (kind === 'memory') {
			collectGarbage();
		}

		const {heapUsed, external, arrayBuffers} = process.memoryUsage();
		const report: WorkerReport = {memoryBytes: heapUsed + external + arrayBuffers, busyFraction};
		port.postMessage(report);
	});
}

if (parentPort) {
	await run(parentPort, workerData as WorkerStart);
}
