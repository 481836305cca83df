/**
 * Counts wrongful refusals: requests that a node refuses although one ideal
 * token bucket for the whole fleet admits them. The nodes run the product's own
 * quota code in simulated time with the latencies of both deployments. The
 * baselines are a static equal split and the product without borrowing, with
 * the same arrivals.
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

type Deployment = {readonly name: string; readonly regions: readonly string[]; readonly regionLatencyMilliseconds: number};

type Scenario = {
	readonly name: string;
	readonly customer: Customer;
	/** Draws the index of the node that receives a request. */
	readonly drawNode: (random: Random, now: number) => number;
};

type Method = {readonly name: string; readonly isBorrowing: boolean; readonly isStatic: boolean};

type Outcome = {requests: number; idealRefused: number; wrongful: number; refused: number; waitMilliseconds: number[]};

const nodesPerRegion = 4;
const zoneLatencyMilliseconds = 0.5;
const loadFraction = 0.9;
/** Nodes send ledger reports only until this time; the allocations are settled by then and don't change afterwards. */
const ledgerTickEndMilliseconds = 3000;
const tickMilliseconds = 250;
const warmUpMilliseconds = 30_000;
const measuredRequestCount = 10_000;
const maximumWrongfulFraction = 1 / 1000;

const deployments: readonly Deployment[] = [
	{name: 'fjordvik', regions: ['oslo', 'bergen', 'tromso'], regionLatencyMilliseconds: 12},
	{name: 'mahlzeit', regions: ['ost', 'sued', 'west'], regionLatencyMilliseconds: 55},
];

const methods: readonly Method[] = [
	{name: 'allocations + loans', isBorrowing: true, isStatic: false},
	{name: 'allocations alone', isBorrowing: false, isStatic: false},
	{name: 'static equal split', isBorrowing: false, isStatic: true},
];

const nodeCount = 12;
const regionNodeCount = 4;

const scenarios: readonly Scenario[] = [
	{
		name: 'all callers in one region', customer: {name: 'kiel', rate: 50, burst: 100}, drawNode: random => random.integer(0, regionNodeCount - 1),
	},
	{
		name: 'burst of 5, one region', customer: {name: 'school', rate: 5, burst: 5}, drawNode: random => random.integer(0, regionNodeCount - 1),
	},
	{
		name: 'burst of 5, all regions', customer: {name: 'school', rate: 5, burst: 5}, drawNode: random => random.integer(0, nodeCount - 1),
	},
	{
		name: 'region changes each minute', customer: {name: 'kiel', rate: 50, burst: 100},
		drawNode: (random, now) => ((Math.floor(now / 60_000) % 3) * regionNodeCount) + random.integer(0, regionNodeCount - 1),
	},
];

const bench: Bench = {
	name: 'quotas',
	describe: 'wrongful refusals at 90% of the rate, compared with a static split and an ideal bucket',
	async run({seed, print}) {
		print(`load ${loadFraction} of the rate, Poisson arrivals, ${measuredRequestCount} requests, ${nodeCount} nodes, seed ${seed}`);
		print('deployment  scenario                    method                requests  ideal-refused  refused  wrongful  per 1000   wait p50/p99/max ms');
		let isOnTarget = true;
		for (const deployment of deployments) {
			for (const scenario of scenarios) {
				for (const method of methods) {
					const outcome = await runScenario({
						deployment, scenario, method, seed,
					});
					isOnTarget &&= method.isStatic || !method.isBorrowing || outcome.wrongful / outcome.requests < maximumWrongfulFraction;
					print(formatOutcome(deployment, scenario, {method, outcome}));
				}
			}
		}

		return isOnTarget;
	},
};

registerBench(bench);

type ScenarioRun = {readonly deployment: Deployment; readonly scenario: Scenario; readonly method: Method; readonly seed: number};

async function runScenario({deployment, scenario, method, seed}: ScenarioRun): Promise<Outcome> {
	const random = createRandom(seed);
	const world = createWorld(createRandom(seed + 1));
	const nodes = createFleet(world, deployment, {customer: scenario.customer, method});
	const entryIndexes = getEntryIndexes(nodes, scenario, method);
	const outcome: Outcome = {
		requests: 0, idealRefused: 0, wrongful: 0, refused: 0, waitMilliseconds: [],
	};
	const {rate, burst} = scenario.customer;
	let idealBucket: CustomerQuota = {...setTokenAllocation(createCustomerQuota(0), {rate, burst}, 0), tokens: burst};
	const staticBuckets = nodes.map(() => setTokenAllocation(createCustomerQuota(0), {rate: rate / nodeCount, burst: burst / nodeCount}, 0));

	const admitByStaticSplit = (index: number): boolean => {
		const filledBucket = fillCustomerQuota(staticBuckets[index]!, world.now());
		const bucketAfterTake = takeCustomerToken(filledBucket);
		staticBuckets[index] = bucketAfterTake ?? filledBucket;
		return bucketAfterTake !== undefined;
	};

	const arrive = async (): Promise<void> => {
		const arrivedAt = world.now();
		const isMeasured = arrivedAt >= warmUpMilliseconds;
		idealBucket = fillCustomerQuota(idealBucket, arrivedAt);
		const idealBucketAfterTake = takeCustomerToken(idealBucket);
		idealBucket = idealBucketAfterTake ?? idealBucket;
		const index = entryIndexes[scenario.drawNode(random, arrivedAt)]!;
		const isAdmitted = method.isStatic ? admitByStaticSplit(index) : await admitAtNode(nodes[index]!, scenario.customer);
		if (isMeasured) {
			outcome.requests += 1;
			outcome.idealRefused += idealBucketAfterTake ? 0 : 1;
			outcome.refused += isAdmitted ? 0 : 1;
			outcome.wrongful += idealBucketAfterTake && !isAdmitted ? 1 : 0;
			outcome.waitMilliseconds.push(world.now() - arrivedAt);
		}
	};

	const scheduleArrival = (): void => {
		const gapMilliseconds = -Math.log(1 - random.fraction()) / (rate * loadFraction) * millisecondsPerSecond;
		world.after(gapMilliseconds, () => {
			void arrive();
			scheduleArrival();
		});
	};

	scheduleArrival();
	await world.runUntil(warmUpMilliseconds + (measuredRequestCount / (rate * loadFraction) * millisecondsPerSecond));
	return outcome;
}

