/**
 * What the entry adds to a request: the same load is sent through an entry on
 * one thread and, as baselines, through a bare forwarder and straight to the
 * target, slice by slice in one run. Latency counts from the time at which a request was due.
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
	WorkerQuestion, WorkerReady, WorkerReport, WorkerRole, WorkerStart,
} from './bench-overhead-worker.js';

const operatorToken = 'bench-operator-token';
const callerKey = 'bench-caller-key';
const path = '/prices/ENGM';
const callersAtOnce = 64;
const sliceCount = 5;
const warmUpMilliseconds = 2000;
const idleConnections = 2000;
const idleBatch = 100;
const p50TargetMilliseconds = 1;
const p99TargetMilliseconds = 5;
const microsecondsPerMillisecond = 1000;
const bytesPerKibibyte = 1024;

type Thread = WorkerReady & {readonly worker: Worker; readonly report: (question?: WorkerQuestion) => Promise<WorkerReport>};
type Side = {readonly name: string; readonly pool: Pool; readonly histogram: Histogram; failures: number};

registerBench({
	name: 'overhead',
	describe: 'what the entry adds to a request, against calling the target directly',
	async run(options) {
		const target = await startThread('target');
		const [forwarder, entry] = await Promise.all([startThread('forwarder', target.caller), startThread('entry')]);
		await applyManifest(entry, target.caller);
		const direct = createSide('direct', target.caller);
		const forwarded = createSide('forwarder', forwarder.caller);
		const served = createSide('entry', entry.caller);
		const isOnTarget = await measure(options, {
			direct, forwarded, served, entry, random: createRandom(options.seed),
		});
		await printIdleMemory(entry, options.print);
		await Promise.all([direct, forwarded, served].map(async side => side.pool.destroy()));
		await Promise.all([target, forwarder, entry].map(async thread => thread.worker.terminate()));
		return isOnTarget;
	},
});

type Measurement = {readonly direct: Side; readonly forwarded: Side; readonly served: Side; readonly entry: Thread; readonly random: Random};

async function measure({seconds, print}: BenchOptions, {direct, forwarded, served, entry, random}: Measurement): Promise<boolean> {
	const sliceMilliseconds = seconds * millisecondsPerSecond / sliceCount;
	for (const side of [direct, forwarded, served]) {
		await runClosedLoop(side, warmUpMilliseconds);
	}

	const directRate = await runClosedLoop(direct, sliceMilliseconds);
	const forwarderRate = await runClosedLoop(forwarded, sliceMilliseconds);
	await entry.report();
	const entryRate = await runClosedLoop(served, sliceMilliseconds);
	const {busyShare: fullShare} = await entry.report();
	const busy = `entry thread ${(fullShare * 100).toFixed(0)}% busy`;
	print(`at full load, ${callersAtOnce} callers: direct ${directRate.toFixed(0)}, bare forwarder ${forwarderRate.toFixed(0)}, entry ${entryRate.toFixed(0)} requests/s, ${busy}`);

	const rate = entryRate / 2;
	let busyShare = 0;
	for (let slice = 0; slice < sliceCount; slice++) {
		await runOpenLoop(direct, {rate, milliseconds: sliceMilliseconds, random});
		await runOpenLoop(forwarded, {rate, milliseconds: sliceMilliseconds, random});
		await entry.report();
		await runOpenLoop(served, {rate, milliseconds: sliceMilliseconds, random});
		const report = await entry.report();
		busyShare += report.busyShare / sliceCount;
	}

	print(`at half load, ${rate.toFixed(0)} requests/s, entry thread ${(busyShare * 100).toFixed(0)}% busy`);
	return printLatencies([direct, forwarded, served], print);
}

function printLatencies(sides: readonly [Side, Side, Side], print: (line: string) => void): boolean {
	const [direct, forwarded, served] = sides;
	print('              p50 ms     p99 ms   p99.9 ms   requests   failures');
	for (const side of sides) {
		const quantiles = [50, 99, 99.9].map(percentile => getMilliseconds(side, percentile).toFixed(3).padStart(8));
		print(`${side.name.padEnd(10)} ${quantiles.join('   ')}   ${String(side.histogram.totalCount).padStart(8)}   ${String(side.failures).padStart(8)}`);
	}

	const bare = getAdded(forwarded, direct);
	const added = getAdded(served, direct);
	print(`added by a bare forwarder: p50 ${bare.p50.toFixed(3)} ms, p99 ${bare.p99.toFixed(3)} ms`);
	const isOnTarget = added.p50 < p50TargetMilliseconds && added.p99 < p99TargetMilliseconds && served.failures === 0;
	print(`added by the entry: p50 ${added.p50.toFixed(3)} ms, p99 ${added.p99.toFixed(3)} ms`);
	print(`targets p50 < ${p50TargetMilliseconds} ms, p99 < ${p99TargetMilliseconds} ms: ${isOnTarget ? 'met' : 'MISSED'}`);
	return isOnTarget;
}

function getAdded(side: Side, direct: Side): {readonly p50: number; readonly p99: number} {
	return {p50: getMilliseconds(side, 50) - getMilliseconds(direct, 50), p99: getMilliseconds(side, 99) - getMilliseconds(direct, 99)};
}

function getMilliseconds(side: Side, percentile: number): number {
	return side.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
}

function createSide(name: string, address: string): Side {
	return {
		name, pool: new Pool(`http://${address}`, {connections: callersAtOnce * 2, pipelining: 1}), histogram: build({highestTrackableValue: 60_000_000}), failures: 0,
	};
}

async function callOnce(side: Side): Promise<void> {
	const answer = await side.pool.request({method: 'GET', path, headers: {'x-api-key': callerKey}});
	await answer.body.dump();
	if (answer.statusCode !== 200) {
		side.failures += 1;
	}
}

/** Returns the requests served per second. */
async function runClosedLoop(side: Side, milliseconds: number): Promise<number> {
	const endsAt = performance.now() + milliseconds;
	let count = 0;
	const runCaller = async (): Promise<void> => {
		while (performance.now() < endsAt) {
			await callOnce(side);
			count += 1;
		}
	};

	await Promise.all(Array.from({length: callersAtOnce}, runCaller));
	return count * millisecondsPerSecond / milliseconds;
}

