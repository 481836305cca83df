/** Simulated load: a flood by one customer, throughput and fairness by load, and the effect of customer weights. */
import {getCustomerWeight} from '@catkindale/policy';
import type {SteeringKind} from './bench-load-baselines.js';
import {
	countSlots, floodingCustomer, getCapacity, getCustomers, getTargets,
} from './bench-load-shapes.js';
import {
	type CustomerResult, type SimulatedCustomer, type SimulationResult, drawExponential, runSimulation,
} from './bench-load-simulation.js';
import {
	type LoadReport, createBars, formatMilliseconds, getSimulatedSeconds,
} from './bench-load-simulated.js';

const deadlineMilliseconds = 500;
const normalLoad = 0.8;
const floodFactor = 5;
const maximumSlowdown = 1.2;
const percentile = 99;
const measuredLoads = [0.5, 0.8, 0.95, 1, 1.2];
const minimumOverloadThroughput = 0.95;
const comparedSteerings = ['product', 'first-come'] as const;

const weightFunctions = new Map<string, (rate: number) => number>([
	['equal', () => 1],
	['root of rate', getCustomerWeight],
	['rate', rate => rate],
]);

/** Compares ways to derive a customer's weight from its rate, at 120% load. */
export function measureWeights(report: LoadReport): void {
	report.options.print('customer weights at 120% load: useful/capacity, success rate and p99 of the worst-served and of the median customer');
	for (const [title, getWeight] of weightFunctions) {
		const result = runFairnessScenario(report, getCustomers(report.shape, 1.2, undefined, getWeight), 'product');
		const {throughputFraction, successRates, latencies} = summarizeResult(report, result);
		const success = `${(successRates[0] ?? 0).toFixed(4)} and ${getMedian(successRates).toFixed(4)}`;
		const p99 = `${formatMilliseconds(latencies.at(-1) ?? 0)} and ${formatMilliseconds(getMedian(latencies))} ms`;
		report.options.print(`  ${title.padEnd(12)} ${throughputFraction.toFixed(3)}, ${success}, ${p99}`);
	}
}

/** One customer sends five times its rate, with and without a token bucket in front of the queue. */
export function measureFlood(report: LoadReport): void {
	const {shape, options, charts} = report;
	options.print(`one customer at ${floodFactor} times its rate, 80% load without the flood, deadline ${deadlineMilliseconds} ms; refusals and p99 of the other customers:`);
	for (const hasBucket of [true, false]) {
		const slowdowns = new Map<SteeringKind, number>();
		for (const steering of comparedSteerings) {
			const customers = getCustomers(shape, normalLoad, hasBucket ? 1 : undefined);
			const customersWithFlood = customers.map(customer => customer.name === floodingCustomer ? {...customer, arrivalRate: customer.arrivalRate * floodFactor} : customer);
			const withoutFlood = runFairnessScenario(report, customers, steering);
			const withFlood = runFairnessScenario(report, customersWithFlood, steering);
			const others = getOtherCustomers(withFlood);
			const refused = sumOver(others, other => other.refused + other.failed);
			const admitted = sumOver(others, other => other.admitted);
			const slowdown = getMergedPercentile(others) / getMergedPercentile(getOtherCustomers(withoutFlood));
			slowdowns.set(steering, slowdown);
			const title = `${hasBucket ? 'bucket + queue' : 'queue alone   '} ${steering.padEnd(12)}`;
			const p99 = formatMilliseconds(getMergedPercentile(others));
			options.print(`  ${title} refused ${refused} of ${admitted}, p99 ${p99} ms, ${slowdown.toFixed(2)} times the p99 without the flood`);
			if (steering === 'product') {
				report.recordTarget(refused * 10_000 < admitted, `wrongful refusals of the other customers 0 in 10,000 (${hasBucket ? 'bucket + queue' : 'queue alone'})`);
			}

			if (steering === 'product' && hasBucket) {
				report.recordTarget(slowdown <= maximumSlowdown, `p99 of the other customers at most ${maximumSlowdown} times that without the flood (bucket + queue)`);
			}
		}

		charts.push({title: `${shape.name}: p99 of other customers with flood relative to without, ${hasBucket ? 'bucket + queue' : 'queue alone'}`, unit: 'times', bars: createBars(slowdowns)});
	}
}

