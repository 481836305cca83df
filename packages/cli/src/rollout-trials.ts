/**
 * Runs one rollout in simulated time, either by the product, with the code of
 * the nodes and their collection of evidence, or by a baseline. All methods get
 * the same traffic and the same kinds of versions.
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
	/** Attempts at the new version that failed or were slow because the version is bad. */
	readonly harmed: number;
	/** Callers that got no successful response after the allowed retries, or a slow one, because the version is bad. */
	readonly callersHarmed: number;
	/** Share of all requests that the new version received. */
	readonly newShare: number;
	/** Largest share of the traffic that the rollout assigned to the new version. */
	readonly maximumShare: number;
	/** From the first harmed request to the last request at the new version; undefined unless a request was harmed and the rollout was reverted. */
	readonly secondsToZero: number | undefined;
};

type TrialState = {
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
	lastNewRequestAt: number;
};

const nodeCount = 3;
const instanceCount = 20;
const defaultRequestsPerSecond = 100;
const minimumPulseMilliseconds = 100;
const tickMilliseconds = 500;
/** Cumulative shares of the routes in the traffic; requests of the last route must not be repeated. */
const cumulativeRouteShares = [0.6, 0.8, 0.9, 1];
const millisecondsPerMinute = 60 * millisecondsPerSecond;
const baselineStepCount = 10;
const baselineEndFraction = 0.85;
const thresholdFailureFraction = 0.05;
const thresholdWindowMilliseconds = 10 * millisecondsPerSecond;
const minimumThresholdSamples = 50;
const settleMilliseconds = 5 * millisecondsPerSecond;

export async function runTrial(options: TrialOptions): Promise<TrialResult> {
	const deadlineAt = options.minutes * millisecondsPerMinute;
	const state = createTrialState(options, deadlineAt);
	switch (options.method) {
		case 'catkindale': {
			return runProductTrial(state, options.seed, deadlineAt);
		}

		case 'fixed steps by the clock': {
			return runBaselineTrial(state, deadlineAt, false);
		}

		case 'error-rate threshold alone': {
			return runBaselineTrial(state, deadlineAt, true);
		}
	}
}

