/**
 * One rollout in simulated time: by the product, with the nodes' own code and
 * evidence path, or by a baseline. All see the same traffic and versions.
 */
import {
	type Random, createManualClock, createRandom, millisecondsPerSecond,
} from '@catkindale/common';
import {
	type RetryBudgets, type VersionChoice, type VersionChooser, createRetryBudgets, createVersionChooser,
} from '@catkindale/node';
import {
	type Configuration, type Route, type Target, configurationSchema,
} from '@catkindale/policy';
import {createRolloutFleet} from './rollout-fleet.js';
import {
	type ServedRequest, type VersionKind, type VersionModel, createVersionModel, unsafeRoute,
} from './rollout-versions.js';

export const rolloutMethods = ['catkindale', 'fixed steps by the clock', 'error-rate threshold alone'] as const;
export type RolloutMethod = typeof rolloutMethods[number];

export type TrialOptions = {
	readonly kind: VersionKind;
	readonly method: RolloutMethod;
	readonly seed: number;
	readonly minutes: number;
	readonly requestsPerSecond?: number;
};

export type TrialResult = {
	readonly end: 'done' | 'reverted';
	readonly isInTime: boolean;
	/** Attempts at the new version that failed or were slow because of it. */
	readonly harmed: number;
	/** Callers without a good answer after the retries that their requests allow, or with a slow one. */
	readonly callersHarmed: number;
	/** The part of all requests that the new version got. */
	readonly newPart: number;
	readonly largestShare: number;
	/** From the first harmed request to the last request of the new version; undefined without both. */
	readonly secondsToZero: number | undefined;
};

type World = {
	readonly random: Random;
	readonly requestsPerSecond: number;
	readonly model: VersionModel;
	readonly configuration: Configuration;
	readonly oldTargets: readonly Target[];
	readonly newTargets: readonly Target[];
	harmed: number;
	callersHarmed: number;
	requests: number;
	newRequests: number;
	firstHarmedAt: number | undefined;
	lastNewAt: number;
};

const nodeCount = 3;
const instanceCount = 20;
const usualRequestsPerSecond = 100;
const pulseMilliseconds = 100;
const tickMilliseconds = 500;
/** Sums of the routes' shares of the requests; requests of the last route may not be repeated. */
const routeShares = [0.6, 0.8, 0.9, 1];
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

function createWorld({kind, seed, requestsPerSecond = usualRequestsPerSecond}: TrialOptions, deadlineAt: number): World {
	const random = createRandom(seed);
	const targets = ['1', '2'].flatMap(version => Array.from({length: instanceCount}, (_, index) => ({
		name: `pricing-${version}-${index}`, service: 'pricing', version, region: 'oslo', zone: 'oslo-a', address: '127.0.0.1:1', slots: 4,
	})));
	const configuration = configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: routeShares.map((_, index) => ({
			service: 'pricing', method: 'GET', path: `/route-${index}`, idempotent: index !== unsafeRoute,
		})),
		targets,
		rollouts: [{
			name: 'pricing-2', service: 'pricing', from: '1', to: '2', deadline: new Date(deadlineAt).toISOString(),
		}],
	});
	return {
		random,
		requestsPerSecond,
		model: createVersionModel(kind, random, deadlineAt, requestsPerSecond / instanceCount),
		configuration,
		oldTargets: configuration.targets.filter(target => target.version === '1'),
		newTargets: configuration.targets.filter(target => target.version === '2'),
		harmed: 0,
		callersHarmed: 0,
		requests: 0,
		newRequests: 0,
		firstHarmedAt: undefined,
		lastNewAt: 0,
	};
}

type Entry = {
	readonly chooser: VersionChooser;
	readonly retries: RetryBudgets;
	readonly choose: (route: Route) => VersionChoice;
	readonly chooseForRetry: () => string | undefined;
};

type Answered = {readonly served: ServedRequest; readonly target: Target; readonly route: Route; readonly choice: VersionChoice};

/** Sends one request through an entry, with a retry where the request allows one, and counts what it did. */
function sendRequest(world: World, entry: Entry, now: number): Answered {
	const draw = world.random.fraction();
	const route = world.configuration.routes[routeShares.findIndex(share => draw < share)]!;
	const choice = entry.choose(route);
	const {served, target, isNew} = serve(world, entry, {route, version: choice.version, now});
	world.requests += 1;
	if (isNew) {
		world.newRequests += 1;
		world.lastNewAt = now;
		world.harmed += served.isHarmed ? 1 : 0;
		world.firstHarmedAt ??= served.isHarmed ? now : undefined;
	}

	if (served.result.kind === 'answered') {
		entry.retries.recordSuccess(route.service);
	}

	world.callersHarmed += served.isHarmed && !isMended(world, entry, {route, served, now}) ? 1 : 0;
	return {
		served, target, route, choice,
	};
}