async function admitAtNode(node: BenchNode, customer: Customer): Promise<boolean> {
	const admission = await node.quotas.requests.admitOrWait(customer.name);
	return admission.kind === 'admitted';
}

type BenchNode = {readonly id: string; readonly region: string; readonly quotas: NodeQuotas; readonly receive: (from: string, message: Extract<NodeMessage, {type: 'peer-send'}>['message']) => void};

/** Maps each node index that a scenario draws to the entry that its callers use: a member that holds the customer's quota, in the same region if there is one. */
function getEntryIndexes(nodes: readonly BenchNode[], scenario: Scenario, method: Method): number[] {
	const indexes = nodes.map((_, index) => index);
	if (method.isStatic) {
		return indexes;
	}

	const members = getCustomerMembers(scenario.customer, nodes);
	return nodes.map((node, index) => {
		const localMembers = members.filter(member => member.region === node.region);
		const entryMembers = localMembers.length > 0 ? localMembers : members;
		return nodes.indexOf(entryMembers[index % entryMembers.length]!);
	});
}

type FleetOptions = {readonly customer: Customer; readonly method: Method};

function createFleet(world: World, deployment: Deployment, {customer, method}: FleetOptions): BenchNode[] {
	const nodes: BenchNode[] = [];
	const nodesById = new Map<string, BenchNode>();
	const nodePlaces = deployment.regions.flatMap(region => Array.from({length: nodesPerRegion}, (_, index) => ({region, zone: `${region}-${index % 2}`, id: `${region}-${index + 1}`})));
	for (const {id, region, zone} of nodePlaces) {
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
				let isPending = true;
				world.after(milliseconds, () => {
					if (isPending) {
						run();
					}
				});
				return () => {
					isPending = false;
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
			const receiver = nodesById.get(to);
			const delay = receiver?.region === region ? zoneLatencyMilliseconds : deployment.regionLatencyMilliseconds;
			world.after(delay, () => {
				receiver?.receive(id, message);
			});
		});
		nodes.push(node);
		nodesById.set(id, node);
		bus.publish({
			type: 'configuration-changed', version: 1, configuration: configurationSchema.parse({regions: [{name: region, zones: [zone]}], customers: [customer]}),
		});
	}

	startTicks(world, nodes, nodePlaces);
	return nodes;
}

function startTicks(world: World, nodes: readonly BenchNode[], nodePlaces: ReadonlyArray<{readonly id: string; readonly region: string; readonly zone: string}>): void {
	let ledger: Ledger = {epoch: 0, members: []};
	for (const {id, region, zone} of nodePlaces) {
		ledger = joinLedger(ledger, {
			id, incarnation: id, region, zone, callerAddress: '', peerAddress: '', state: 'live',
		});
	}

	for (const node of nodes) {
		const tick = (): void => {
			node.quotas.ledger.applyLedger(ledger, world.now());
			if (world.now() < ledgerTickEndMilliseconds) {
				node.quotas.ledger.tick(true);
			} else {
				node.quotas.requests.tick();
			}

			world.after(tickMilliseconds, tick);
		};

		world.after(0, tick);
	}
}

type ResultLine = {readonly method: Method; readonly outcome: Outcome};

function formatOutcome(deployment: Deployment, scenario: Scenario, {method, outcome}: ResultLine): string {
	const waitMilliseconds = outcome.waitMilliseconds.toSorted((left, right) => left - right);
	const getQuantile = (quantile: number): string => (waitMilliseconds[Math.min(waitMilliseconds.length - 1, Math.floor(waitMilliseconds.length * quantile))] ?? 0).toFixed(1);
	return [
		deployment.name.padEnd(11),
		scenario.name.padEnd(27),
		method.name.padEnd(21),
		String(outcome.requests).padStart(8),
		String(outcome.idealRefused).padStart(14),
		String(outcome.refused).padStart(8),
		String(outcome.wrongful).padStart(9),
		(outcome.wrongful / outcome.requests * 1000).toFixed(2).padStart(9),
		`  ${getQuantile(0.5)}/${getQuantile(0.99)}/${getQuantile(1)}`,
	].join(' ');
}
