/**
 * Wrongful refusals: requests that one ideal bucket for the whole fleet would
 * have admitted and the nodes refused. Simulated time, the product's own quota
 * code on every node, the latencies of both deployments; beside it a static
 * equal split and the product without borrowing, on the same arrivals.
 */
import {
	type Random, createManualClock, createRandom, millisecondsPerSecond,
} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {type NodeMessage, type NodeQuotas, createNodeQuotas} from '@catkindale/node';
import {
	type Customer, type CustomerQuota, type Ledger, configurationSchema, createCustomerQuota, fillCustomerQuota, getCustomerMembers, joinLedger, setTokenAllocation, takeCustomerToken,
} from '@catkindale/policy';
import {type Bench, registerBench} from './bench-registry.js';
import {type World, createWorld} from './verification-quota-world.js';

type Deployment = {readonly name: string; readonly regions: readonly string[]; readonly regionMilliseconds: number};

type Scenario = {
	readonly name: string;
	readonly customer: Customer;
	/** The index of the node that gets each request. */
	readonly pickNode: (random: Random, now: number) => number;
};

type Method = {readonly name: string; readonly isBorrowing: boolean; readonly isStatic: boolean};

type Outcome = {requests: number; ideal: number; wrongful: number; refused: number; waited: number[]};

const nodesPerRegion = 4;
const zoneMilliseconds = 0.5;
const load = 0.9;
/** Reports of the ledger matter only until the shares stand. */
const startMilliseconds = 3000;
const tickMilliseconds = 250;
const warmUpMilliseconds = 30_000;
const measuredRequests = 10_000;
const wrongfulTarget = 1 / 1000;

const deployments: readonly Deployment[] = [
	{name: 'fjordvik', regions: ['oslo', 'bergen', 'tromso'], regionMilliseconds: 12},
	{name: 'mahlzeit', regions: ['ost', 'sued', 'west'], regionMilliseconds: 55},
];

const methods: readonly Method[] = [
	{name: 'floors and loans', isBorrowing: true, isStatic: false},
	{name: 'floors without loans', isBorrowing: false, isStatic: false},
	{name: 'static equal split', isBorrowing: false, isStatic: true},
];

const nodeCount = 12;
const regionNodeCount = 4;

const scenarios: readonly Scenario[] = [
	{
		name: 'all callers in one region', customer: {name: 'kiel', rate: 50, burst: 100}, pickNode: random => random.integer(0, regionNodeCount - 1),
	},
	{
		name: 'burst of 5, one region', customer: {name: 'school', rate: 5, burst: 5}, pickNode: random => random.integer(0, regionNodeCount - 1),
	},
	{
		name: 'burst of 5, all regions', customer: {name: 'school', rate: 5, burst: 5}, pickNode: random => random.integer(0, nodeCount - 1),
	},
	{
		name: 'region changes each minute', customer: {name: 'kiel', rate: 50, burst: 100},
		pickNode: (random, now) => ((Math.floor(now / 60_000) % 3) * regionNodeCount) + random.integer(0, regionNodeCount - 1),
	},
];

const bench: Bench = {
	name: 'quotas',
	describe: 'wrongful refusals at 90% of the rate, beside a static split and an ideal bucket',
	async run({seed, print}) {
		print(`load ${load} of the rate, Poisson arrivals, ${measuredRequests} requests, ${nodeCount} nodes, seed ${seed}`);
		print('deployment  scenario                    method                requests  ideal-refused  refused  wrongful  per 1000   wait p50/p99/max ms');
		let isOnTarget = true;
		for (const deployment of deployments) {
			for (const scenario of scenarios) {
				for (const method of methods) {
					const outcome = await runScenario({
						deployment, scenario, method, seed,
					});
					isOnTarget &&= method.isStatic || !method.isBorrowing || outcome.wrongful / outcome.requests < wrongfulTarget;
					print(formatOutcome(deployment, scenario, {method, outcome}));
				}
			}
		}

		return isOnTarget;
	},
};

registerBench(bench);

type Run = {readonly deployment: Deployment; readonly scenario: Scenario; readonly method: Method; readonly seed: number};

async function runScenario({deployment, scenario, method, seed}: Run): Promise<Outcome> {
	const random = createRandom(seed);
	const world = createWorld(createRandom(seed + 1));
	const nodes = createFleet(world, deployment, {customer: scenario.customer, method});
	const entries = getEntries(nodes, scenario, method);
	const outcome: Outcome = {
		requests: 0, ideal: 0, wrongful: 0, refused: 0, waited: [],
	};
	const {rate, burst} = scenario.customer;
	let judge: CustomerQuota = {...setTokenAllocation(createCustomerQuota(0), {rate, burst}, 0), tokens: burst};
	const statics = nodes.map(() => setTokenAllocation(createCustomerQuota(0), {rate: rate / nodeCount, burst: burst / nodeCount}, 0));

	const admitStatic = (index: number): boolean => {
		const filled = fillCustomerQuota(statics[index]!, world.now());
		const taken = takeCustomerToken(filled);
		statics[index] = taken ?? filled;
		return taken !== undefined;
	};

	const arrive = async (): Promise<void> => {
		const arrivedAt = world.now();
		const isMeasured = arrivedAt >= warmUpMilliseconds;
		judge = fillCustomerQuota(judge, arrivedAt);
		const byJudge = takeCustomerToken(judge);
		judge = byJudge ?? judge;
		const index = entries[scenario.pickNode(random, arrivedAt)]!;
		const isAdmitted = method.isStatic ? admitStatic(index) : await admitAtNode(nodes[index]!, scenario.customer);
		if (isMeasured) {
			outcome.requests += 1;
			outcome.ideal += byJudge ? 0 : 1;
			outcome.refused += isAdmitted ? 0 : 1;
			outcome.wrongful += byJudge && !isAdmitted ? 1 : 0;
			outcome.waited.push(world.now() - arrivedAt);
		}
	};

	const arriveLater = (): void => {
		const gap = -Math.log(1 - random.fraction()) / (rate * load) * millisecondsPerSecond;
		world.after(gap, () => {
			void arrive();
			arriveLater();
		});
	};

	arriveLater();
	await world.runUntil(warmUpMilliseconds + (measuredRequests / (rate * load) * millisecondsPerSecond));
	return outcome;
}

