/**
 * `catkindale bench load`: real nodes and target stand-ins on loopback under
 * load, next to callers that draw a target at random without the system.
 */
import {type Customer, getCustomerMembers} from '@catkindale/policy';
import {type BenchOptions, registerBench} from './bench-registry.js';
import {type LoadRefusals, createLoadRefusals} from './bench-load-refusals.js';
import {type Sender, type SenderResult, runLoadPhase} from './bench-load-callers.js';
import {
	type FleetCustomer, type FleetShape, type LoadFleet, getCustomerKey, startLoadFleet,
} from './bench-load-fleet.js';

type Phase = {
	readonly title: string;
	readonly load: number;
	/** The customers' rates together, as a part of the capacity. */
	readonly limit: number;
	/** The customer that sends five times its rate. */
	readonly flooding?: string;
	readonly isDirect?: boolean;
	/** Changes the first target for the phase. */
	readonly change?: {readonly serviceMilliseconds?: number; readonly failureShare?: number};
};

type PhaseReport = {
	readonly results: Map<string, SenderResult>;
	/** Mean part of all slots in use. */
	readonly slotsUsed: number;
	/** Part of the requests that the first target got. */
	readonly firstPart: number;
	readonly shed: number;
	readonly refusals: LoadRefusals;
};

const shape: FleetShape = {
	regions: ['oslo', 'bergen', 'tromso'], nodesPerRegion: 2, targetsPerRegion: 2, slots: 4, serviceMilliseconds: 100,
};
const customerParts = [0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02];
const flooding = 'customer-2';
const floodFactor = 5;
/** The customers' rates together, as parts of the capacity. */
const limitAtCapacity = 1;
const limitAboveCapacity = 2;
const secondsOfBurst = 0.5;
const smallestBurst = 10;
const deadlineMilliseconds = 1000;
const percentile = 99;
const largestSlowdown = 1.2;
const leastUsefulAtOverload = 0.95;
const slowMilliseconds = 1000;

const limitedPhases: Phase[] = [
	{title: '80%, calm', load: 0.8, limit: limitAtCapacity},
	{
		title: '80%, one at 5 times its rate', load: 0.8, limit: limitAtCapacity, flooding,
	},
];
const freePhases: Phase[] = [
	{title: '50%', load: 0.5, limit: limitAboveCapacity},
	{title: '80%', load: 0.8, limit: limitAboveCapacity},
	{title: '95%', load: 0.95, limit: limitAboveCapacity},
	{title: '100%', load: 1, limit: limitAboveCapacity},
	{title: '120%', load: 1.2, limit: limitAboveCapacity},
	{
		title: '120%, random target', load: 1.2, limit: limitAboveCapacity, isDirect: true,
	},
	{
		title: '60%, slow target', load: 0.6, limit: limitAboveCapacity, change: {serviceMilliseconds: slowMilliseconds},
	},
	{
		title: '60%, slow, random target', load: 0.6, limit: limitAboveCapacity, change: {serviceMilliseconds: slowMilliseconds}, isDirect: true,
	},
	{
		title: '60%, failing target', load: 0.6, limit: limitAboveCapacity, change: {failureShare: 1},
	},
	{
		title: '60%, failing, random target', load: 0.6, limit: limitAboveCapacity, change: {failureShare: 1}, isDirect: true,
	},
];

registerBench({
	name: 'load',
	describe: 'real nodes under load on loopback: a flood, headroom, a slow and a failing target',
	async run(options) {
		const fleet = await startLoadFleet(shape);
		try {
			return await runPhases(fleet, options);
		} finally {
			await fleet.stop();
		}
	},
});

async function runPhases(fleet: LoadFleet, options: BenchOptions): Promise<boolean> {
	const size = `${fleet.nodes.length} nodes, ${fleet.targets.length} targets of ${shape.slots} slots`;
	options.print(`${size}, ${shape.serviceMilliseconds} ms of service, deadline ${deadlineMilliseconds} ms, all in one process on loopback`);
	options.print([
		'phase'.padEnd(29), 'useful/capacity', 'slots used', 'worst success', 'median', 'worst p99 ms', 'median', 'refused', 'rate-refused', 'failed', 'shed', 'part of target 1',
	].join('  '));
	await fleet.apply(getCustomers(limitAtCapacity));
	const floods = await runAll(fleet, limitedPhases, options);
	await fleet.apply(getCustomers(limitAboveCapacity));
	const free = await runAll(fleet, freePhases, options);
	return [reportFlood(floods, options), reportOverload(free, options)].every(Boolean);
}

async function runAll(fleet: LoadFleet, phases: readonly Phase[], options: BenchOptions): Promise<Map<string, PhaseReport>> {
	const reports = new Map<string, PhaseReport>();
	for (const phase of phases) {
		const report = await runPhase(fleet, phase, options);
		reports.set(phase.title, report);
		printPhase(phase, report, options);
	}

	return reports;
}

