/**
 * Latency that the entry adds to a request. The same load is sent through an
 * entry on one thread and, as baselines, through a bare forwarder and directly
 * to the target, in alternating slices of one run. Latency counts from the
 * scheduled time of a request, so that delayed sending isn't hidden.
 */
import {once} from 'node:events';
import {type Socket, connect} from 'node:net';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {type Histogram, build} from 'hdr-histogram-js';
import {
	type Random, createRandom, millisecondsPerSecond,
} from '@catkindale/common';
import {Pool, request} from 'undici';
import {type BenchOptions, registerBench} from './bench-registry.js';
import {formatPricingManifest} from './pricing-manifest.js';
import type {
	ReportKind, WorkerReady, WorkerReport, WorkerRole, WorkerStart,
} from './bench-overhead-worker.js';

const operatorToken = 'bench-operator-token';
const callerKey = 'bench-caller-key';
const path = '/prices/ENGM';
const concurrentCallers = 64;
const sliceCount = 5;
const warmUpMilliseconds = 2000;
const idleConnections = 2000;
const idleConnectionsPerBatch = 100;
const p50TargetMilliseconds = 1;
const p99TargetMilliseconds = 5;
const microsecondsPerMillisecond = 1000;
const bytesPerKibibyte = 1024;

type Thread = WorkerReady & {readonly worker: Worker; readonly report: (kind?: ReportKind) => Promise<WorkerReport>};
type CallPath = {readonly name: string; readonly pool: Pool; readonly histogram: Histogram; failures: number};

registerBench({
	name: 'overhead',
	describe: 'latency that the entry adds to a request, compared with calling the target directly',
	async run(options) {
		const target = await startThread('target');
		const [forwarder, entry] = await Promise.all([startThread('forwarder', target.caller), startThread('entry')]);
		await applyManifest(entry, target.caller);
		const directPath = createCallPath('direct', target.caller);
		const forwarderPath = createCallPath('forwarder', forwarder.caller);
		const entryPath = createCallPath('entry', entry.caller);
		const isOnTarget = await measure(options, {
			directPath, forwarderPath, entryPath, entry, random: createRandom(options.seed),
		});
		await printIdleMemory(entry, options.print);
		await Promise.all([directPath, forwarderPath, entryPath].map(async callPath => callPath.pool.destroy()));
		await Promise.all([target, forwarder, entry].map(async thread => thread.worker.terminate()));
		return isOnTarget;
	},
});

type Measurement = {readonly directPath: CallPath; readonly forwarderPath: CallPath; readonly entryPath: CallPath; readonly entry: Thread; readonly random: Random};

async function measure({seconds, print}: BenchOptions, {directPath, forwarderPath, entryPath, entry, random}: Measurement): Promise<boolean> {
	const sliceMilliseconds = seconds * millisecondsPerSecond / sliceCount;
	for (const callPath of [directPath, forwarderPath, entryPath]) {
		await runClosedLoop(callPath, warmUpMilliseconds);
	}

	const directRate = await runClosedLoop(directPath, sliceMilliseconds);
	const forwarderRate = await runClosedLoop(forwarderPath, sliceMilliseconds);
	await entry.report();
	const entryRate = await runClosedLoop(entryPath, sliceMilliseconds);
	const {busyFraction: fullLoadBusyFraction} = await entry.report();
	const busyText = `entry thread ${(fullLoadBusyFraction * 100).toFixed(0)}% busy`;
	print(`at full load, ${concurrentCallers} callers: direct ${directRate.toFixed(0)}, bare forwarder ${forwarderRate.toFixed(0)}, entry ${entryRate.toFixed(0)} requests/s, ${busyText}`);

	const rate = entryRate / 2;
	let busyFraction = 0;
	for (let slice = 0; slice < sliceCount; slice++) {
		await runOpenLoop(directPath, {rate, milliseconds: sliceMilliseconds, random});
		await runOpenLoop(forwarderPath, {rate, milliseconds: sliceMilliseconds, random});
		await entry.report();
		await runOpenLoop(entryPath, {rate, milliseconds: sliceMilliseconds, random});
		const report = await entry.report();
		busyFraction += report.busyFraction / sliceCount;
	}

	print(`at half load, ${rate.toFixed(0)} requests/s, entry thread ${(busyFraction * 100).toFixed(0)}% busy`);
	return printLatencies([directPath, forwarderPath, entryPath], print);
}

function printLatencies(callPaths: readonly [CallPath, CallPath, CallPath], print: (line: string) => void): boolean {
	const [directPath, forwarderPath, entryPath] = callPaths;
	print('              p50 ms     p99 ms   p99.9 ms   requests   failures');
	for (const callPath of callPaths) {
		const percentiles = [50, 99, 99.9].map(percentile => getMilliseconds(callPath, percentile).toFixed(3).padStart(8));
		print(`${callPath.name.padEnd(10)} ${percentiles.join('   ')}   ${String(callPath.histogram.totalCount).padStart(8)}   ${String(callPath.failures).padStart(8)}`);
	}

	const addedByForwarder = getAddedLatency(forwarderPath, directPath);
	const addedByEntry = getAddedLatency(entryPath, directPath);
	print(`added by a bare forwarder: p50 ${addedByForwarder.p50.toFixed(3)} ms, p99 ${addedByForwarder.p99.toFixed(3)} ms`);
	const isOnTarget = addedByEntry.p50 < p50TargetMilliseconds && addedByEntry.p99 < p99TargetMilliseconds && entryPath.failures === 0;
	print(`added by the entry: p50 ${addedByEntry.p50.toFixed(3)} ms, p99 ${addedByEntry.p99.toFixed(3)} ms`);
	print(`targets p50 < ${p50TargetMilliseconds} ms, p99 < ${p99TargetMilliseconds} ms: ${isOnTarget ? 'met' : 'MISSED'}`);
	return isOnTarget;
}

