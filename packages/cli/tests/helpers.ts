/** Starts real processes of the command line on loopback addresses and ends them by id. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {hashText} from '@catkindale/common';
import {request} from 'undici';

const main = new URL('../dist/main.js', import.meta.url).pathname;
const pollMilliseconds = 50;
const startTimeoutMilliseconds = 15_000;

export const operatorToken = 'test-operator-token';
export const peerSecret = 'test-peer-secret-of-fleet';

export type TestProcess = {
	readonly child: ChildProcess;
	readonly output: () => string;
	/** The value after `key=` or the text after `key ` in the output so far. */
	readonly waitFor: (pattern: RegExp) => Promise<string>;
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Resolves with the exit code. */
	readonly exit: () => Promise<number | undefined>;
};

const lastOutputCharacters = 4000;
const running = new Set<TestProcess>();

export function startProcess(parameters: readonly string[]): TestProcess {
	const child = spawn(process.execPath, [main, ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	const collect = (chunk: Uint8Array): void => {
		output += String(chunk);
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);

	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			if (code && parameters[0] === 'node') {
				// What follows from this in the test seldom tells why.
				console.error(`a node ended by itself with code ${code}: ${output.slice(-lastOutputCharacters)}`);
			}

			resolve(code ?? undefined);
		});
	});
	const started: TestProcess = {
		child,
		output: () => output,
		async waitFor(pattern) {
			return waitUntil(() => pattern.exec(output)?.[1], `${pattern.source} in: ${output}`);
		},
		signal(signal) {
			child.kill(signal);
		},
		exit: async () => exited,
	};
	running.add(started);
	return started;
}

/** Ends every process that the test file started. */
export async function endProcesses(): Promise<void> {
	for (const started of running) {
		started.signal('SIGKILL');
	}

	await Promise.all([...running].map(async started => started.exit()));
	running.clear();
}

/** Polls until the value is there; fails with the description after the time limit. */
export async function waitUntil<Value>(read: () => Value | undefined | Promise<Value | undefined>, description: string): Promise<Value> {
	const endsAt = performance.now() + startTimeoutMilliseconds;
	while (performance.now() < endsAt) {
		const value = await read();
		if (value !== undefined) {
			return value;
		}

		await delay(pollMilliseconds);
	}

	throw new Error(`not seen in time: ${description}`);
}

export type TestNode = TestProcess & {
	readonly name: string;
	readonly caller: string;
	readonly admin: string;
	readonly metrics: string;
};

export type TestPlatform = {readonly table: string; readonly objects: string; readonly machines: string};

export async function startStandinProcess(kind: string, parameters: readonly string[] = []): Promise<string> {
	const started = startProcess(['standin', kind, ...parameters]);
	return started.waitFor(/listening on (\S+)/v);
}

export async function startPlatformProcesses(): Promise<TestPlatform> {
	const [table, objects, machines] = await Promise.all(['table', 'objects', 'machines'].map(async kind => startStandinProcess(kind)));
	return {table: table ?? '', objects: objects ?? '', machines: machines ?? ''};
}

export type TestNodePlace = {readonly name: string; readonly region: string; readonly zone: string};

export async function startNodeProcess(platform: TestPlatform, place: TestNodePlace, extraSettings = ''): Promise<TestNode> {
	const folder = await mkdtemp(path.join(tmpdir(), 'catkindale-test-'));
	const file = path.join(folder, 'settings.toml');
	await writeFile(file, getSettings(platform, place, extraSettings));
	const started = startProcess(['node', '--settings', file]);
	const [caller, admin, metrics] = await Promise.all(['caller', 'admin', 'metrics'].map(async port =>
		started.waitFor(new RegExp(String.raw`event=started .*\b${port}=(\S+)`, 'v'))));
	return {
		...started, name: place.name, caller: `http://${caller}`, admin: admin ?? '', metrics: `http://${metrics}`,
	};
}

function getSettings(platform: TestPlatform, place: TestNodePlace, extraSettings: string): string {
	return `
${extraSettings}
[node]
name = "${place.name}"
region = "${place.region}"
zone = "${place.zone}"
[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
table = {address = "${platform.table}"}
objects = {address = "${platform.objects}"}
machines = {address = "${platform.machines}"}
targetHealth = {}
[secrets]
peer = "${peerSecret}"
operatorToken = "${operatorToken}"
`;
}

export type AdminReply = {readonly status: number; readonly body: Record<string, unknown>};

export async function callAdmin(node: TestNode, method: 'GET' | 'POST', route: string, body?: string): Promise<AdminReply> {
	const answer = await request(`http://${node.admin}${route}`, {
		method, body, headers: {authorization: `Bearer ${operatorToken}`},
	});
	return {status: answer.statusCode, body: await answer.body.json() as Record<string, unknown>};
}

/** Resolves once every node serves at least the given configuration version. */
export async function waitForVersion(nodes: readonly TestNode[], version: number): Promise<void> {
	await waitUntil(async () => {
		const replies = await Promise.all(nodes.map(async node => callAdmin(node, 'GET', '/v1/status')));
		return replies.every(reply => Number(reply.body.configurationVersion) >= version) || undefined;
	}, `version ${version} on all nodes`);
}

export type ManifestTarget = {readonly name: string; readonly address: string; readonly region: string; readonly zone: string; readonly slots: number};