async function admitAtNode(node: BenchNode, customer: Customer): Promise<boolean> {
	const admission = await node.quotas.requests.admitOrWait(customer.name);
	return admission.kind === 'admitted';
}

type BenchNode = {readonly id: string; readonly region: string; readonly quotas: NodeQuotas; readonly receive: (from: string, message: Extract<NodeMessage, {type: 'peer-send'}>['message']) => void};

/** Which node each position of a scenario stands for: callers use the members that look-ups name, nearest first. */
function getEntries(nodes: readonly BenchNode[], scenario: Scenario, method: Method): number[] {
	const positions = nodes.map((_, index) => index);
	if (method.isStatic) {
		return positions;
	}

	const members = getCustomerMembers(scenario.customer, nodes);
	return nodes.map((node, index) => {
		const local = members.filter(member => member.region === node.region);
		const chosen = local.length > 0 ? local : members;
		return nodes.indexOf(chosen[index % chosen.length]!);
	});
}

type FleetParts = {readonly customer: Customer; readonly method: Method};

function createFleet(world: World, deployment: Deployment, {customer, method}: FleetParts): BenchNode[] {
	const nodes: BenchNode[] = [];
	const byId = new Map<string, BenchNode>();
	const places = deployment.regions.flatMap(region => Array.from({length: nodesPerRegion}, (_, index) => ({region, zone: `${region}-${index % 2}`, id: `${region}-${index + 1}`})));
	for (const {id, region, zone} of places) {
		const bus = createMessageBus<NodeMessage>();
		const quotas = createNodeQuotas({
			ownId: id,
			region,
			zone,
			incarnation: id,
			clock: {...createManualClock(), monotonic: world.now, wall: world.now},
			bus,
			leaseMilliseconds: 5000,
			pauseLimitMilliseconds: 2000,
			isBorrowing: method.isBorrowing,
			schedule(run, milliseconds) {
				let isWanted = true;
				world.after(milliseconds, () => {
					if (isWanted) {
						run();
					}
				});
				return () => {
					isWanted = false;
				};
			},
		});
		const node: BenchNode = {
			id,
			region,
			quotas,
			receive(from, message) {
				bus.publish({type: 'peer-received', from, message});
			},
		};
		bus.subscribe('peer-send', ({to, message}) => {
			const receiver = byId.get(to);
			const delay = receiver?.region === region ? zoneMilliseconds : deployment.regionMilliseconds;
			world.after(delay, () => {
				receiver?.receive(id, message);
			});
		});
		nodes.push(node);
		byId.set(id, node);
		bus.publish({
			type: 'configuration-changed', version: 1, configuration: configurationSchema.parse({regions: [{name: region, zones: [zone]}], customers: [customer]}),
		});
	}

	startFleet(world, nodes, places);
	return nodes;
}

function startFleet(world: World, nodes: readonly BenchNode[], places: ReadonlyArray<{readonly id: string; readonly region: string; readonly zone: string}>): void {
	let ledger: Ledger = {epoch: 0, members: []};
	for (const {id, region, zone} of places) {
		ledger = joinLedger(ledger, {
			id, incarnation: id, region, zone, callerAddress: '', peerAddress: '', state: 'live',
		});
	}

	for (const node of nodes) {
		const tick = (): void => {
			node.quotas.ledger.applyLedger(ledger, world.now());
			if (world.now() < startMilliseconds) {
				node.quotas.ledger.tick(true);
			} else {
				node.quotas.requests.tick();
			}

			world.after(tickMilliseconds, tick);
		};

		world.after(0, tick);
	}
}

type Line = {readonly method: Method; readonly outcome: Outcome};

function formatOutcome(deployment: Deployment, scenario: Scenario, {method, outcome}: Line): string {
	const waited = outcome.waited.toSorted((left, right) => left - right);
	const getQuantile = (share: number): string => (waited[Math.min(waited.length - 1, Math.floor(waited.length * share))] ?? 0).toFixed(1);
	return [
		deployment.name.padEnd(11),
		scenario.name.padEnd(27),
		method.name.padEnd(21),
		String(outcome.requests).padStart(8),
		String(outcome.ideal).padStart(14),
		String(outcome.refused).padStart(8),
		String(outcome.wrongful).padStart(9),
		(outcome.wrongful / outcome.requests * 1000).toFixed(2).padStart(9),
		`  ${getQuantile(0.5)}/${getQuantile(0.99)}/${getQuantile(1)}`,
	].join(' ');
}
