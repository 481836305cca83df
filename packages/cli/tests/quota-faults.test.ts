/**
 * Rates and slot limits hold in real processes under load while several nodes
 * at a time are killed, paused beyond every lease or cut off. A longer run:
 * `CATKINDALE_FAULT_SEED=7 CATKINDALE_FAULT_ROUNDS=10 npx vitest run packages/cli/tests/quota-faults.test.ts`.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {hashText} from '@catkindale/common';
import type {TargetCounts} from '@catkindale/standins';
import {
	type ManifestTarget, type TestNode, type TestNodePlace, type TestPlatform, applyManifest, endProcesses, getManifest, sendRequest, startFleet, startPlatformProcesses,
	startStandinProcess, startTargets, waitForServingMembers, waitForStatus,
} from './helpers.js';
import {
	type FaultyFleet, createFaultSchedule, injectFaults, readArrivals, readTargetEndpoint, roundMilliseconds, setBehaviour,
} from './helpers-faults.js';

type LimitedCustomer = {readonly name: string; readonly key: string; readonly rate: number; readonly burst: number; readonly callersPerNode: number};

const seed = Number(process.env.CATKINDALE_FAULT_SEED ?? 1);
const rounds = Number(process.env.CATKINDALE_FAULT_ROUNDS ?? 1);
const scheduleMilliseconds = rounds * roundMilliseconds;
const setupTimeoutMilliseconds = 60_000;
/** The first customer has allocations on all nodes, the second on two. */
const customers: readonly LimitedCustomer[] = [
	{
		name: 'wideroe', key: 'quota-faults-key', rate: 300, burst: 48, callersPerNode: 24,
	},
	{
		name: 'loganair', key: 'quota-faults-small-key', rate: 20, burst: 10, callersPerNode: 4,
	},
];
const requestPauseMilliseconds = 250;
/** An admitted request reaches its target within this time. */
const dispatchLimitMilliseconds = 500;
const documentSlots = 4;
const documentServiceMilliseconds = 300;
const documentCallersPerNode = 4;
/** More than the nodes may ever use, so that the stand-in counts requests above the limit instead of shedding them. */
const standinSlots = 1000;
const regions = {oslo: ['oslo-a'], bergen: ['bergen-a'], tromso: ['tromso-a']};
const places: TestNodePlace[] = Object.keys(regions).flatMap(region => [1, 2].map(index => ({name: `${region}-${index}`, region, zone: `${region}-a`})));
/** With leases of 1.5 s, the quota of a lost node is in use again within the run. */
const timing = 'lookupHoldMilliseconds = 300, freshnessLimitMilliseconds = 1500, pauseLimitMilliseconds = 1200, heartbeatMilliseconds = 250, tablePollMilliseconds = 250';
let platform: TestPlatform;
let fleet: FaultyFleet;
let priceTargets: ManifestTarget[] = [];
let documentTargets: ManifestTarget[] = [];

beforeAll(async () => {
	platform = await startPlatformProcesses();
	priceTargets = await startTargets(places.filter(({name}) => name.endsWith('1')));
	documentTargets = await startDocumentTargets();
	await Promise.all(priceTargets.map(async target => setBehaviour(target, {isLogging: true})));
	const nodes = await startFleet(platform, places, timing);
	await applyManifest(nodes, getLimitedManifest());
	fleet = {
		platform, places, nodes: new Map(nodes.map(node => [node.name, node])), settings: `testing = {allowCuts = true}\ntiming = {${timing}}`,
	};
	await waitForStatus(nodes.map(node => `${node.callerUrl}/prices/ENGM`), getHeaders(customers[0]!), 200);
}, setupTimeoutMilliseconds);

afterAll(endProcesses);