/** Whether a retry gave the caller a good answer after all. */
function isMended(world: World, entry: Entry, {route, served, now}: {route: Route; served: ServedRequest; now: number}): boolean {
	if (served.result.kind === 'answered' || !route.idempotent || !entry.retries.takeRetry(route.service)) {
		return false;
	}

	const retried = serve(world, entry, {route, version: entry.chooseForRetry(), now});
	return retried.served.result.kind === 'answered' && !retried.served.isHarmed;
}

function serve(world: World, {chooser}: Entry, {route, version, now}: {route: Route; version: string | undefined; now: number}): {served: ServedRequest; target: Target; isNew: boolean} {
	const isNew = version === '2';
	const candidates = isNew ? chooser.filterTargets('pricing', world.newTargets) : world.oldTargets;
	const target = candidates[world.random.integer(0, candidates.length - 1)]!;
	const served = world.model.serve({
		isNew, instance: target.name, route: world.configuration.routes.indexOf(route), now,
	});
	return {served, target, isNew};
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
	const entries = fleet.nodes.map(({chooser}): Entry => ({
		chooser,
		retries: createRetryBudgets(),
		choose: route => chooser.chooseForRoute(route),
		chooseForRetry: () => chooser.chooseForRetry('pricing'),
	}));
	const {pauseMilliseconds, perPulse} = getPulse(world);
	let sent = 0;
	const pulse = (): void => {
		for (let index = 0; index < perPulse; index++) {
			const place = sent % nodeCount;
			sent += 1;
			const {served, target, route, choice} = sendRequest(world, entries[place]!, fleet.now());
			// Results come in only once they are there.
			fleet.schedule(served.result.milliseconds, () => {
				choice.recordOutcome(served.result.kind === 'answered' ? 'good' : 'failed');
				fleet.nodes[place]!.task.collector?.recordAttempt(route, target, served.result, fleet.now());
			});
		}

		fleet.schedule(pauseMilliseconds, pulse);
	};

	fleet.schedule(0, pulse);
	while (fleet.now() < deadlineAt && seen.endedAt === Infinity) {
		await fleet.runUntil(fleet.now() + millisecondsPerSecond);
	}

	await fleet.runUntil(fleet.now() + settleMilliseconds);
	const end = fleet.getRow()?.phase === 'done' ? 'done' : 'reverted';
	return getResult(world, end, seen.endedAt <= deadlineAt, seen.largestShare);
}

/** How many requests come at a time, and how often. */
function getPulse({requestsPerSecond}: World): {readonly pauseMilliseconds: number; readonly perPulse: number} {
	const perPulse = Math.max(1, Math.round(requestsPerSecond * pulseMilliseconds / millisecondsPerSecond));
	return {perPulse, pauseMilliseconds: perPulse * millisecondsPerSecond / requestsPerSecond};
}

function runBaseline(world: World, deadlineAt: number, hasThreshold: boolean): TrialResult {
	const clock = createManualClock();
	const chooser = createVersionChooser(clock);
	chooser.setConfiguration(world.configuration);
	const choose = (): string | undefined => chooser.choose('pricing');
	const entry: Entry = {
		chooser,
		retries: createRetryBudgets(),
		choose: () => ({version: choose(), recordOutcome: () => undefined}),
		chooseForRetry: choose,
	};
	const {pauseMilliseconds, perPulse} = getPulse(world);
	const recent: Array<{at: number; isFailed: boolean}> = [];
	const endAt = deadlineAt * baselineEnd;
	let largestShare = 0;
	let failures = 0;
	for (let now = 0; now < endAt; now += pauseMilliseconds) {
		const share = (Math.floor(now / endAt * baselineSteps) + 1) / baselineSteps;
		chooser.setShare({service: 'pricing', version: '2', share});
		largestShare = Math.max(largestShare, share);
		for (let index = 0; index < perPulse; index++) {
			const {served, choice} = sendRequest(world, entry, now);
			if (choice.version === '2') {
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

		clock.advance(pauseMilliseconds);
	}

	return getResult(world, 'done', true, largestShare);
}

function getResult(world: World, end: TrialResult['end'], isInTime: boolean, largestShare: number): TrialResult {
	const {
		firstHarmedAt, lastNewAt, harmed, callersHarmed, requests, newRequests,
	} = world;
	const isZero = end === 'reverted' && firstHarmedAt !== undefined;
	return {
		end, isInTime, harmed, callersHarmed, newPart: newRequests / requests, largestShare, secondsToZero: isZero ? (lastNewAt - firstHarmedAt) / millisecondsPerSecond : undefined,
	};
}