export function measureThroughput(report: LoadReport): void {
	const {shape, options, charts} = report;
	const slots = countSlots(getTargets(shape));
	options.print('load    steering      slots used  useful/capacity  worst success  median success  worst p99 ms  median p99 ms');
	for (const steering of comparedSteerings) {
		const throughputs = new Map<number, number>();
		for (const load of measuredLoads) {
			const result = runFairnessScenario(report, getCustomers(shape, load), steering);
			const {throughputFraction, successRates, latencies} = summarizeResult(report, result);
			throughputs.set(load, throughputFraction);
			options.print([
				`${(load * 100).toFixed(0).padStart(4)}%`,
				steering.padEnd(12),
				(result.slotsInUse / slots).toFixed(3).padStart(11),
				throughputFraction.toFixed(3).padStart(15),
				(successRates[0] ?? 0).toFixed(4).padStart(14),
				getMedian(successRates).toFixed(4).padStart(15),
				formatMilliseconds(latencies.at(-1) ?? 0).padStart(13),
				formatMilliseconds(getMedian(latencies)).padStart(14),
			].join('  '));
		}

		const retained = (throughputs.get(1.2) ?? 0) / (throughputs.get(1) ?? 1);
		options.print(`  ${steering}: useful throughput at 120% load is ${retained.toFixed(3)} of that at 100%`);
		charts.push({title: `${shape.name}: useful throughput by load, ${steering}`, unit: 'of capacity', bars: [...throughputs].map(([load, value]) => ({label: `${load * 100}%`, value}))});
		if (steering === 'product') {
			report.recordTarget(retained >= minimumOverloadThroughput, 'useful throughput at 120% load at least 0.95 of that at 100%');
		}
	}
}

type Summary = {
	/** Requests served within the deadline, as a fraction of the capacity. */
	readonly throughputFraction: number;
	/** One success rate for each customer, ascending. */
	readonly successRates: readonly number[];
	/** The p99 of each customer in microseconds, ascending. */
	readonly latencies: readonly number[];
};

function summarizeResult({shape, options}: LoadReport, result: SimulationResult): Summary {
	const customers = [...result.customers.values()];
	return {
		throughputFraction: sumOver(customers, customer => customer.succeeded) / getSimulatedSeconds(options) / getCapacity(shape),
		successRates: sortAscending(customers.map(customer => customer.succeeded / Math.max(1, customer.succeeded + customer.refused + customer.failed))),
		latencies: sortAscending(customers.map(customer => customer.latency.getValueAtPercentile(percentile))),
	};
}

function runFairnessScenario({shape, options}: LoadReport, customers: readonly SimulatedCustomer[], steering: SteeringKind): SimulationResult {
	return runSimulation({
		seed: options.seed,
		seconds: getSimulatedSeconds(options),
		steering,
		region: shape.region,
		targets: getTargets(shape),
		customers,
		deadlineMilliseconds,
		serve: (_target, _now, random) => ({kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds, random)}),
	});
}

function getOtherCustomers(result: SimulationResult): CustomerResult[] {
	return [...result.customers].filter(([name]) => name !== floodingCustomer).map(([, customer]) => customer);
}

function getMergedPercentile(customers: readonly CustomerResult[]): number {
	const [first, ...others] = customers;
	if (!first) {
		return 0;
	}

	for (const other of others) {
		first.latency.add(other.latency);
	}

	const value = first.latency.getValueAtPercentile(percentile);
	for (const other of others) {
		first.latency.subtract(other.latency);
	}

	return value;
}

function sumOver(customers: readonly CustomerResult[], read: (customer: CustomerResult) => number): number {
	return customers.reduce((total, customer) => total + read(customer), 0);
}

function sortAscending(values: readonly number[]): number[] {
	return values.toSorted((left, right) => left - right);
}

function getMedian(sorted: readonly number[]): number {
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

