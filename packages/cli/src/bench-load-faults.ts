/**
 * Simulated load with a fault: one target is slow, fails, sheds, reports a
 * false load or is cold, or a whole region fails. Reports how long the affected
 * targets keep their usual share of the traffic, and how many requests fail.
 */
import {type Random, millisecondsPerSecond} from '@catkindale/common';
import {type SimulatedTarget, type SteeringKind, steeringKinds} from './bench-load-baselines.js';
import {
	type DeploymentShape, countSlots, getCustomers, getTargets,
} from './bench-load-shapes.js';
import {
	type Scenario, type ServiceOutcome, type SimulationResult, drawExponential, runSimulation,
} from './bench-load-simulation.js';
import {
	type LoadReport, createBars, formatMilliseconds, getSimulatedSeconds,
} from './bench-load-simulated.js';

type Fault = {
	readonly title: string;
	readonly getScenarioChange: (shape: DeploymentShape) => Pick<Scenario, 'serve'> & Partial<Scenario>;
};

/** Requests sent, as a fraction of the capacity. */
const loadFraction = 0.6;
const faultAtMilliseconds = 10_000;
const windowMilliseconds = 500;
const deadlineMilliseconds = 500;
const slowFactor = 10;
const coldFactor = 5;
const coldMilliseconds = 5000;
const shedServiceMilliseconds = 1;
const failedServiceMilliseconds = 1;
const lostServiceMilliseconds = 3;
const reducedShareFactor = 0.5;
const percentile = 99;

const faults: Fault[] = [
	{
		title: 'one target 10 times slower',
		getScenarioChange: shape => ({serve: createFaultyServe(shape, outcome => ({...outcome, milliseconds: outcome.milliseconds * slowFactor}))}),
	},
	{
		title: 'one target fails every request fast',
		getScenarioChange: shape => ({serve: createFaultyServe(shape, () => ({kind: 'failed', milliseconds: failedServiceMilliseconds}))}),
	},
	{
		title: 'one target fails half of its requests',
		getScenarioChange: shape => ({serve: createFaultyServe(shape, (outcome, random) => random.fraction() < 0.5 ? {kind: 'failed', milliseconds: failedServiceMilliseconds} : outcome)}),
	},
	{
		title: 'one target reports no load but sheds everything',
		getScenarioChange: shape => ({
			reportedLoads: new Map([[getFaultyTarget(shape), 0]]),
			serve: createFaultyServe(shape, () => ({kind: 'shed', milliseconds: shedServiceMilliseconds})),
		}),
	},
	{
		title: 'one target reports full load but is healthy',
		getScenarioChange: shape => ({reportedLoads: new Map([[getFaultyTarget(shape), 2]]), serve: createFaultyServe(shape, outcome => outcome)}),
	},
	{title: 'a cold target joins, 5 times slower for 5 s', getScenarioChange: getColdTargetChange},
	{title: 'the region fails, two others lend slots', getScenarioChange: getRegionFailureChange},
];

export function measureFaults(report: LoadReport): void {
	for (const fault of faults) {
		measureFault(report, fault);
	}
}

function measureFault({shape, options, charts}: LoadReport, fault: Fault): void {
	options.print(`${fault.title} from ${faultAtMilliseconds / millisecondsPerSecond} s on, load ${loadFraction * 100}%:`);
	const failed = new Map<SteeringKind, number>();
	for (const steering of steeringKinds.filter(kind => kind !== 'first-come')) {
		const result = runFault({shape, options}, fault, steering);
		failed.set(steering, result.failed);
		const customers = [...result.customers.values()];
		const refused = customers.reduce((sum, customer) => sum + customer.refused, 0);
		const latency = Math.max(...customers.map(customer => customer.latency.getValueAtPercentile(percentile)));
		const affected = getAffectedTargets(fault, shape);
		const seconds = formatSeconds(getSecondsUntilReduced(result, affected, getSimulatedSeconds(options)));
		const lateShare = getShareAfter(result, affected, getSimulatedSeconds(options) * millisecondsPerSecond / 2);
		const trafficText = `traffic reduced after ${seconds.padStart(8)}, share in the second half ${lateShare.toFixed(3)}`;
		options.print(`  ${steering.padEnd(12)} ${trafficText}, failed ${result.failed}, refused ${refused}, p99 of the worst customer ${formatMilliseconds(latency)} ms`);
	}

	charts.push({title: `${shape.name}: failed requests, ${fault.title}`, unit: 'requests', bars: createBars(failed)});
}