type OpenLoop = {readonly rate: number; readonly milliseconds: number; readonly random: Random};

/** Sends at random times of the given mean rate, whether or not earlier requests are answered. */
async function runOpenLoop(side: Side, {rate, milliseconds, random}: OpenLoop): Promise<void> {
	const startedAt = performance.now();
	const running = new Set<Promise<void>>();
	let dueAt = startedAt;
	while (dueAt < startedAt + milliseconds) {
		dueAt -= Math.log(1 - random.fraction()) / rate * millisecondsPerSecond;
		while (performance.now() < dueAt) {
			await nextTurn();
		}

		const call = callAndRecord(side, dueAt);
		running.add(call);
		void forgetWhenDone(running, call);
	}

	await Promise.all(running);
}

async function callAndRecord(side: Side, dueAt: number): Promise<void> {
	await callOnce(side);
	side.histogram.recordValue(Math.round((performance.now() - dueAt) * microsecondsPerMillisecond));
}

async function forgetWhenDone(running: Set<Promise<void>>, call: Promise<void>): Promise<void> {
	await call;
	running.delete(call);
}

/** Opens connections that have had one answer each, and prints what the entry keeps for them. */
async function printIdleMemory(entry: Thread, print: (line: string) => void): Promise<void> {
	const before = await entry.report('memory');
	const sockets: Socket[] = [];
	while (sockets.length < idleConnections) {
		const batch = await Promise.all(Array.from({length: idleBatch}, async () => openIdle(entry.caller)));
		sockets.push(...batch);
	}

	await delay(millisecondsPerSecond);
	const after = await entry.report('memory');
	const perThousand = (after.memoryBytes - before.memoryBytes) / idleConnections * 1000 / bytesPerKibibyte;
	print(`idle caller connections: ${perThousand.toFixed(0)} KiB of heap and buffers per 1,000 (from ${idleConnections}; buffers of the kernel not counted)`);
	for (const socket of sockets) {
		socket.destroy();
	}
}

async function openIdle(address: string): Promise<Socket> {
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
		async report(question = 'busy') {
			const answered = once(worker, 'message');
			worker.postMessage(question);
			const [report] = await answered as [WorkerReport];
			return report;
		},
	};
}

async function applyManifest(entry: Thread, target: string): Promise<void> {
	const answer = await request(`http://${entry.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(target), headers: {authorization: `Bearer ${operatorToken}`},
	});
	await answer.body.dump();
	const side = createSide('start', entry.caller);
	do {
		side.failures = 0;
		await delay(100);
		await callOnce(side);
	} while (side.failures > 0);

	await side.pool.destroy();
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
