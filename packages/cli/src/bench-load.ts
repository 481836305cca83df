/**
 * `catkindale bench load`: puts load on real nodes and target stand-ins on
 * loopback. The baseline is callers that bypass the nodes and pick a target at
 * random.
 */
import {type Customer, getCustomerMembers} from '@catkindale/policy';
import {type BenchOptions, registerBench} from './bench-registry.js';
import {type LoadRefusals, createLoadRefusals} from './bench-load-refusals.js';
import {type LoadSource, type LoadSourceResult, runLoadPhase} from './bench-load-callers.js';
import {
	type FleetCustomer, type FleetShape, type LoadFleet, getCustomerKey, startLoadFleet,
} from './bench-load-fleet.js';

type Phase = {
	readonly title: string;
	/** Requests sent per second, as a fraction of the capacity. */
	readonly load: number;
	/** Sum of the customers' rate limits, as a fraction of the capacity. */
	readonly limit: number;
	/** The customer that sends five times its rate. */
	readonly floodingCustomer?: string;
	/** Whether callers bypass the nodes and pick a target at random. */
	readonly isDirect?: boolean;
	/** Behaviour of the first target during the phase. */
	readonly firstTargetChange?: {readonly serviceMilliseconds?: number; readonly failureShare?: number};
};

type PhaseReport = {
	readonly results: Map<string, LoadSourceResult>;
	/** Mean fraction of all slots in use. */
	readonly slotUtilization: number;
	/** Share of the requests that the first target received. */
	readonly firstTargetShare: number;
	readonly shed: number;
	readonly refusals: LoadRefusals;
};

const shape: FleetShape = {
	regions: ['oslo', 'bergen', 'tromso'], nodesPerRegion: 2, targetsPerRegion: 2, slots: 4, serviceMilliseconds: 100,
};
const customerShares = [0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02];
const floodingCustomer = 'customer-2';
const floodFactor = 5;
/** Sums of the customers' rate limits, as fractions of the capacity. */
const limitAtCapacity = 1;
const limitAboveCapacity = 2;
const burstSeconds = 0.5;
const minimumBurst = 10;
const deadlineMilliseconds = 1000;
const percentile = 99;
const maximumSlowdown = 1.2;
const minimumOverloadThroughput = 0.95;
const slowServiceMilliseconds = 1000;

const limitedPhases: Phase[] = [
	{title: '80%, no flood', load: 0.8, limit: limitAtCapacity},
	{
		title: '80%, one at 5 times its rate', load: 0.8, limit: limitAtCapacity, floodingCustomer,
	},
];
const overloadPhases: Phase[] = [
	{title: '50%', load: 0.5, limit: limitAboveCapacity},
	{title: '80%', load: 0.8, limit: limitAboveCapacity},
	{title: '95%', load: 0.95, limit: limitAboveCapacity},
	{title: '100%', load: 1, limit: limitAboveCapacity},
	{title: '120%', load: 1.2, limit: limitAboveCapacity},
	{
		title: '120%, random target', load: 1.2, limit: limitAboveCapacity, isDirect: true,
	},
	{
		title: '60%, slow target', load: 0.6, limit: limitAboveCapacity, firstTargetChange: {serviceMilliseconds: slowServiceMilliseconds},
	},
	{
		title: '60%, slow, random target', load: 0.6, limit: limitAboveCapacity, firstTargetChange: {serviceMilliseconds: slowServiceMilliseconds}, isDirect: true,
	},
	{
		title: '60%, failing target', load: 0.6, limit: limitAboveCapacity, firstTargetChange: {failureShare: 1},
	},
	{
		title: '60%, failing, random target', load: 0.6, limit: limitAboveCapacity, firstTargetChange: {failureShare: 1}, isDirect: true,
	},
];

registerBench({
	name: 'load',
	describe: 'real nodes under load on loopback: a flood, overload, a slow and a failing target',
	async run(options) {
		const fleet = await startLoadFleet(shape);
		try {
			return await measureFleet(fleet, options);
		} finally {
			await fleet.stop();
		}
	},
});

async function measureFleet(fleet: LoadFleet, options: BenchOptions): Promise<boolean> {
	const size = `${fleet.nodes.length} nodes, ${fleet.targets.length} targets of ${shape.slots} slots`;
	options.print(`${size}, ${shape.serviceMilliseconds} ms service time, deadline ${deadlineMilliseconds} ms, all in one process on loopback`);
	options.print([
		'phase'.padEnd(29), 'useful/capacity', 'slots used', 'worst success', 'median', 'worst p99 ms', 'median', 'refused', 'rate-refused', 'failed', 'shed', 'share (target 1)',
	].join('  '));
	await fleet.applyCustomers(getCustomers(limitAtCapacity));
	const floodReports = await runPhases(fleet, limitedPhases, options);
	await fleet.applyCustomers(getCustomers(limitAboveCapacity));
	const overloadReports = await runPhases(fleet, overloadPhases, options);
	return [checkFloodTargets(floodReports, options), checkOverloadTarget(overloadReports, options)].every(Boolean);
}

async function runPhases(fleet: LoadFleet, phases: readonly Phase[], options: BenchOptions): Promise<Map<string, PhaseReport>> {
	const reports = new Map<string, PhaseReport>();
	for (const phase of phases) {
		const report = await runPhase(fleet, phase, options);
		reports.set(phase.title, report);
		printPhase(phase, report, options);
	}

	return reports;
}