function runFault({shape, options}: Pick<LoadReport, 'shape' | 'options'>, fault: Fault, steering: SteeringKind): SimulationResult {
	return runSimulation({
		seed: options.seed,
		seconds: getSimulatedSeconds(options),
		steering,
		region: shape.region,
		targets: getTargets(shape),
		customers: getCustomers(shape, loadFraction),
		deadlineMilliseconds,
		...fault.getScenarioChange(shape),
	});
}

/** All targets serve as usual except the faulty one, whose outcomes are changed from the start of the fault. */
function createFaultyServe(shape: DeploymentShape, changeOutcome: (outcome: ServiceOutcome, random: Random) => ServiceOutcome): Scenario['serve'] {
	return (target, now, random) => {
		const outcome: ServiceOutcome = {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds, random)};
		return now >= faultAtMilliseconds && target === getFaultyTarget(shape) ? changeOutcome(outcome, random) : outcome;
	};
}

function getColdTargetChange(shape: DeploymentShape): Pick<Scenario, 'serve' | 'join'> {
	return {
		join: {at: faultAtMilliseconds, target: {name: coldTargetName, region: shape.region, slots: 1}},
		serve(target, now, random) {
			const isCold = target === coldTargetName && now < faultAtMilliseconds + coldMilliseconds;
			return {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds * (isCold ? coldFactor : 1), random)};
		},
	};
}

/** Adds two remote regions of the same size, whose requests take a network round trip in addition to the service time. */
function getRegionFailureChange(shape: DeploymentShape): Pick<Scenario, 'serve' | 'targets'> {
	const localTargets = getTargets(shape);
	const remoteTargets: SimulatedTarget[] = shape.otherRegions.flatMap(region => localTargets.map(target => ({...target, name: `${region} ${target.name}`, region})));
	const localNames = new Set(localTargets.map(target => target.name));
	return {
		targets: [...localTargets, ...remoteTargets],
		serve(target, now, random) {
			if (!localNames.has(target)) {
				return {kind: 'answered', milliseconds: (2 * shape.regionLatencyMilliseconds) + drawExponential(shape.serviceMilliseconds, random)};
			}

			return now >= faultAtMilliseconds ? {kind: 'lost', milliseconds: lostServiceMilliseconds} : {kind: 'answered', milliseconds: drawExponential(shape.serviceMilliseconds, random)};
		},
	};
}

const coldTargetName = 'cold';

function getFaultyTarget(shape: DeploymentShape): string {
	return `${shape.region}-1`;
}

/** The targets whose traffic is reported, with the share of it that corresponds to their slots. */
function getAffectedTargets(fault: Fault, shape: DeploymentShape): AffectedTargets {
	const slots = countSlots(getTargets(shape));
	if (fault.getScenarioChange === getColdTargetChange) {
		return {includes: name => name === coldTargetName, usualShare: 1 / (slots + 1)};
	}

	if (fault.getScenarioChange === getRegionFailureChange) {
		return {includes: name => name.startsWith(shape.region), usualShare: 1};
	}

	return {includes: name => name === getFaultyTarget(shape), usualShare: 1 / slots};
}

type AffectedTargets = {readonly includes: (name: string) => boolean; readonly usualShare: number};

/** Seconds after the fault until the end of the first window in which the targets get less than half of their usual share; undefined if there is none. */
function getSecondsUntilReduced(result: SimulationResult, affected: AffectedTargets, seconds: number): number | undefined {
	const endsAt = seconds * millisecondsPerSecond;
	for (let start = faultAtMilliseconds; start + windowMilliseconds <= endsAt; start += windowMilliseconds / 10) {
		if (getTrafficShare(result, affected, start, start + windowMilliseconds) < affected.usualShare * reducedShareFactor) {
			return (start + windowMilliseconds - faultAtMilliseconds) / millisecondsPerSecond;
		}
	}

	return undefined;
}

function getShareAfter(result: SimulationResult, affected: AffectedTargets, from: number): number {
	return getTrafficShare(result, affected, from, Infinity);
}

function getTrafficShare(result: SimulationResult, affected: AffectedTargets, from: number, to: number): number {
	let totalStarts = 0;
	let affectedStarts = 0;
	for (const [name, target] of result.targets) {
		const count = target.startedAt.filter(at => at >= from && at < to).length;
		totalStarts += count;
		affectedStarts += affected.includes(name) ? count : 0;
	}

	return affectedStarts / Math.max(1, totalStarts);
}

function formatSeconds(seconds: number | undefined): string {
	return seconds === undefined ? 'never' : `${seconds.toFixed(1)} s`;
}