/** A manifest with a pricing service, one customer and one key. */
export function getManifest(regions: Record<string, readonly string[]>, targets: readonly ManifestTarget[], key: string): string {
	const regionLines = Object.entries(regions).map(([name, zones]) => `[[regions]]\nname = "${name}"\nzones = ${JSON.stringify(zones)}`);
	const targetLines = targets.map(target => `[[targets]]
name = "${target.name}"
service = "pricing"
version = "1"
region = "${target.region}"
zone = "${target.zone}"
address = "${target.address.replace('http://', '')}"
slots = ${target.slots}`);
	return `${regionLines.join('\n')}
[[customers]]
name = "wideroe"
rate = 1000
burst = 600
[[keys]]
customer = "wideroe"
hash = "${hashText(key)}"
[[services]]
name = "pricing"
version = "1"
[[routes]]
service = "pricing"
method = "GET"
path = "/prices/:airfield"
idempotent = true
[[routes]]
service = "pricing"
method = "POST"
path = "/orders"
idempotent = false
[[routes]]
service = "pricing"
method = "PUT"
path = "/receipts/:name"
idempotent = true
class = "bulk"
deadlineMilliseconds = 60000
${targetLines.join('\n')}
`;
}

export type TableFaults = {readonly outage?: boolean; readonly delayMilliseconds?: number; readonly lostAnswerShare?: number};

/** Sets the faults of the table stand-in; those left out end. */
export async function setTableFaults(platform: TestPlatform, faults: TableFaults): Promise<void> {
	const answer = await request(`${platform.table}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await answer.body.dump();
}

/** Cuts a node off from peers and from the table; what isn't named is connected again. */
export async function cutNode(node: TestNode, peers: readonly TestNode[], table: boolean): Promise<void> {
	await callAdmin(node, 'POST', '/v1/testing/cuts', JSON.stringify({peers: peers.map(({name}) => name), table}));
}

/** The address at which the node's peers reach it. */
export async function getPeerAddress(node: TestNode): Promise<string> {
	return node.waitFor(/event=started .*\bpeer=(\S+)/v);
}

/** Sets the platform's list of VMs: these live, those leave. */
export async function listMachines(platform: TestPlatform, live: readonly string[], leaving: readonly string[] = []): Promise<void> {
	const machines = [...live.map(id => ({id, state: 'live'})), ...leaving.map(id => ({id, state: 'leaving'}))];
	const answer = await request(`${platform.machines}/machines`, {method: 'PUT', body: JSON.stringify({machines})});
	await answer.body.dump();
}

/** Starts nodes that can be cut off, and waits until they know each other. */
export async function startFleet(platform: TestPlatform, places: readonly TestNodePlace[], timing = 'lookupHoldMilliseconds = 300'): Promise<TestNode[]> {
	const settings = `testing = {allowCuts = true}\ntiming = {${timing}}`;
	await listMachines(platform, places.map(({name}) => name));
	const nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place, settings)));
	await waitForServing(nodes, nodes.length);
	return nodes;
}

/** Resolves once each of the nodes counts so many members that look-ups may name. */
export async function waitForServing(nodes: readonly TestNode[], count: number): Promise<void> {
	await waitUntil(async () => {
		const replies = await Promise.all(nodes.map(async node => callAdmin(node, 'GET', '/v1/status')));
		const counts = replies.map(reply => (reply.body.members as Array<{isServing: boolean}>).filter(({isServing}) => isServing).length);
		return counts.every(serving => serving === count) || undefined;
	}, `${count} serving members on all nodes`);
}

export type Answer = {readonly status: number; readonly reason: string | undefined};

/** Sends one request and reads its answer whole; a failed connection gives status 0. */
export async function sendRequest(address: string, headers: Record<string, string> = {}): Promise<Answer> {
	try {
		const answer = await request(address, {headers});
		const body = await answer.body.json() as {reason?: string};
		return {status: answer.statusCode, reason: body.reason};
	} catch {
		return {status: 0, reason: undefined};
	}
}

/** Resolves with the milliseconds until every one of the addresses gives the status. */
export async function waitForStatus(addresses: readonly string[], headers: Record<string, string>, status: number): Promise<number> {
	const startedAt = performance.now();
	await waitUntil(async () => {
		const answers = await Promise.all(addresses.map(async address => sendRequest(address, headers)));
		return answers.every(answer => answer.status === status) || undefined;
	}, `status ${status} from all entries`);
	return performance.now() - startedAt;
}

const targetSlots = 30;

/** Starts one target of the pricing service at each place. */
export async function startTargets(places: readonly TestNodePlace[]): Promise<ManifestTarget[]> {
	return Promise.all(places.map(async ({region, zone}) => ({
		name: `pricing-${zone}`, address: await startStandinProcess('target', ['--slots', String(targetSlots)]), region, zone, slots: targetSlots,
	})));
}

/** Applies a manifest as part of the set-up and waits until all nodes have it, however slow the machine is. */
export async function applyManifest(nodes: readonly TestNode[], manifest: string): Promise<void> {
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	if (typeof applied.body.version !== 'number') {
		throw new TypeError(`the manifest wasn't applied: ${JSON.stringify(applied.body)}`);
	}

	await waitForVersion(nodes, applied.body.version);
}
