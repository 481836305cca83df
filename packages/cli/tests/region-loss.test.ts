/** The quota of the nodes of a lost region is in use again within the documented times. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, applyManifest, endProcesses, getManifest, sendRequest, setMachineList, startFleet,
	startPlatformProcesses, startTargets, waitForStatus,
} from './helpers.js';
import {readArrivals, setBehaviour} from './helpers-faults.js';

/** Both limits count from the time at which the platform's machine list omits the VMs, as documented in docs/operations/lost-vm.md. */
const tokensLimitMilliseconds = 12_000;
const slotsLimitMilliseconds = 30_000;
const testTimeoutMilliseconds = 90_000;
const key = 'region-loss-key';
const headers = {authorization: `Bearer ${key}`};
/** At this rate and burst, the customer has allocations on all six nodes. */
const rate = 300;
const burst = 60;
const requiredFraction = 0.9;
const windowMilliseconds = 3000;
const callersPerNode = 16;
const requestPauseMilliseconds = 100;
const warmUpMilliseconds = 2000;
const pollMilliseconds = 100;
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places: TestNodePlace[] = Object.keys(regions).flatMap(region => [1, 2].map(index => ({name: `${region}-${index}`, region, zone: `${region}-a`})));
let platform: TestPlatform;
let targets: ManifestTarget[] = [];
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	targets = await startTargets(places.filter(({name}) => name.endsWith('1')));
	await Promise.all(targets.map(async target => setBehaviour(target, {isLogging: true})));
	nodes = await startFleet(platform, places);
	const manifest = getManifest(regions, targets, key)
		.replace('rate = 1000\nburst = 600', `rate = ${rate}\nburst = ${burst}`)
		.replace('deadlineMilliseconds = 60000', 'deadlineMilliseconds = 10000');
	await applyManifest(nodes, manifest);
	await waitForStatus(nodes.map(node => `${node.callerUrl}/prices/ENGM`), headers, 200);
}, testTimeoutMilliseconds);

afterAll(endProcesses);

test('the tokens and slots of a lost region are in use again within the documented times', async () => {
	const survivors = nodes.filter(({name}) => !name.startsWith('oslo'));
	const load = startLoad(survivors);
	await delay(warmUpMilliseconds);
	for (const node of nodes.filter(({name}) => name.startsWith('oslo'))) {
		node.sendSignal('SIGKILL');
	}

	await setMachineList(platform, survivors.map(({name}) => name));
	const lostAt = performance.timeOrigin + performance.now();
	const fencedAfterMilliseconds = await waitForMembers(lostAt, members => members.every(({id, standing}) => !id.startsWith('oslo') || standing.kind !== 'live'));
	const slotsAfterMilliseconds = await waitForMembers(lostAt, members => members.every(({id}) => !id.startsWith('oslo')));
	await load.stop();
	const arrivals = await readArrivals(targets);
	const tokensAfterMilliseconds = getTokenRecoveryMilliseconds(arrivals.get('wideroe') ?? [], lostAt, lostAt + fencedAfterMilliseconds);
	console.log(`tokens in use again after ${Math.round(tokensAfterMilliseconds)} ms, slots after ${Math.round(slotsAfterMilliseconds)} ms, fenced after ${Math.round(fencedAfterMilliseconds)} ms`);
	expect(tokensAfterMilliseconds).toBeLessThanOrEqual(tokensLimitMilliseconds);
	expect(slotsAfterMilliseconds).toBeLessThanOrEqual(slotsLimitMilliseconds);
}, testTimeoutMilliseconds);

type RowMember = {readonly id: string; readonly standing: {readonly kind: string}};

/** Resolves with the milliseconds from the loss until the members in the ledger's row satisfy the condition. */
async function waitForMembers(lostAt: number, isSatisfied: (members: readonly RowMember[]) => boolean): Promise<number> {
	for (;;) {
		const response = await request(`${platform.tableUrl}/rows?key=membership/fleet`);
		const {rows} = await response.body.json() as {rows: Array<{value: {members: RowMember[]}}>};
		const elapsedMilliseconds = performance.timeOrigin + performance.now() - lostAt;
		if (isSatisfied(rows[0]?.value.members ?? []) || elapsedMilliseconds > slotsLimitMilliseconds * 2) {
			return elapsedMilliseconds;
		}

		await delay(pollMilliseconds);
	}
}

/** Returns the milliseconds from the loss to the first window in which requests run at nearly the customer's rate. */
function getTokenRecoveryMilliseconds(times: readonly number[], lostAt: number, from: number): number {
	const requiredRequests = rate * requiredFraction * windowMilliseconds / 1000;
	const last = times.at(-1) ?? 0;
	for (let start = from; start + windowMilliseconds <= last; start += pollMilliseconds) {
		const requestsInWindow = times.filter(time => time >= start && time < start + windowMilliseconds).length;
		if (requestsInWindow >= requiredRequests) {
			return start - lostAt;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Sends requests above the customer's rate to the gateways until stopped. */
function startLoad(gateways: readonly TestNode[]): {readonly stop: () => Promise<void>} {
	const loadStop = new AbortController();
	const send = async (node: TestNode): Promise<void> => {
		while (!loadStop.signal.aborted) {
			await sendRequest(`${node.callerUrl}/prices/ENGM`, headers);
			await delay(requestPauseMilliseconds);
		}
	};

	const requestLoops = gateways.flatMap(node => Array.from({length: callersPerNode}, async () => send(node)));
	return {
		async stop() {
			loadStop.abort();
			await Promise.all(requestLoops);
		},
	};
}
