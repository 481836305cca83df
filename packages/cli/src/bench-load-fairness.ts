/** Simulated load: one customer's flood, and headroom and fairness by load. */
import {getCustomerWeight} from '@catkindale/policy';
import type {SteeringKind} from './bench-load-baselines.js';
import {
	countSlots, getCapacity, getCustomers, getTargets, largeCustomer,
} from './bench-load-shapes.js';
import {
	type CustomerResult, type SimulatedCustomer, type SimulationResult, drawExponential, runSimulation,
} from './bench-load-simulation.js';
import {
	type LoadReport, formatMilliseconds, getSimulatedSeconds, toBars,
} from './bench-load-simulated.js';

const deadlineMilliseconds = 500;
const usualLoad = 0.8;
const floodFactor = 5;
const largestSlowdown = 1.2;
const percentile = 99;
const loads = [0.5, 0.8, 0.95, 1, 1.2];
const leastUsefulAtOverload = 0.95;
const fairnessKinds = ['product', 'first-come'] as const;

const weightings = new Map<string, (rate: number) => number>([
	['equal', () => 1],
	['root of rate', getCustomerWeight],
	['rate', rate => rate],
]);

/** What the weights of customers change at high load. */
export function measureWeights(report: LoadReport): void {
	report.options.print('weights of customers, load 120%: useful/capacity, success and p99 of the worst-served and of the median customer');
	for (const [title, getWeight] of weightings) {
		const result = run(report, getCustomers(report.shape, 1.2, undefined, getWeight), 'product');
		const {part, successes, latencies} = summarise(report, result);
		const success = `${(successes[0] ?? 0).toFixed(4)} and ${getMedian(successes).toFixed(4)}`;
		const p99 = `${formatMilliseconds(latencies.at(-1) ?? 0)} and ${formatMilliseconds(getMedian(latencies))} ms`;
		report.options.print(`  ${title.padEnd(12)} ${part.toFixed(3)}, ${success}, ${p99}`);
	}
}

/** Sent by one customer at five times its rate, with and without the token bucket before the queue. */
export function measureFlood(report: LoadReport): void {
	const {shape, options, charts} = report;
	options.print(`one customer at ${floodFactor} times its rate, the others at 80% of capacity in all, deadline ${deadlineMilliseconds} ms; refused and p99 of the others:`);
	for (const hasBucket of [true, false]) {
		const slowdowns = new Map<SteeringKind, number>();
		for (const steering of fairnessKinds) {
			const customers = getCustomers(shape, usualLoad, hasBucket ? 1 : undefined);
			const flooded = customers.map(customer => customer.name === largeCustomer ? {...customer, sent: customer.sent * floodFactor} : customer);
			const calm = run(report, customers, steering);
			const flood = run(report, flooded, steering);
			const others = getOthers(flood);
			const refused = sum(others, other => other.refused + other.failed);
			const admitted = sum(others, other => other.admitted);
			const slowdown = getPercentile(others) / getPercentile(getOthers(calm));
			slowdowns.set(steering, slowdown);
			const title = `${hasBucket ? 'bucket + queue' : 'queue alone   '} ${steering.padEnd(12)}`;
			const p99 = formatMilliseconds(getPercentile(others));
			options.print(`  ${title} others refused ${refused} of ${admitted}, p99 ${p99} ms, ${slowdown.toFixed(2)} times the p99 without the flood`);
			if (steering === 'product') {
				report.expect(refused * 10_000 < admitted, `others' wrongful refusals 0 in 10,000 (${hasBucket ? 'bucket + queue' : 'queue alone'})`);
			}

			if (steering === 'product' && hasBucket) {
				report.expect(slowdown <= largestSlowdown, `others' p99 at most ${largestSlowdown} times (bucket + queue)`);
			}
		}

		charts.push({title: `${shape.name}: others' p99 with a flood against without, ${hasBucket ? 'bucket + queue' : 'queue alone'}`, unit: 'times', bars: toBars(slowdowns)});
	}
}

export function measureHeadroom(report: LoadReport): void {
	const {shape, options, charts} = report;
	const slots = countSlots(getTargets(shape));
	options.print('load    steering      slots used  useful/capacity  worst success  median success  worst p99 ms  median p99 ms');
	for (const steering of fairnessKinds) {
		const useful = new Map<number, number>();
		for (const load of loads) {
			const result = run(report, getCustomers(shape, load), steering);
			const {part, successes, latencies} = summarise(report, result);
			useful.set(load, part);
			options.print([
				`${(load * 100).toFixed(0).padStart(4)}%`,
				steering.padEnd(12),
				(result.slotsInUse / slots).toFixed(3).padStart(11),
				part.toFixed(3).padStart(15),
				(successes[0] ?? 0).toFixed(4).padStart(14),
				getMedian(successes).toFixed(4).padStart(15),
				formatMilliseconds(latencies.at(-1) ?? 0).padStart(13),
				formatMilliseconds(getMedian(latencies)).padStart(14),
			].join('  '));
		}

		const kept = (useful.get(1.2) ?? 0) / (useful.get(1) ?? 1);
		options.print(`  ${steering}: useful work at 120% is ${kept.toFixed(3)} of that at 100%`);
		charts.push({title: `${shape.name}: useful work by load, ${steering}`, unit: 'of capacity', bars: [...useful].map(([load, value]) => ({label: `${load * 100}%`, value}))});
		if (steering === 'product') {
			report.expect(kept >= leastUsefulAtOverload, 'useful work at 120% at least 0.95 of that at 100%');
		}
	}
}

type Summary = {
	/** Answers in time, as a part of the capacity. */
	readonly part: number;
	/** Of all customers, the lowest first. */
	readonly successes: readonly number[];
	readonly latencies: readonly number[];
};

function summarise({shape, options}: LoadReport, result: SimulationResult): Summary {
	const served = [...result.customers.values()];
	return {
		part: sum(served, customer => customer.answered) / getSimulatedSeconds(options) / getCapacity(shape),
		successes: sort(served.map(customer => customer.answered / Math.max(1, customer.answered + customer.refused + customer.failed))),
		latencies: sort(served.map(customer => customer.latency.getValueAtPercentile(percentile))),
	};
}

function run({shape, options}: LoadReport, customers: readonly SimulatedCustomer[], steering: SteeringKind): SimulationResult {
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

function getOthers(result: SimulationResult): CustomerResult[] {
	return [...result.customers].filter(([name]) => name !== largeCustomer).map(([, customer]) => customer);
}

function getPercentile(customers: readonly CustomerResult[]): number {
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

function sum(customers: readonly CustomerResult[], read: (customer: CustomerResult) => number): number {
	return customers.reduce((total, customer) => total + read(customer), 0);
}

function sort(values: readonly number[]): number[] {
	return values.toSorted((left, right) => left - right);
}

function getMedian(sorted: readonly number[]): number {
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

