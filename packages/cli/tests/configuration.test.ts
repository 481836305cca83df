/** Accepted changes: in force everywhere within seconds, never going back, and truly told. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from 'vitest';
import {
	type AdminReply, type TestNode, type TestPlatform, callAdmin, cutNode, endProcesses, getManifest, getPeerAddress, listMachines, setTableFaults, startFleet,
	startNodeProcess, startPlatformProcesses, waitForServing, waitForVersion, waitUntil,
} from './helpers.js';

const forceLimitMilliseconds = 3000;
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const manifest = getManifest(regions, [], 'configuration-key');
const places = [
	{name: 'oslo-1', region: 'oslo', zone: 'oslo-a'},
	{name: 'oslo-2', region: 'oslo', zone: 'oslo-a'},
	{name: 'bergen-1', region: 'bergen', zone: 'bergen-a'},
	{name: 'tromso-1', region: 'tromso', zone: 'tromso-a'},
];
let platform: TestPlatform;
let nodes: TestNode[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	nodes = await startFleet(platform, places);
});

beforeEach(async () => {
	await setTableFaults(platform, {});
	await Promise.all(nodes.map(async node => cutNode(node, [], false)));
	await waitForServing(nodes, nodes.length);
});

afterAll(endProcesses);

describe('an accepted change', () => {
	test('is in force on every node within 3 s, and the answer says so for each region', async () => {
		const startedAt = performance.now();
		const applied = await apply(nodes[0]!);
		expect(applied).toMatchObject({status: 200, body: {result: 'accepted'}});
		expect(applied.body.regions).toEqual(['bergen', 'oslo', 'tromso'].map(region => ({region, state: 'in force', missing: []})));
		await waitForVersion(nodes, Number(applied.body.version));
		expect(performance.now() - startedAt).toBeLessThan(forceLimitMilliseconds);
	});

	test.each([
		{name: 'the table is slow', faults: {delayMilliseconds: 700}},
		{name: 'a third of its answers is lost', faults: {lostAnswerShare: 0.33}},
	])('happens once and is told truly while $name', async ({faults}) => {
		const before = await getVersion(nodes[0]!);
		await setTableFaults(platform, faults);
		const applied = await apply(nodes[0]!);
		expect(applied).toMatchObject({status: 200, body: {result: 'accepted', version: before + 1}});
	});

	test('whose answers are all lost is resolved once the table answers again', async () => {
		const before = await getVersion(nodes[0]!);
		await setTableFaults(platform, {lostAnswerShare: 1});
		const applying = apply(nodes[0]!);
		await delay(1000);
		await setTableFaults(platform, {});
		expect(await applying).toMatchObject({status: 200, body: {result: 'accepted', version: before + 1}});
	});

	test('that can\'t be resolved is told as unknown, and status shows whether it took effect', async () => {
		await setTableFaults(platform, {lostAnswerShare: 1});
		const applied = await apply(nodes[0]!);
		expect(applied).toMatchObject({status: 504, body: {result: 'unknown'}});
		await setTableFaults(platform, {});
		await waitUntil(async () => {
			const status = await callAdmin(nodes[1]!, 'GET', '/v1/status');
			return (status.body.changes as Array<{changeId: string}>).some(({changeId}) => changeId === applied.body.changeId) || undefined;
		}, 'the change in the history');
	});

	test('wins alone when two operators apply at the same version, and the other is told by whom', async () => {
		const version = await getVersion(nodes[0]!);
		const authors = ['anna', 'bjarne'];
		const replies = await Promise.all(authors.map(async (author, index) => apply(nodes[index + 1]!, `?if-version=${version}&author=${author}`)));
		const winner = replies.findIndex(reply => reply.body.result === 'accepted');
		expect(replies.map(reply => reply.status).toSorted((left, right) => left - right)).toEqual([200, 409]);
		expect(replies[1 - winner]?.body.winner).toMatchObject({author: authors[winner], version: version + 1, changeId: replies[winner]?.body.changeId});
	});
});

test('a change reaches a node that is cut off from its author and the table through the others within 3 s', async () => {
	const author = nodes[0]!;
	const far = nodes[3]!;
	await cutNode(far, [author], true);
	await cutNode(author, [far], false);
	const startedAt = performance.now();
	const applied = await apply(author);
	await waitForVersion([far], Number(applied.body.version));
	expect(performance.now() - startedAt).toBeLessThan(forceLimitMilliseconds);
});

describe('a change made where it can\'t spread', () => {
	test('is told as committed, not as accepted, and spreads once the cut ends', async () => {
		const inside = nodes.slice(0, 2);
		const outside = nodes.slice(2);
		await cutRegion(inside, outside, outside);
		const applied = await apply(inside[0]!);
		expect(applied).toMatchObject({status: 202, body: {result: 'committed'}});
		expect(applied.body.detail).toContain('not in force in bergen, tromso');
		await cutRegion(inside, outside, []);
		await waitForVersion(nodes, Number(applied.body.version));
	});
});

describe('the version of a node', () => {
	test('never goes back through an outage, cuts and restarts', async () => {
		const highest = new Map<string, number>();
		const regressions: string[] = [];
		const watcher = new AbortController();
		const watch = async (): Promise<void> => {
			while (!watcher.signal.aborted) {
				for (const node of nodes) {
					const version = await getVersion(node).catch(() => undefined);
					if (version !== undefined && version > 0) {
						const before = highest.get(node.name) ?? 0;
						if (version < before) {
							regressions.push(`${node.name} from ${before} to ${version}`);
						}

						highest.set(node.name, Math.max(before, version));
					}
				}
			}
		};

		const watching = watch();
		await apply(nodes[0]!);
		await cutNode(nodes[3]!, nodes.slice(0, 3), true);
		await apply(nodes[1]!);
		await setTableFaults(platform, {outage: true});
		await restartNode(2);
		await cutNode(nodes[3]!, [], false);
		await waitForServing(nodes.slice(0, 2), 4);
		const expected = await getVersion(nodes[0]!);
		await waitForVersion(nodes, expected);
		await setTableFaults(platform, {});
		await restartNode(0);
		await waitForVersion(nodes, expected);
		watcher.abort();
		await watching;
		expect(regressions).toEqual([]);
		expect(await getVersion(nodes[2]!)).toBe(expected);
	});
});

async function apply(node: TestNode, query = ''): Promise<AdminReply> {
	return callAdmin(node, 'POST', `/v1/configuration${query}`, manifest);
}

async function getVersion(node: TestNode): Promise<number> {
	const status = await callAdmin(node, 'GET', '/v1/status');
	return Number(status.body.configurationVersion);
}

/** Cuts the inside from the outside on both ends; the table stays with the inside. */
async function cutRegion(inside: readonly TestNode[], outside: readonly TestNode[], cut: readonly TestNode[]): Promise<void> {
	const isCut = cut.length > 0;
	await Promise.all([
		...inside.map(async node => cutNode(node, cut, false)),
		...outside.map(async node => cutNode(node, isCut ? inside : [], isCut)),
	]);
}

/** Kills a node and starts it anew under its name; it knows the peers' addresses from its settings. */
async function restartNode(index: number): Promise<void> {
	const others = nodes.filter((_, other) => other !== index);
	const peers = await Promise.all(others.map(async node => getPeerAddress(node)));
	nodes[index]!.signal('SIGKILL');
	await nodes[index]!.exit();
	const settings = `peers = ${JSON.stringify(peers)}\ntesting = {allowCuts = true}`;
	nodes[index] = await startNodeProcess(platform, places[index]!, settings);
}

test('the first node of a fleet that starts doesn\'t call a change accepted by itself', async () => {
	const starting = await startPlatformProcesses();
	await listMachines(starting, places.map(({name}) => name));
	const first = await startNodeProcess(starting, places[0]!);
	expect(await apply(first)).toMatchObject({status: 202, body: {result: 'committed', version: 1}});
	const rest = await Promise.all(places.slice(1).map(async place => startNodeProcess(starting, place)));
	await waitForServing([first, ...rest], places.length);
	expect(await apply(first)).toMatchObject({status: 200, body: {result: 'accepted', version: 2}});
});
