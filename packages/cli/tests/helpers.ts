/** Starts processes of the command-line program on loopback addresses, and ends those that it started. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {hashText} from '@catkindale/common';
import {request} from 'undici';

const mainPath = new URL('../dist/main.js', import.meta.url).pathname;
const pollMilliseconds = 50;
const waitTimeoutMilliseconds = 15_000;

export const operatorToken = 'test-operator-token';
export const peerSecret = 'test-peer-secret-of-fleet';

export type TestProcess = {
	readonly child: ChildProcess;
	readonly getOutput: () => string;
	/** Polls the output until the pattern matches; resolves with the first capture group. */
	readonly waitForOutput: (pattern: RegExp) => Promise<string>;
	readonly sendSignal: (signal: NodeJS.Signals) => void;
	/** Resolves with the exit code. */
	readonly waitForExit: () => Promise<number | undefined>;
};

const maximumPrintedCharacters = 4000;
const runningProcesses = new Set<TestProcess>();

export function startProcess(parameters: readonly string[]): TestProcess {
	const child = spawn(process.execPath, [mainPath, ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	const collect = (chunk: Uint8Array): void => {
		output += String(chunk);
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);

	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			if (code && parameters[0] === 'node') {
				// The test's own failure rarely shows why the node exited.
				console.error(`a node exited unexpectedly with code ${code}: ${output.slice(-maximumPrintedCharacters)}`);
			}

			resolve(code ?? undefined);
		});
	});
	const testProcess: TestProcess = {
		child,
		getOutput: () => output,
		async waitForOutput(pattern) {
			return waitUntil(() => pattern.exec(output)?.[1], `${pattern.source} in: ${output}`);
		},
		sendSignal(signal) {
			child.kill(signal);
		},
		waitForExit: async () => exited,
	};
	runningProcesses.add(testProcess);
	return testProcess;
}

/** Kills every process that the test file started and waits for its exit. */
export async function endProcesses(): Promise<void> {
	for (const testProcess of runningProcesses) {
		testProcess.sendSignal('SIGKILL');
	}

	await Promise.all([...runningProcesses].map(async testProcess => testProcess.waitForExit()));
	runningProcesses.clear();
}

/** Polls until the value is defined; throws an error with the description after the timeout. */
export async function waitUntil<Value>(readValue: () => Value | undefined | Promise<Value | undefined>, description: string): Promise<Value> {
	const endsAt = performance.now() + waitTimeoutMilliseconds;
	while (performance.now() < endsAt) {
		const value = await readValue();
		if (value !== undefined) {
			return value;
		}

		await delay(pollMilliseconds);
	}

	throw new Error(`timed out waiting for: ${description}`);
}

export type TestNode = TestProcess & {
	readonly name: string;
	readonly callerUrl: string;
	readonly adminAddress: string;
	readonly metricsUrl: string;
};

export type TestPlatform = {readonly tableUrl: string; readonly objectsUrl: string; readonly machinesUrl: string};

export async function startStandinProcess(kind: string, parameters: readonly string[] = []): Promise<string> {
	const testProcess = startProcess(['standin', kind, ...parameters]);
	return testProcess.waitForOutput(/listening on (\S+)/v);
}

export async function startPlatformProcesses(): Promise<TestPlatform> {
	const [table, objects, machines] = await Promise.all(['table', 'objects', 'machines'].map(async kind => startStandinProcess(kind)));
	return {tableUrl: table ?? '', objectsUrl: objects ?? '', machinesUrl: machines ?? ''};
}

export type TestNodePlace = {readonly name: string; readonly region: string; readonly zone: string};

export async function startNodeProcess(platform: TestPlatform, place: TestNodePlace, extraSettings = ''): Promise<TestNode> {
	const directory = await mkdtemp(path.join(tmpdir(), 'catkindale-test-'));
	const file = path.join(directory, 'settings.toml');
	await writeFile(file, getSettings(platform, place, extraSettings));
	const testProcess = startProcess(['node', '--settings', file]);
	const [caller, admin, metrics] = await Promise.all(['caller', 'admin', 'metrics'].map(async port =>
		testProcess.waitForOutput(new RegExp(String.raw`event=started .*\b${port}=(\S+)`, 'v'))));
	return {
		...testProcess, name: place.name, callerUrl: `http://${caller}`, adminAddress: admin ?? '', metricsUrl: `http://${metrics}`,
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
table = {address = "${platform.tableUrl}"}
objects = {address = "${platform.objectsUrl}"}
machines = {address = "${platform.machinesUrl}"}
targetHealth = {}
[secrets]
peer = "${peerSecret}"
operatorToken = "${operatorToken}"
`;
}

export type AdminResponse = {readonly status: number; readonly body: Record<string, unknown>};

export async function callAdmin(node: TestNode, method: 'GET' | 'POST', route: string, body?: string): Promise<AdminResponse> {
	const response = await request(`http://${node.adminAddress}${route}`, {
		method, body, headers: {authorization: `Bearer ${operatorToken}`},
	});
	return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
}