function createTrialState({kind, seed, requestsPerSecond = defaultRequestsPerSecond}: TrialOptions, deadlineAt: number): TrialState {
	const random = createRandom(seed);
	const targets = ['1', '2'].flatMap(version => Array.from({length: instanceCount}, (_, index) => ({
		name: `pricing-${version}-${index}`, service: 'pricing', version, region: 'oslo', zone: 'oslo-a', address: '127.0.0.1:1', slots: 4,
	})));
	const configuration = configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: cumulativeRouteShares.map((_, index) => ({
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
		lastNewRequestAt: 0,
	};
}

type Entry = {
	readonly chooser: VersionChooser;
	readonly retries: RetryBudgets;
	readonly choose: (route: Route) => VersionChoice;
	readonly chooseForRetry: () => string | undefined;
};

type SentRequest = {readonly served: ServedRequest; readonly target: Target; readonly route: Route; readonly choice: VersionChoice};

/** Sends one request through an entry, retries it if that is allowed and needed, and counts the results. */
function sendRequest(state: TrialState, entry: Entry, now: number): SentRequest {
	const routeDraw = state.random.fraction();
	const route = state.configuration.routes[cumulativeRouteShares.findIndex(share => routeDraw < share)]!;
	const choice = entry.choose(route);
	const {served, target, isNew} = serve(state, entry, {route, version: choice.version, now});
	state.requests += 1;
	if (isNew) {
		state.newRequests += 1;
		state.lastNewRequestAt = now;
		state.harmed += served.isHarmed ? 1 : 0;
		state.firstHarmedAt ??= served.isHarmed ? now : undefined;
	}

	if (served.result.kind === 'answered') {
		entry.retries.recordSuccess(route.service);
	}

	state.callersHarmed += served.isHarmed && !isServedByRetry(state, entry, {route, served, now}) ? 1 : 0;
	return {
		served, target, route, choice,
	};
}

/** Whether a retry is allowed and gives the caller a successful response that isn't slow. */
function isServedByRetry(state: TrialState, entry: Entry, {route, served, now}: {route: Route; served: ServedRequest; now: number}): boolean {
	if (served.result.kind === 'answered' || !route.idempotent || !entry.retries.takeRetry(route.service)) {
		return false;
	}

	const retry = serve(state, entry, {route, version: entry.chooseForRetry(), now});
	return retry.served.result.kind === 'answered' && !retry.served.isHarmed;
}

function serve(state: TrialState, {chooser}: Entry, {route, version, now}: {route: Route; version: string | undefined; now: number}): {served: ServedRequest; target: Target; isNew: boolean} {
	const isNew = version === '2';
	const candidates = isNew ? chooser.filterTargets('pricing', state.newTargets) : state.oldTargets;
	const target = candidates[state.random.integer(0, candidates.length - 1)]!;
	const served = state.model.serve({
		isNew, instance: target.name, route: state.configuration.routes.indexOf(route), now,
	});
	return {served, target, isNew};
}

async function runProductTrial(state: TrialState, seed: number, deadlineAt: number): Promise<TrialResult> {
	const observed = {maximumShare: 0, endedAt: Infinity};
	const fleet = createRolloutFleet({
		random: createRandom(seed + 1),
		nodeCount,
		configuration: state.configuration,
		rollout: 'pricing-2',
		tickMilliseconds,
		onRow(row, at) {
			observed.maximumShare = Math.max(observed.maximumShare, row.phase === 'running' ? row.shares[row.step] ?? 0 : 0);
			observed.endedAt = row.phase === 'done' || row.phase === 'reverted' ? at : Infinity;
		},
		onTick: () => undefined,
	});
	fleet.faults.maximumMessageLagMilliseconds = tickMilliseconds;
	const entries = fleet.nodes.map(({chooser}): Entry => ({
		chooser,
		retries: createRetryBudgets(),
		choose: route => chooser.chooseForRoute(route),
		chooseForRetry: () => chooser.chooseForRetry('pricing'),
	}));
	const {pulseIntervalMilliseconds, requestsPerPulse} = getPulseOptions(state);
	let sent = 0;
	const sendPulse = (): void => {
		for (let index = 0; index < requestsPerPulse; index++) {
			const nodeIndex = sent % nodeCount;
			sent += 1;
			const {served, target, route, choice} = sendRequest(state, entries[nodeIndex]!, fleet.now());
			// A result is recorded only at the simulated time at which the request ends.
			fleet.schedule(served.result.milliseconds, () => {
				choice.recordOutcome(served.result.kind === 'answered' ? 'good' : 'failed');
				fleet.nodes[nodeIndex]!.task.collector?.recordAttempt(route, target, served.result, fleet.now());
			});
		}

		fleet.schedule(pulseIntervalMilliseconds, sendPulse);
	};

	fleet.schedule(0, sendPulse);
	while (fleet.now() < deadlineAt && observed.endedAt === Infinity) {
		await fleet.runUntil(fleet.now() + millisecondsPerSecond);
	}

	await fleet.runUntil(fleet.now() + settleMilliseconds);
	const end = fleet.getRow()?.phase === 'done' ? 'done' : 'reverted';
	return getResult(state, end, observed.endedAt <= deadlineAt, observed.maximumShare);
}

/** Number of requests that are sent at once, and the interval between two such pulses. */
function getPulseOptions({requestsPerSecond}: TrialState): {readonly pulseIntervalMilliseconds: number; readonly requestsPerPulse: number} {
	const requestsPerPulse = Math.max(1, Math.round(requestsPerSecond * minimumPulseMilliseconds / millisecondsPerSecond));
	return {requestsPerPulse, pulseIntervalMilliseconds: requestsPerPulse * millisecondsPerSecond / requestsPerSecond};
}

function runBaselineTrial(state: TrialState, deadlineAt: number, hasErrorThreshold: boolean): TrialResult {
	const clock = createManualClock();
	const chooser = createVersionChooser(clock);
	chooser.setConfiguration(state.configuration);
	const choose = (): string | undefined => chooser.choose('pricing');
	const entry: Entry = {
		chooser,
		retries: createRetryBudgets(),
		choose: () => ({version: choose(), recordOutcome: () => undefined}),
		chooseForRetry: choose,
	};
	const {pulseIntervalMilliseconds, requestsPerPulse} = getPulseOptions(state);
	const recentResults: Array<{at: number; isFailed: boolean}> = [];
	const baselineEndsAt = deadlineAt * baselineEndFraction;
	let maximumShare = 0;
	let recentFailures = 0;
	for (let now = 0; now < baselineEndsAt; now += pulseIntervalMilliseconds) {
		const share = (Math.floor(now / baselineEndsAt * baselineStepCount) + 1) / baselineStepCount;
		chooser.setShare({service: 'pricing', version: '2', share});
		maximumShare = Math.max(maximumShare, share);
		for (let index = 0; index < requestsPerPulse; index++) {
			const {served, choice} = sendRequest(state, entry, now);
			if (choice.version === '2') {
				const isFailed = served.result.kind === 'failed';
				recentResults.push({at: now, isFailed});
				recentFailures += isFailed ? 1 : 0;
			}
		}

		while ((recentResults[0]?.at ?? Infinity) < now - thresholdWindowMilliseconds) {
			recentFailures -= recentResults.shift()?.isFailed ? 1 : 0;
		}

		if (hasErrorThreshold && recentResults.length >= minimumThresholdSamples && recentFailures > recentResults.length * thresholdFailureFraction) {
			return getResult(state, 'reverted', true, maximumShare);
		}

		clock.advance(pulseIntervalMilliseconds);
	}

	return getResult(state, 'done', true, maximumShare);
}

function getResult(state: TrialState, end: TrialResult['end'], isInTime: boolean, maximumShare: number): TrialResult {
	const {
		firstHarmedAt, lastNewRequestAt, harmed, callersHarmed, requests, newRequests,
	} = state;
	const hasTimeToZero = end === 'reverted' && firstHarmedAt !== undefined;
	return {
		end, isInTime, harmed, callersHarmed, newShare: newRequests / requests, maximumShare, secondsToZero: hasTimeToZero ? (lastNewRequestAt - firstHarmedAt) / millisecondsPerSecond : undefined,
	};
}
