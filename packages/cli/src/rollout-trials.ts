/**
 * One rollout in simulated time: by the product, with the nodes' own code and
 * evidence path, or by a baseline. All see the same traffic and versions.
 */
import {
	type Random, createManualClock, createRandom, millisecondsPerSecond,
} from '@catkindale/common';
import {type VersionChooser, createVersionChooser} from '@catkindale/node';
import {type Configuration, type Target, configurationSchema} from '@catkindale/policy';
import {createRolloutFleet} from './rollout-fleet.js';
import {
	type ServedRequest, type VersionKind, type VersionModel, createVersionModel,
} from './rollout-versions.js';

export const rolloutMethods = ['catkindale', 'fixed steps by the clock', 'error-rate threshold alone'] as const;
export type RolloutMethod = typeof rolloutMethods[number];

export type TrialOptions = {readonly kind: VersionKind; readonly method: RolloutMethod; readonly seed: number; readonly minutes: number};

export type TrialResult = {
	readonly end: 'done' | 'reverted';
	readonly isInTime: boolean;
	readonly harmed: number;
	readonly largestShare: number;
	/** From the first harmed request to the last request of the new version; undefined without both. */
	readonly secondsToZero: number | undefined;
};

type World = {
	readonly random: Random;
	readonly model: VersionModel;
	readonly configuration: Configuration;
	readonly oldTargets: readonly Target[];
	readonly newTargets: readonly Target[];
	harmed: number;
	firstHarmedAt: number | undefined;
	lastNewAt: number;
};

const nodeCount = 3;
const instanceCount = 20;
const requestsPerSecond = 100;
const pulseMilliseconds = 100;
const tickMilliseconds = 500;
const routeShares = [0.7, 0.9, 1];
const millisecondsPerMinute = 60 * millisecondsPerSecond;
const baselineSteps = 10;
const baselineEnd = 0.85;
const thresholdRate = 0.05;
const thresholdWindowMilliseconds = 10 * millisecondsPerSecond;
const thresholdSample = 50;
const settleMilliseconds = 5 * millisecondsPerSecond;

export async function runTrial(options: TrialOptions): Promise<TrialResult> {
	const deadlineAt = options.minutes * millisecondsPerMinute;
	const world = createWorld(options, deadlineAt);
	switch (options.method) {
		case 'catkindale': {
			return runProduct(world, options.seed, deadlineAt);
		}

		case 'fixed steps by the clock': {
			return runBaseline(world, deadlineAt, false);
		}

		case 'error-rate threshold alone': {
			return runBaseline(world, deadlineAt, true);
		}
	}
}

function createWorld({kind, seed}: TrialOptions, deadlineAt: number): World {
	const random = createRandom(seed);
	const targets = ['1', '2'].flatMap(version => Array.from({length: instanceCount}, (_, index) => ({
		name: `pricing-${version}-${index}`, service: 'pricing', version, region: 'oslo', zone: 'oslo-a', address: '127.0.0.1:1', slots: 4,
	})));
	const configuration = configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: routeShares.map((_, index) => ({
			service: 'pricing', method: 'GET', path: `/route-${index}`, idempotent: true,
		})),
		targets,
		rollouts: [{
			name: 'pricing-2', service: 'pricing', from: '1', to: '2', deadline: new Date(deadlineAt).toISOString(),
		}],
	});
	return {
		random,
		model: createVersionModel(kind, random, deadlineAt, requestsPerSecond / instanceCount),
		configuration,
		oldTargets: configuration.targets.filter(target => target.version === '1'),
		newTargets: configuration.targets.filter(target => target.version === '2'),
		harmed: 0,
		firstHarmedAt: undefined,
		lastNewAt: 0,
	};
}

type Answered = {readonly served: ServedRequest; readonly target: Target; readonly route: number; readonly isNew: boolean};

