/**
 * Simulated load: one target is slow, fails, sheds, lies about its load or is
 * cold, or a region fails. Told is how long it keeps its part of the work, and
 * how many requests were harmed.
 */
import {type Random, millisecondsPerSecond} from '@catkindale/common';
import {type SimulatedTarget, type SteeringKind, steeringKinds} from './bench-load-baselines.js';
import {
	type DeploymentShape, countSlots, getCustomers, getTargets,
} from './bench-load-shapes.js';
import {
	type Scenario, type Service, type SimulationResult, drawExponential, runSimulation,
} from './bench-load-simulation.js';
import {
	type LoadReport, formatMilliseconds, getSimulatedSeconds, toBars,
} from './bench-load-simulated.js';

type Fault = {
	readonly title: string;
	readonly change: (shape: DeploymentShape) => Pick<Scenario, 'serve'> & Partial<Scenario>;
};

/** Part of the capacity that callers use. */
const load = 0.6;
const faultAt = 10_000;
const windowMilliseconds = 500;
const deadlineMilliseconds = 500;
const slowFactor = 10;
const coldFactor = 5;
const coldMilliseconds = 5000;
const sheddingMilliseconds = 1;
const failingMilliseconds = 1;
const lossMilliseconds = 3;
const lessWorkPart = 0.5;
const percentile = 99;

const faults: Fault[] = [
	{
		title: 'one target 10 times slower',
		change: shape => ({serve: serveWith(shape, service => ({...service, milliseconds: service.milliseconds * slowFactor}))}),
	},
	{
		title: 'one target fails every request fast',
		change: shape => ({serve: serveWith(shape, () => ({kind: 'failed', milliseconds: failingMilliseconds}))}),
	},
	{
		title: 'one target fails half of its requests',
		change: shape => ({serve: serveWith(shape, (service, random) => random.fraction() < 0.5 ? {kind: 'failed', milliseconds: failingMilliseconds} : service)}),
	},
	{
		title: 'one target reports no load but sheds everything',
		change: shape => ({
			reports: new Map([[getFaulty(shape), 0]]),
			serve: serveWith(shape, () => ({kind: 'shed', milliseconds: sheddingMilliseconds})),
		}),
	},
	{
		title: 'one target reports full load but is well',
		change: shape => ({reports: new Map([[getFaulty(shape), 2]]), serve: serveWith(shape, service => service)}),
	},
	{title: 'a cold target joins, 5 times slower for 5 s', change: getColdChange},
	{title: 'the region fails, two others have slots lent', change: getRegionChange},
];

export function measureFaults(report: LoadReport): void {
	for (const fault of faults) {
		measureFault(report, fault);
	}
}

function measureFault({shape, options, charts}: LoadReport, fault: Fault): void {
	options.print(`${fault.title} from ${faultAt / millisecondsPerSecond} s on, load ${load * 100}%:`);
	const harmed = new Map<SteeringKind, number>();
	for (const steering of steeringKinds.filter(kind => kind !== 'first-come')) {
		const result = runFault({shape, options}, fault, steering);
		harmed.set(steering, result.harmed);
		const customers = [...result.customers.values()];
		const refused = customers.reduce((sum, customer) => sum + customer.refused, 0);
		const latency = Math.max(...customers.map(customer => customer.latency.getValueAtPercentile(percentile)));
		const changed = getChangedTarget(fault, shape);
		const seconds = describeSeconds(getSecondsUntilLess(result, changed, getSimulatedSeconds(options)));
		const later = countLater(result, changed, getSimulatedSeconds(options) * millisecondsPerSecond / 2);
		const work = `less work after ${seconds.padStart(8)}, its part in the second half ${later.toFixed(3)}`;
		options.print(`  ${steering.padEnd(12)} ${work}, harmed ${result.harmed}, refused ${refused}, p99 of the worst customer ${formatMilliseconds(latency)} ms`);
	}

	charts.push({title: `${shape.name}: requests harmed, ${fault.title}`, unit: 'requests', bars: toBars(harmed)});
}