test(`no limit is exceeded under the faults of seed ${seed}`, async () => {
	const load = startLoad();
	const faults = createFaultSchedule(seed, places.map(({name}) => name), rounds);
	await Promise.all([injectFaults(fleet, faults), delay(scheduleMilliseconds)]);
	await load.stop();

	const arrivals = await readArrivals(priceTargets);
	for (const customer of customers) {
		const times = arrivals.get(customer.name) ?? [];
		expect(times.length, `requests of ${customer.name} that reached a target`).toBeGreaterThan(customer.burst);
		expect(getMaximumExcess(times, customer.rate), `requests of ${customer.name} above its rate in any window`)
			.toBeLessThanOrEqual(customer.burst + (customer.rate * dispatchLimitMilliseconds / 1000));
	}

	const counts = await Promise.all(documentTargets.map(async target => readTargetEndpoint<TargetCounts>(target, '/counts')));
	for (const {mostInFlight, received} of counts) {
		expect(received).toBeGreaterThan(0);
		expect(mostInFlight).toBeLessThanOrEqual(documentSlots);
	}

	await waitForServingMembers([...fleet.nodes.values()], places.length);
}, scheduleMilliseconds + setupTimeoutMilliseconds);

/** Returns the maximum over all windows of the number of requests minus the rate times the window's length. */
function getMaximumExcess(times: readonly number[], rate: number): number {
	let maximum = 0;
	let excess = 0;
	let previous = times[0] ?? 0;
	for (const time of times) {
		excess = Math.max(0, excess - (rate * (time - previous) / 1000)) + 1;
		previous = time;
		maximum = Math.max(maximum, excess);
	}

	return maximum;
}

/** Sends more requests than the limits allow to every node until stopped, also while the node is down. */
function startLoad(): {readonly stop: () => Promise<void>} {
	const loadStop = new AbortController();
	const send = async (name: string, route: string, headers: Record<string, string>): Promise<void> => {
		while (!loadStop.signal.aborted) {
			await sendRequest(`${fleet.nodes.get(name)!.callerUrl}${route}`, headers);
			await delay(requestPauseMilliseconds);
		}
	};

	const requestLoops = places.flatMap(({name}) => [
		...customers.flatMap(customer => repeat(customer.callersPerNode, async () => send(name, '/prices/ENGM', getHeaders(customer)))),
		...repeat(documentCallersPerNode, async () => send(name, '/certificates', {})),
	]);
	return {
		async stop() {
			loadStop.abort();
			await Promise.all(requestLoops);
		},
	};
}

function repeat<Value>(count: number, create: () => Value): Value[] {
	return Array.from({length: count}, create);
}

function getHeaders(customer: LimitedCustomer): Record<string, string> {
	return {authorization: `Bearer ${customer.key}`};
}

async function startDocumentTargets(): Promise<ManifestTarget[]> {
	const parameters = ['--slots', String(standinSlots), '--service-milliseconds', String(documentServiceMilliseconds)];
	return Promise.all(Object.keys(regions).map(async region => ({
		name: `documents-${region}`, address: await startStandinProcess('target', parameters), region, zone: `${region}-a`, slots: documentSlots,
	})));
}

function getLimitedManifest(): string {
	const [first, second] = customers as [LimitedCustomer, LimitedCustomer];
	const documents = documentTargets.map(target => `[[targets]]
name = "${target.name}"
service = "documents"
version = "1"
region = "${target.region}"
zone = "${target.zone}"
address = "${target.address.replace('http://', '')}"
slots = ${target.slots}`);
	return `${getManifest(regions, priceTargets, first.key).replace('rate = 1000\nburst = 600', `rate = ${first.rate}\nburst = ${first.burst}`)}
[[customers]]
name = "${second.name}"
rate = ${second.rate}
burst = ${second.burst}
[[keys]]
customer = "${second.name}"
hash = "${hashText(second.key)}"
[[services]]
name = "documents"
version = "1"
[[routes]]
service = "documents"
method = "GET"
path = "/certificates"
idempotent = true
open = true
${documents.join('\n')}
`;
}