/** Sends one request through a node's chooser and counts what it did. */
function sendRequest(world: World, chooser: VersionChooser, now: number): Answered {
	const {random} = world;
	const isNew = chooser.choose('pricing') === '2';
	const candidates = isNew ? chooser.filterTargets('pricing', world.newTargets) : world.oldTargets;
	const target = candidates[random.integer(0, candidates.length - 1)]!;
	const draw = random.fraction();
	const route = routeShares.findIndex(share => draw < share);
	const served = world.model.serve({
		isNew, instance: target.name, route, now,
	});
	if (isNew) {
		world.lastNewAt = now;
		world.harmed += served.isHarmed ? 1 : 0;
		world.firstHarmedAt ??= served.isHarmed ? now : undefined;
	}

	return {
		served, target, route, isNew,
	};
}

async function runProduct(world: World, seed: number, deadlineAt: number): Promise<TrialResult> {
	const seen = {largestShare: 0, endedAt: Infinity};
	const fleet = createRolloutFleet({
		random: createRandom(seed + 1),
		nodes: nodeCount,
		configuration: world.configuration,
		rollout: 'pricing-2',
		tickMilliseconds,
		onRow(row, at) {
			seen.largestShare = Math.max(seen.largestShare, row.phase === 'running' ? row.shares[row.step] ?? 0 : 0);
			seen.endedAt = row.phase === 'done' || row.phase === 'reverted' ? at : Infinity;
		},
		onTick: () => undefined,
	});
	fleet.faults.longestMessageLag = tickMilliseconds;
	const perPulse = requestsPerSecond * pulseMilliseconds / millisecondsPerSecond;
	let sent = 0;
	const pulse = (): void => {
		for (let index = 0; index < perPulse; index++) {
			const node = fleet.nodes[sent % nodeCount]!;
			sent += 1;
			const {served, target, route} = sendRequest(world, node.chooser, fleet.now());
			// Results come in only once they are there.
			fleet.schedule(served.result.milliseconds, () => {
				node.task.collector?.add(world.configuration.routes[route]!, target, served.result, fleet.now());
			});
		}

		fleet.schedule(pulseMilliseconds, pulse);
	};

	fleet.schedule(0, pulse);
	while (fleet.now() < deadlineAt && seen.endedAt === Infinity) {
		await fleet.runUntil(fleet.now() + millisecondsPerSecond);
	}

	await fleet.runUntil(fleet.now() + settleMilliseconds);
	const end = fleet.getRow()?.phase === 'done' ? 'done' : 'reverted';
	return getResult(world, end, seen.endedAt <= deadlineAt, seen.largestShare);
}

function runBaseline(world: World, deadlineAt: number, hasThreshold: boolean): TrialResult {
	const clock = createManualClock();
	const chooser = createVersionChooser(clock);
	chooser.setConfiguration(world.configuration);
	const recent: Array<{at: number; isFailed: boolean}> = [];
	const endAt = deadlineAt * baselineEnd;
	let largestShare = 0;
	let failures = 0;
	for (let now = 0; now < endAt; now += pulseMilliseconds) {
		const share = (Math.floor(now / endAt * baselineSteps) + 1) / baselineSteps;
		chooser.setShare({service: 'pricing', version: '2', share});
		largestShare = Math.max(largestShare, share);
		for (let index = 0; index < requestsPerSecond * pulseMilliseconds / millisecondsPerSecond; index++) {
			const {served, isNew} = sendRequest(world, chooser, now);
			if (isNew) {
				const isFailed = served.result.kind === 'failed';
				recent.push({at: now, isFailed});
				failures += isFailed ? 1 : 0;
			}
		}

		while ((recent[0]?.at ?? Infinity) < now - thresholdWindowMilliseconds) {
			failures -= recent.shift()?.isFailed ? 1 : 0;
		}

		if (hasThreshold && recent.length >= thresholdSample && failures > recent.length * thresholdRate) {
			return getResult(world, 'reverted', true, largestShare);
		}

		clock.advance(pulseMilliseconds);
	}

	return getResult(world, 'done', true, largestShare);
}

function getResult(world: World, end: TrialResult['end'], isInTime: boolean, largestShare: number): TrialResult {
	const {firstHarmedAt, lastNewAt, harmed} = world;
	const isZero = end === 'reverted' && firstHarmedAt !== undefined;
	return {
		end, isInTime, harmed, largestShare, secondsToZero: isZero ? (lastNewAt - firstHarmedAt) / millisecondsPerSecond : undefined,
	};
}
