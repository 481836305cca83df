/** Members that die, pause or come back: their share of the quotas is neither lost nor used twice. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, endProcesses, getManifest, listMachines, sendRequest, startFleet, startPlatformProcesses, startTargets,
	waitForStatus, waitUntil,
} from './helpers.js';

type RowMember = {readonly id: string; readonly incarnation: string; readonly standing: {readonly kind: 'live' | 'fenced' | 'expired'}};

const key = 'membership-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
const rate = 20;
const burst = 10;
const returnLimitMilliseconds = 15_000;
const testTimeoutMilliseconds = 60_000;
/** Longer than the silence after which a member is fenced that the list leaves out. */
const frozenMilliseconds = 8000;
/** All nodes have read a new list after this time. */
const listReadMilliseconds = 2500;
const floodPauseMilliseconds = 10;
let platform: TestPlatform;
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const targets = await startTargets(places);
	nodes = await startFleet(platform, places);
	const manifest = getManifest(regions, targets, key).replace('rate = 1000\nburst = 600', `rate = ${rate}\nburst = ${burst}`);
	await applyManifest(nodes, manifest);
	await waitForStatus(nodes.map(node => `${node.caller}/prices/ENGM`), headers, 200);
}, testTimeoutMilliseconds);

afterAll(endProcesses);

test('a node that is paused past its lease and fenced comes back without its old share', async () => {
	const [first, second, paused] = nodes as [TestNode, TestNode, TestNode];
	const flood = startFlood(nodes);
	paused.signal('SIGSTOP');
	await listMachines(platform, [first.name, second.name]);
	await waitForStanding(paused.name, 'expired');
	paused.signal('SIGCONT');
	await waitUntil(async () => {
		const members = await readMembers();
		return members.find(member => member.id === paused.name && member.incarnation.endsWith('~2') && member.standing.kind === 'live');
	}, 'the paused node is back under a new incarnation');
	const {admitted, milliseconds} = await flood.stop();
	expect(admitted).toBeLessThanOrEqual(burst + (rate * milliseconds / 1000));
	expect(admitted).toBeGreaterThan(burst);
}, testTimeoutMilliseconds);

test('an empty list of VMs takes nothing from a node that is frozen for less than its stated time', async () => {
	await listMachines(platform, nodes.map(node => node.name));
	await delay(listReadMilliseconds);
	const before = await readLiveIncarnations();
	const frozen = (nodes as [TestNode, TestNode, TestNode])[2];
	await listMachines(platform, []);
	frozen.signal('SIGSTOP');
	await delay(frozenMilliseconds);
	frozen.signal('SIGCONT');
	await waitForStatus([`${frozen.caller}/prices/ENGM`], headers, 200);
	expect(await readLiveIncarnations()).toEqual(before);
}, testTimeoutMilliseconds);

test('a killed node\'s tokens are free within a stated time once the list leaves it out', async () => {
	const [first, second, killed] = nodes as [TestNode, TestNode, TestNode];
	await listMachines(platform, nodes.map(node => node.name));
	killed.signal('SIGKILL');
	await listMachines(platform, [first.name, second.name]);
	const startedAt = performance.now();
	await waitForStanding(killed.name, 'expired');
	expect(performance.now() - startedAt).toBeLessThan(returnLimitMilliseconds);
}, testTimeoutMilliseconds);

async function readMembers(): Promise<RowMember[]> {
	const answer = await request(`${platform.table}/rows?key=membership/fleet`);
	const {rows} = await answer.body.json() as {rows: Array<{value: {members: RowMember[]}}>};
	return rows[0]?.value.members ?? [];
}

async function readLiveIncarnations(): Promise<string[]> {
	const members = await readMembers();
	return members.filter(({standing}) => standing.kind === 'live').map(({incarnation}) => incarnation);
}

/** Resolves once every incarnation of the node that isn't live has the standing. */
async function waitForStanding(id: string, kind: RowMember['standing']['kind']): Promise<void> {
	await waitUntil(async () => {
		const members = await readMembers();
		const own = members.filter(member => member.id === id);
		return own.length > 0 && own.every(member => member.standing.kind === kind) ? true : undefined;
	}, `${id} is ${kind}`);
}

type Flood = {readonly stop: () => Promise<{readonly admitted: number; readonly milliseconds: number}>};

/** Sends more than the customer's rate to every node until stopped. */
function startFlood(entries: readonly TestNode[]): Flood {
	const startedAt = performance.now();
	const ending = new AbortController();
	let admitted = 0;
	const send = async (node: TestNode): Promise<void> => {
		while (!ending.signal.aborted) {
			const answer = await sendRequest(`${node.caller}/prices/ENGM`, headers);
			admitted += answer.status === 200 ? 1 : 0;
			await delay(floodPauseMilliseconds);
		}
	};

	const senders = entries.flatMap(node => [send(node), send(node), send(node)]);
	return {
		async stop() {
			ending.abort();
			await Promise.all(senders);
			return {admitted, milliseconds: performance.now() - startedAt};
		},
	};
}