async function runPhase(fleet: LoadFleet, phase: Phase, {seed, seconds}: BenchOptions): Promise<PhaseReport> {
	const countsBefore = fleet.targets.map(target => target.standin.getCounts());
	let samples = 0;
	let slotsInUse = 0;
	fleet.targets[0]?.standin.setBehaviour(phase.firstTargetChange ?? {});
	const refusals = createLoadRefusals(fleet, shape.slots);
	const results = await runLoadPhase({
		seed,
		onRefused: refusals.record,
		seconds,
		deadlineMilliseconds,
		sources: createLoadSources(fleet, phase),
		sample() {
			samples += 1;
			for (const target of fleet.targets) {
				slotsInUse += target.standin.getCounts().inFlight;
			}
		},
	});
	fleet.targets[0]?.standin.setBehaviour({serviceMilliseconds: shape.serviceMilliseconds, failureShare: 0});
	const countsAfter = fleet.targets.map(target => target.standin.getCounts());
	const received = countsAfter.map((counts, index) => counts.received - (countsBefore[index]?.received ?? 0));
	const shed = countsAfter.reduce((sum, counts, index) => sum + counts.shed - (countsBefore[index]?.shed ?? 0), 0);
	const totalReceived = received.reduce((sum, count) => sum + count, 0);
	return {
		results, refusals, shed, slotUtilization: slotsInUse / Math.max(1, samples) / (fleet.targets.length * shape.slots), firstTargetShare: (received[0] ?? 0) / Math.max(1, totalReceived),
	};
}

function createLoadSources(fleet: LoadFleet, phase: Phase): LoadSource[] {
	const customersAtLimit = new Map(getCustomers(phase.limit).map(customer => [customer.name, customer]));
	return getCustomers(phase.load).map(({name, rate}) => ({
		customer: name,
		rate: name === phase.floodingCustomer ? rate * floodFactor : rate,
		headers: {authorization: `Bearer ${getCustomerKey(name)}`},
		addresses: phase.isDirect ? fleet.targets.map(target => target.address) : getEntryAddresses(fleet, customersAtLimit.get(name) ?? {name, rate, burst: 1}),
	}));
}

/** Base addresses of the entries that hold the customer's quota; its callers use only these. */
function getEntryAddresses(fleet: LoadFleet, customer: Customer): string[] {
	return getCustomerMembers(customer, fleet.nodes).map(node => `http://${node.address}`);
}

function getCustomers(load: number): FleetCustomer[] {
	return customerShares.map((share, index) => {
		const rate = share * load * getCapacity();
		return {name: `customer-${index + 1}`, rate, burst: Math.max(minimumBurst, Math.ceil(rate * burstSeconds))};
	});
}

/** Requests per second that all slots together can serve. */
function getCapacity(): number {
	return shape.regions.length * shape.targetsPerRegion * shape.slots * 1000 / shape.serviceMilliseconds;
}

function printPhase(phase: Phase, {results, refusals, slotUtilization, firstTargetShare, shed}: PhaseReport, {print, seconds}: BenchOptions): void {
	const sources = [...results.values()];
	const successRates = sources.map(source => source.succeeded / Math.max(1, source.sent - source.rateRefused)).toSorted((left, right) => left - right);
	const latencies = sources.map(source => source.latency.getValueAtPercentile(percentile) / 1000).toSorted((left, right) => left - right);
	const sum = (read: (source: LoadSourceResult) => number): number => sources.reduce((total, source) => total + read(source), 0);
	print([
		phase.title.padEnd(29),
		(sum(source => source.succeeded) / seconds / getCapacity()).toFixed(3).padStart(15),
		slotUtilization.toFixed(3).padStart(10),
		(successRates[0] ?? 0).toFixed(4).padStart(13),
		getMedian(successRates).toFixed(4).padStart(6),
		(latencies.at(-1) ?? 0).toFixed(0).padStart(12),
		getMedian(latencies).toFixed(0).padStart(6),
		String(sum(source => source.refused)).padStart(7),
		String(sum(source => source.rateRefused)).padStart(12),
		String(sum(source => source.failed)).padStart(6),
		String(shed).padStart(4),
		firstTargetShare.toFixed(3).padStart(16),
	].join('  '));
	if (!phase.isDirect) {
		for (const line of refusals.formatLines()) {
			print(line);
		}
	}
}

function checkFloodTargets(reports: Map<string, PhaseReport>, {print}: BenchOptions): boolean {
	const [withoutFlood, withFlood] = [...reports.values()].map(report => [...report.results].filter(([name]) => name !== floodingCustomer).map(([, result]) => result));
	const totalRefused = (withFlood ?? []).reduce((sum, result) => sum + result.refused + result.rateRefused + result.failed, 0);
	const totalSent = (withFlood ?? []).reduce((sum, result) => sum + result.sent, 0);
	const slowdown = getMergedPercentile(withFlood ?? []) / getMergedPercentile(withoutFlood ?? []);
	print(`flood, other customers: ${totalRefused} of ${totalSent} requests refused (target 0 in 10,000), p99 ${slowdown.toFixed(2)} times that without the flood (target at most ${maximumSlowdown})`);
	return totalRefused * 10_000 < totalSent && slowdown <= maximumSlowdown;
}

function checkOverloadTarget(reports: Map<string, PhaseReport>, {print}: BenchOptions): boolean {
	const countSucceeded = (title: string): number => [...reports.get(title)?.results.values() ?? []].reduce((sum, result) => sum + result.succeeded, 0);
	const retained = countSucceeded('120%') / Math.max(1, countSucceeded('100%'));
	print(`overload: useful throughput at 120% load is ${retained.toFixed(3)} of that at 100% (target at least ${minimumOverloadThroughput})`);
	return retained >= minimumOverloadThroughput;
}

function getMergedPercentile(results: readonly LoadSourceResult[]): number {
	const [first, ...others] = results;
	for (const other of others) {
		first?.latency.add(other.latency);
	}

	return first?.latency.getValueAtPercentile(percentile) ?? 0;
}

function getMedian(sorted: readonly number[]): number {
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