async function runPhase(fleet: LoadFleet, phase: Phase, {seed, seconds}: BenchOptions): Promise<PhaseReport> {
	const before = fleet.targets.map(target => target.standin.getCounts());
	let samples = 0;
	let slotsInUse = 0;
	fleet.targets[0]?.standin.setBehaviour(phase.change ?? {});
	const refusals = createLoadRefusals(fleet, shape.slots);
	const results = await runLoadPhase({
		seed,
		onRefused: refusals.note,
		seconds,
		deadlineMilliseconds,
		senders: getSenders(fleet, phase),
		sample() {
			samples += 1;
			for (const target of fleet.targets) {
				slotsInUse += target.standin.getCounts().inFlight;
			}
		},
	});
	fleet.targets[0]?.standin.setBehaviour({serviceMilliseconds: shape.serviceMilliseconds, failureShare: 0});
	const after = fleet.targets.map(target => target.standin.getCounts());
	const received = after.map((counts, index) => counts.received - (before[index]?.received ?? 0));
	const shed = after.reduce((sum, counts, index) => sum + counts.shed - (before[index]?.shed ?? 0), 0);
	const all = received.reduce((sum, count) => sum + count, 0);
	return {
		results, refusals, shed, slotsUsed: slotsInUse / Math.max(1, samples) / (fleet.targets.length * shape.slots), firstPart: (received[0] ?? 0) / Math.max(1, all),
	};
}

function getSenders(fleet: LoadFleet, phase: Phase): Sender[] {
	const limits = new Map(getCustomers(phase.limit).map(customer => [customer.name, customer]));
	return getCustomers(phase.load).map(({name, rate}) => ({
		customer: name,
		rate: name === phase.flooding ? rate * floodFactor : rate,
		headers: {authorization: `Bearer ${getCustomerKey(name)}`},
		addresses: phase.isDirect ? fleet.targets.map(target => target.address) : getEntries(fleet, limits.get(name) ?? {name, rate, burst: 1}),
	}));
}

/** A customer's callers stay on the entries that hold its quota. */
function getEntries(fleet: LoadFleet, customer: Customer): string[] {
	return getCustomerMembers(customer, fleet.nodes).map(node => `http://${node.address}`);
}

function getCustomers(load: number): FleetCustomer[] {
	return customerParts.map((part, index) => {
		const rate = part * load * getCapacity();
		return {name: `customer-${index + 1}`, rate, burst: Math.max(smallestBurst, Math.ceil(rate * secondsOfBurst))};
	});
}

/** Requests per second that all slots can serve. */
function getCapacity(): number {
	return shape.regions.length * shape.targetsPerRegion * shape.slots * 1000 / shape.serviceMilliseconds;
}

function printPhase(phase: Phase, {results, refusals, slotsUsed, firstPart, shed}: PhaseReport, {print, seconds}: BenchOptions): void {
	const senders = [...results.values()];
	const successes = senders.map(sender => sender.answered / Math.max(1, sender.sent - sender.rateRefused)).toSorted((left, right) => left - right);
	const latencies = senders.map(sender => sender.latency.getValueAtPercentile(percentile) / 1000).toSorted((left, right) => left - right);
	const sum = (read: (sender: SenderResult) => number): number => senders.reduce((total, sender) => total + read(sender), 0);
	print([
		phase.title.padEnd(29),
		(sum(sender => sender.answered) / seconds / getCapacity()).toFixed(3).padStart(15),
		slotsUsed.toFixed(3).padStart(10),
		(successes[0] ?? 0).toFixed(4).padStart(13),
		getMedian(successes).toFixed(4).padStart(6),
		(latencies.at(-1) ?? 0).toFixed(0).padStart(12),
		getMedian(latencies).toFixed(0).padStart(6),
		String(sum(sender => sender.refused)).padStart(7),
		String(sum(sender => sender.rateRefused)).padStart(12),
		String(sum(sender => sender.failed)).padStart(6),
		String(shed).padStart(4),
		firstPart.toFixed(3).padStart(16),
	].join('  '));
	if (!phase.isDirect) {
		for (const line of refusals.format()) {
			print(line);
		}
	}
}

function reportFlood(reports: Map<string, PhaseReport>, {print}: BenchOptions): boolean {
	const [calm, flood] = [...reports.values()].map(report => [...report.results].filter(([name]) => name !== flooding).map(([, result]) => result));
	const refused = (flood ?? []).reduce((sum, result) => sum + result.refused + result.rateRefused + result.failed, 0);
	const sent = (flood ?? []).reduce((sum, result) => sum + result.sent, 0);
	const slowdown = getPercentile(flood ?? []) / getPercentile(calm ?? []);
	print(`flood: others refused ${refused} of ${sent} (target 0 in 10,000), p99 ${slowdown.toFixed(2)} times that without the flood (target at most ${largestSlowdown})`);
	return refused * 10_000 < sent && slowdown <= largestSlowdown;
}

function reportOverload(reports: Map<string, PhaseReport>, {print}: BenchOptions): boolean {
	const countAnswered = (title: string): number => [...reports.get(title)?.results.values() ?? []].reduce((sum, result) => sum + result.answered, 0);
	const kept = countAnswered('120%') / Math.max(1, countAnswered('100%'));
	print(`overload: useful work at 120% is ${kept.toFixed(3)} of that at 100% (target at least ${leastUsefulAtOverload})`);
	return kept >= leastUsefulAtOverload;
}

function getPercentile(results: readonly SenderResult[]): number {
	const [first, ...others] = results;
	for (const other of others) {
		first?.latency.add(other.latency);
	}

	return first?.latency.getValueAtPercentile(percentile) ?? 0;
}

function getMedian(sorted: readonly number[]): number {
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
