/** A whole region is lost: the quota that its VMs held is in use again within the stated times. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, applyManifest, endProcesses, getManifest, listMachines, sendRequest, startFleet,
	startPlatformProcesses, startTargets, waitForStatus,
} from './helpers.js';
import {readArrivals, setBehaviour} from './helpers-faults.js';

/** From the moment at which the platform's list leaves the VMs out, as docs/operations/lost-vm.md states. */
const tokensLimitMilliseconds = 12_000;
const slotsLimitMilliseconds = 30_000;
const testTimeoutMilliseconds = 90_000;
const key = 'region-loss-key';
const headers = {authorization: `Bearer ${key}`};
/** A customer whose floors lie on all six VMs. */
const rate = 300;
const burst = 60;
const usedShare = 0.9;
const windowMilliseconds = 3000;
const callersPerNode = 16;
const callerPauseMilliseconds = 100;
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
	await waitForStatus(nodes.map(node => `${node.caller}/prices/ENGM`), headers, 200);
}, testTimeoutMilliseconds);

afterAll(endProcesses);

test('the tokens and slots of a lost region are in use again within the stated times', async () => {
	const survivors = nodes.filter(({name}) => !name.startsWith('oslo'));
	const load = startLoad(survivors);
	await delay(warmUpMilliseconds);
	for (const node of nodes.filter(({name}) => name.startsWith('oslo'))) {
		node.signal('SIGKILL');
	}

	await listMachines(platform, survivors.map(({name}) => name));
	const lostAt = performance.timeOrigin + performance.now();
	const fencedAfter = await waitForRow(lostAt, members => members.every(({id, standing}) => !id.startsWith('oslo') || standing.kind !== 'live'));
	const slotsAfter = await waitForRow(lostAt, members => members.every(({id}) => !id.startsWith('oslo')));
	await load.stop();
	const arrivals = await readArrivals(targets);
	const tokensAfter = getUsedAgainAfter(arrivals.get('wideroe') ?? [], lostAt, lostAt + fencedAfter);
	console.log(`tokens in use again after ${Math.round(tokensAfter)} ms, slots after ${Math.round(slotsAfter)} ms, fenced after ${Math.round(fencedAfter)} ms`);
	expect(tokensAfter).toBeLessThanOrEqual(tokensLimitMilliseconds);
	expect(slotsAfter).toBeLessThanOrEqual(slotsLimitMilliseconds);
}, testTimeoutMilliseconds);

type RowMember = {readonly id: string; readonly standing: {readonly kind: string}};

/** The milliseconds since the loss at which the ledger's row first fulfils the condition. */
async function waitForRow(lostAt: number, isFulfilled: (members: readonly RowMember[]) => boolean): Promise<number> {
	for (;;) {
		const answer = await request(`${platform.table}/rows?key=membership/fleet`);
		const {rows} = await answer.body.json() as {rows: Array<{value: {members: RowMember[]}}>};
		const after = performance.timeOrigin + performance.now() - lostAt;
		if (isFulfilled(rows[0]?.value.members ?? []) || after > slotsLimitMilliseconds * 2) {
			return after;
		}

		await delay(pollMilliseconds);
	}
}

/** The milliseconds since the loss until requests run at the customer's rate, over the window that follows. */
function getUsedAgainAfter(times: readonly number[], lostAt: number, from: number): number {
	const wanted = rate * usedShare * windowMilliseconds / 1000;
	const last = times.at(-1) ?? 0;
	for (let start = from; start + windowMilliseconds <= last; start += pollMilliseconds) {
		const run = times.filter(time => time >= start && time < start + windowMilliseconds).length;
		if (run >= wanted) {
			return start - lostAt;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Sends more than the customer's rate to the entries until stopped. */
function startLoad(entries: readonly TestNode[]): {readonly stop: () => Promise<void>} {
	const ending = new AbortController();
	const send = async (node: TestNode): Promise<void> => {
		while (!ending.signal.aborted) {
			await sendRequest(`${node.caller}/prices/ENGM`, headers);
			await delay(callerPauseMilliseconds);
		}
	};

	const senders = entries.flatMap(node => Array.from({length: callersPerNode}, async () => send(node)));
	return {
		async stop() {
			ending.abort();
			await Promise.all(senders);
		},
	};
}