function runFault({shape, options}: Pick<LoadReport, 'shape' | 'options'>, fault: Fault, steering: SteeringKind): SimulationResult {
	return runSimulation({
		seed: options.seed,
		seconds: getSimulatedSeconds(options),
		steering,
		region: shape.region,
		targets: getTargets(shape),
		customers: getCustomers(shape, load),
		deadlineMilliseconds,
		...fault.change(shape),
	});
}

/** All targets work as usual, but for the faulty one after the fault. */
function serveWith(shape: DeploymentShape, change: (service: Service, random: Random) => Service): Scenario['serve'] {
	return (target, now, random) => {
		const service: Service = {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds, random)};
		return now >= faultAt && target === getFaulty(shape) ? change(service, random) : service;
	};
}

function getColdChange(shape: DeploymentShape): Pick<Scenario, 'serve' | 'joining'> {
	return {
		joining: {at: faultAt, target: {name: coldTarget, region: shape.region, slots: 1}},
		serve(target, now, random) {
			const isCold = target === coldTarget && now < faultAt + coldMilliseconds;
			return {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds * (isCold ? coldFactor : 1), random)};
		},
	};
}

/** Slots at two more regions of the same size; a request there takes the way there and back besides. */
function getRegionChange(shape: DeploymentShape): Pick<Scenario, 'serve' | 'targets'> {
	const home = getTargets(shape);
	const remote: SimulatedTarget[] = shape.otherRegions.flatMap(region => home.map(target => ({...target, name: `${region} ${target.name}`, region})));
	const names = new Set(home.map(target => target.name));
	return {
		targets: [...home, ...remote],
		serve(target, now, random) {
			if (!names.has(target)) {
				return {kind: 'answered', milliseconds: (2 * shape.regionMilliseconds) + drawExponential(shape.serviceMilliseconds, random)};
			}

			return now >= faultAt ? {kind: 'lost', milliseconds: lossMilliseconds} : {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds, random)};
		},
	};
}

const coldTarget = 'cold';

function getFaulty(shape: DeploymentShape): string {
	return `${shape.region}-1`;
}

/** The targets whose part of the work is told, with the part that they would get by their slots. */
function getChangedTarget(fault: Fault, shape: DeploymentShape): ChangedTargets {
	const slots = countSlots(getTargets(shape));
	if (fault.change === getColdChange) {
		return {has: name => name === coldTarget, usualPart: 1 / (slots + 1)};
	}

	if (fault.change === getRegionChange) {
		return {has: name => name.startsWith(shape.region), usualPart: 1};
	}

	return {has: name => name === getFaulty(shape), usualPart: 1 / slots};
}

type ChangedTargets = {readonly has: (name: string) => boolean; readonly usualPart: number};

/** Seconds after the fault until the end of the first window in which the targets get less than half of their usual part. */
function getSecondsUntilLess(result: SimulationResult, changed: ChangedTargets, seconds: number): number | undefined {
	const endsAt = seconds * millisecondsPerSecond;
	for (let start = faultAt; start + windowMilliseconds <= endsAt; start += windowMilliseconds / 10) {
		if (getPart(result, changed, start, start + windowMilliseconds) < changed.usualPart * lessWorkPart) {
			return (start + windowMilliseconds - faultAt) / millisecondsPerSecond;
		}
	}

	return undefined;
}

function countLater(result: SimulationResult, changed: ChangedTargets, from: number): number {
	return getPart(result, changed, from, Infinity);
}

function getPart(result: SimulationResult, changed: ChangedTargets, from: number, to: number): number {
	let all = 0;
	let own = 0;
	for (const [name, target] of result.targets) {
		const count = target.startedAt.filter(at => at >= from && at < to).length;
		all += count;
		own += changed.has(name) ? count : 0;
	}

	return own / Math.max(1, all);
}

function describeSeconds(seconds: number | undefined): string {
	return seconds === undefined ? 'never' : `${seconds.toFixed(1)} s`;
}

