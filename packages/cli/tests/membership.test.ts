/** Members that are killed, paused or come back: their allocation of the quotas is neither lost nor used twice. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {request} from 'undici';
import {
	type TestNode, type TestPlatform, applyManifest, endProcesses, getManifest, sendRequest, setMachineList, startFleet, startPlatformProcesses, startTargets,
	waitForStatus, waitUntil,
} from './helpers.js';

type RowMember = {readonly id: string; readonly incarnation: string; readonly standing: {readonly kind: 'live' | 'fenced' | 'expired'}};

const key = 'membership-key';
const headers = {authorization: `Bearer ${key}`};
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places = Object.keys(regions).map(region => ({name: `${region}-1`, region, zone: `${region}-a`}));
const rate = 20;
const burst = 10;
const expiryLimitMilliseconds = 15_000;
const testTimeoutMilliseconds = 60_000;
/** Longer than the time after which an unresponsive member is fenced if the machine list omits it. */
const pauseMilliseconds = 8000;
/** All nodes have read a new machine list after this time. */
const listPropagationMilliseconds = 2500;
const requestPauseMilliseconds = 10;
let platform: TestPlatform;
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	const targets = await startTargets(places);
	nodes = await startFleet(platform, places);
	const manifest = getManifest(regions, targets, key).replace('rate = 1000\nburst = 600', `rate = ${rate}\nburst = ${burst}`);
	await applyManifest(nodes, manifest);
	await waitForStatus(nodes.map(node => `${node.callerUrl}/prices/ENGM`), headers, 200);
}, testTimeoutMilliseconds);

afterAll(endProcesses);

test('a node that is paused beyond its lease and fenced comes back without its old allocation', async () => {
	const [first, second, pausedNode] = nodes as [TestNode, TestNode, TestNode];
	const load = startLoad(nodes);
	pausedNode.sendSignal('SIGSTOP');
	await setMachineList(platform, [first.name, second.name]);
	await waitForStanding(pausedNode.name, 'expired');
	pausedNode.sendSignal('SIGCONT');
	await waitUntil(async () => {
		const members = await readMembers();
		return members.find(member => member.id === pausedNode.name && member.incarnation.endsWith('~2') && member.standing.kind === 'live');
	}, 'the paused node under a new incarnation');
	const {admitted, milliseconds} = await load.stop();
	expect(admitted).toBeLessThanOrEqual(burst + (rate * milliseconds / 1000));
	expect(admitted).toBeGreaterThan(burst);
}, testTimeoutMilliseconds);

test('an empty list of VMs doesn\'t fence a node that is paused for less than the documented time', async () => {
	await setMachineList(platform, nodes.map(node => node.name));
	await delay(listPropagationMilliseconds);
	const incarnationsBefore = await readLiveIncarnations();
	const pausedNode = (nodes as [TestNode, TestNode, TestNode])[2];
	await setMachineList(platform, []);
	pausedNode.sendSignal('SIGSTOP');
	await delay(pauseMilliseconds);
	pausedNode.sendSignal('SIGCONT');
	await waitForStatus([`${pausedNode.callerUrl}/prices/ENGM`], headers, 200);
	expect(await readLiveIncarnations()).toEqual(incarnationsBefore);
}, testTimeoutMilliseconds);

test('a killed node\'s tokens are free within the documented time once the machine list omits it', async () => {
	const [first, second, killedNode] = nodes as [TestNode, TestNode, TestNode];
	await setMachineList(platform, nodes.map(node => node.name));
	killedNode.sendSignal('SIGKILL');
	await setMachineList(platform, [first.name, second.name]);
	const startedAt = performance.now();
	await waitForStanding(killedNode.name, 'expired');
	expect(performance.now() - startedAt).toBeLessThan(expiryLimitMilliseconds);
}, testTimeoutMilliseconds);

async function readMembers(): Promise<RowMember[]> {
	const response = await request(`${platform.tableUrl}/rows?key=membership/fleet`);
	const {rows} = await response.body.json() as {rows: Array<{value: {members: RowMember[]}}>};
	return rows[0]?.value.members ?? [];
}

async function readLiveIncarnations(): Promise<string[]> {
	const members = await readMembers();
	return members.filter(({standing}) => standing.kind === 'live').map(({incarnation}) => incarnation);
}

/** Resolves once the table lists the node and all its incarnations have the standing. */
async function waitForStanding(id: string, kind: RowMember['standing']['kind']): Promise<void> {
	await waitUntil(async () => {
		const members = await readMembers();
		const incarnations = members.filter(member => member.id === id);
		return incarnations.length > 0 && incarnations.every(member => member.standing.kind === kind) ? true : undefined;
	}, `${id} is ${kind}`);
}

type Load = {readonly stop: () => Promise<{readonly admitted: number; readonly milliseconds: number}>};

/** Sends more than the customer's rate to every node until stopped. */
function startLoad(gateways: readonly TestNode[]): Load {
	const startedAt = performance.now();
	const loadStop = new AbortController();
	let admitted = 0;
	const send = async (node: TestNode): Promise<void> => {
		while (!loadStop.signal.aborted) {
			const response = await sendRequest(`${node.callerUrl}/prices/ENGM`, headers);
			admitted += response.status === 200 ? 1 : 0;
			await delay(requestPauseMilliseconds);
		}
	};

	const requestLoops = gateways.flatMap(node => [send(node), send(node), send(node)]);
	return {
		async stop() {
			loadStop.abort();
			await Promise.all(requestLoops);
			return {admitted, milliseconds: performance.now() - startedAt};
		},
	};
}