/** Resolves once every node has at least the given configuration version. */
export async function waitForConfigurationVersion(nodes: readonly TestNode[], version: number): Promise<void> {
	await waitUntil(async () => {
		const responses = await Promise.all(nodes.map(async node => callAdmin(node, 'GET', '/v1/status')));
		return responses.every(response => Number(response.body.configurationVersion) >= version) || undefined;
	}, `configuration version ${version} on all nodes`);
}

export type ManifestTarget = {readonly name: string; readonly address: string; readonly region: string; readonly zone: string; readonly slots: number};

/** Returns a manifest with a pricing service, one customer and one key. */
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

/** Sets the faults of the table stand-in; a fault that isn't given ends. */
export async function setTableFaults(platform: TestPlatform, faults: TableFaults): Promise<void> {
	const response = await request(`${platform.tableUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await response.body.dump();
}

/** Cuts a node off from the given peers, and from the table if `table` is set; all other connections are restored. */
export async function cutNode(node: TestNode, peers: readonly TestNode[], table: boolean): Promise<void> {
	await callAdmin(node, 'POST', '/v1/testing/cuts', JSON.stringify({peers: peers.map(({name}) => name), table}));
}

/** Resolves with the address on which the node listens for its peers. */
export async function getPeerAddress(node: TestNode): Promise<string> {
	return node.waitForOutput(/event=started .*\bpeer=(\S+)/v);
}

/** Replaces the platform's list of VMs. */
export async function setMachineList(platform: TestPlatform, live: readonly string[], leaving: readonly string[] = []): Promise<void> {
	const machines = [...live.map(id => ({id, state: 'live'})), ...leaving.map(id => ({id, state: 'leaving'}))];
	const response = await request(`${platform.machinesUrl}/machines`, {method: 'PUT', body: JSON.stringify({machines})});
	await response.body.dump();
}

/** Starts nodes that allow cuts, and waits until each counts all of them as serving members. */
export async function startFleet(platform: TestPlatform, places: readonly TestNodePlace[], timing = 'lookupHoldMilliseconds = 300'): Promise<TestNode[]> {
	const settings = `testing = {allowCuts = true}\ntiming = {${timing}}`;
	await setMachineList(platform, places.map(({name}) => name));
	const nodes = await Promise.all(places.map(async place => startNodeProcess(platform, place, settings)));
	await waitForServingMembers(nodes, nodes.length);
	return nodes;
}

/** Resolves once each node counts exactly `count` serving members, those that lookups may return. */
export async function waitForServingMembers(nodes: readonly TestNode[], count: number): Promise<void> {
	await waitUntil(async () => {
		const responses = await Promise.all(nodes.map(async node => callAdmin(node, 'GET', '/v1/status')));
		const servingCounts = responses.map(response => (response.body.members as Array<{isServing: boolean}>).filter(({isServing}) => isServing).length);
		return servingCounts.every(servingCount => servingCount === count) || undefined;
	}, `${count} serving members on all nodes`);
}

export type TestResponse = {readonly status: number; readonly reason: string | undefined};

/** Sends one request and reads the whole response; a failed connection gives status 0. */
export async function sendRequest(address: string, headers: Record<string, string> = {}): Promise<TestResponse> {
	try {
		const response = await request(address, {headers});
		const body = await response.body.json() as {reason?: string};
		return {status: response.statusCode, reason: body.reason};
	} catch {
		return {status: 0, reason: undefined};
	}
}

/** Resolves with the milliseconds until all addresses respond with the status in the same round. */
export async function waitForStatus(addresses: readonly string[], headers: Record<string, string>, status: number): Promise<number> {
	const startedAt = performance.now();
	await waitUntil(async () => {
		const responses = await Promise.all(addresses.map(async address => sendRequest(address, headers)));
		return responses.every(response => response.status === status) || undefined;
	}, `status ${status} from all addresses`);
	return performance.now() - startedAt;
}

const targetSlots = 30;

/** Starts one target of the pricing service in the region and zone of each place. */
export async function startTargets(places: readonly TestNodePlace[]): Promise<ManifestTarget[]> {
	return Promise.all(places.map(async ({region, zone}) => ({
		name: `pricing-${zone}`, address: await startStandinProcess('target', ['--slots', String(targetSlots)]), region, zone, slots: targetSlots,
	})));
}

/**
 * Applies a manifest as part of the setup and waits until all nodes have it. It accepts any result that has a version,
 * since on a slow machine the change may be committed but not yet confirmed by every region.
 */
export async function applyManifest(nodes: readonly TestNode[], manifest: string): Promise<void> {
	const applied = await callAdmin(nodes[0]!, 'POST', '/v1/configuration', manifest);
	if (typeof applied.body.version !== 'number') {
		throw new TypeError(`the manifest was not applied: ${JSON.stringify(applied.body)}`);
	}

	await waitForConfigurationVersion(nodes, applied.body.version);
}