function getAddedLatency(callPath: CallPath, directPath: CallPath): {readonly p50: number; readonly p99: number} {
	return {p50: getMilliseconds(callPath, 50) - getMilliseconds(directPath, 50), p99: getMilliseconds(callPath, 99) - getMilliseconds(directPath, 99)};
}

function getMilliseconds(callPath: CallPath, percentile: number): number {
	return callPath.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
}

function createCallPath(name: string, address: string): CallPath {
	return {
		name, pool: new Pool(`http://${address}`, {connections: concurrentCallers * 2, pipelining: 1}), histogram: build({highestTrackableValue: 60_000_000}), failures: 0,
	};
}

async function callOnce(callPath: CallPath): Promise<void> {
	const response = await callPath.pool.request({method: 'GET', path, headers: {'x-api-key': callerKey}});
	await response.body.dump();
	if (response.statusCode !== 200) {
		callPath.failures += 1;
	}
}

/** Returns the requests served per second. */
async function runClosedLoop(callPath: CallPath, milliseconds: number): Promise<number> {
	const endsAt = performance.now() + milliseconds;
	let count = 0;
	const runCaller = async (): Promise<void> => {
		while (performance.now() < endsAt) {
			await callOnce(callPath);
			count += 1;
		}
	};

	await Promise.all(Array.from({length: concurrentCallers}, runCaller));
	return count * millisecondsPerSecond / milliseconds;
}

type OpenLoop = {readonly rate: number; readonly milliseconds: number; readonly random: Random};

/** Sends requests as a Poisson process with the given mean rate, without waiting for earlier responses. */
async function runOpenLoop(callPath: CallPath, {rate, milliseconds, random}: OpenLoop): Promise<void> {
	const startedAt = performance.now();
	const runningCalls = new Set<Promise<void>>();
	let scheduledAt = startedAt;
	while (scheduledAt < startedAt + milliseconds) {
		scheduledAt -= Math.log(1 - random.fraction()) / rate * millisecondsPerSecond;
		while (performance.now() < scheduledAt) {
			await nextTurn();
		}

		const call = callAndRecord(callPath, scheduledAt);
		runningCalls.add(call);
		void removeWhenDone(runningCalls, call);
	}

	await Promise.all(runningCalls);
}

async function callAndRecord(callPath: CallPath, scheduledAt: number): Promise<void> {
	await callOnce(callPath);
	callPath.histogram.recordValue(Math.round((performance.now() - scheduledAt) * microsecondsPerMillisecond));
}

async function removeWhenDone(runningCalls: Set<Promise<void>>, call: Promise<void>): Promise<void> {
	await call;
	runningCalls.delete(call);
}

/** Opens connections that receive one response each, and prints the memory that the entry uses for them while they are idle. */
async function printIdleMemory(entry: Thread, print: (line: string) => void): Promise<void> {
	const reportBefore = await entry.report('memory');
	const sockets: Socket[] = [];
	while (sockets.length < idleConnections) {
		const openedSockets = await Promise.all(Array.from({length: idleConnectionsPerBatch}, async () => openIdleConnection(entry.caller)));
		sockets.push(...openedSockets);
	}

	await delay(millisecondsPerSecond);
	const reportAfter = await entry.report('memory');
	const kibibytesPerThousand = (reportAfter.memoryBytes - reportBefore.memoryBytes) / idleConnections * 1000 / bytesPerKibibyte;
	print(`idle caller connections: ${kibibytesPerThousand.toFixed(0)} KiB of heap and buffers per 1,000 (from ${idleConnections}; kernel buffers not included)`);
	for (const socket of sockets) {
		socket.destroy();
	}
}

async function openIdleConnection(address: string): Promise<Socket> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host ?? '');
	socket.write(`GET ${path} HTTP/1.1\r\nhost: x\r\nx-api-key: ${callerKey}\r\n\r\n`);
	await once(socket, 'data');
	return socket;
}

async function startThread(role: WorkerRole, target = ''): Promise<Thread> {
	const start: WorkerStart = {role, operatorToken, target};
	const worker = new Worker(new URL('bench-overhead-worker.js', import.meta.url), {workerData: start});
	const [ready] = await once(worker, 'message') as [WorkerReady];
	return {
		...ready,
		worker,
		async report(kind = 'busy') {
			const nextMessage = once(worker, 'message');
			worker.postMessage(kind);
			const [report] = await nextMessage as [WorkerReport];
			return report;
		},
	};
}

async function applyManifest(entry: Thread, target: string): Promise<void> {
	const response = await request(`http://${entry.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(target), headers: {authorization: `Bearer ${operatorToken}`},
	});
	await response.body.dump();
	const callPath = createCallPath('start', entry.caller);
	do {
		callPath.failures = 0;
		await delay(100);
		await callOnce(callPath);
	} while (callPath.failures > 0);

	await callPath.pool.destroy();
}

function getManifest(address: string): string {
	return formatPricingManifest({
		regions: ['oslo'],
		customers: [{
			name: 'wideroe', rate: 1_000_000, burst: 1_000_000, key: callerKey,
		}],
		targets: [{
			name: 'pricing-1', region: 'oslo', address, slots: 128,
		}],
	});
}
