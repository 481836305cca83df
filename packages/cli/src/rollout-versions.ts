/** Kinds of new versions, good and bad, and a model of how their instances serve requests in simulated time. */
import {type Random, millisecondsPerSecond} from '@catkindale/common';
import type {AttemptResult} from '@catkindale/node';

export const versionKinds = [
	'good',
	'good but cold at first',
	'good with noisy latency',
	'failing at once',
	'slow at once',
	'failing after a while',
	'failing only under load',
	'failing on one route only',
	'failing on the unsafe route',
	'slowly leaking',
] as const;

export type VersionKind = typeof versionKinds[number];

export type ServedRequest = {
	readonly result: AttemptResult;
	/** Failed or slow because the version is bad. */
	readonly isHarmed: boolean;
};

export type VersionModel = {
	/** Serves a request of a route at an instance; `now` in milliseconds of simulated time since the start of the rollout. */
	serve: (request: {readonly isNew: boolean; readonly instance: string; readonly route: number; readonly now: number}) => ServedRequest;
};

type Degradation = {readonly failureFraction: number; readonly slowdown: number};
type Instance = {firstRequestAt: number; secondStartedAt: number; requestsInSecond: number; requestsInLastSecond: number; noisyUntil: number; nextNoiseAt: number};
type RequestContext = {readonly instanceAgeMilliseconds: number; readonly requestsPerSecond: number; readonly route: number; readonly elapsedMilliseconds: number};

const medianLatencyMilliseconds = 40;
const latencyDeviation = 0.4;
const noisyLatencyDeviation = 0.7;
const noiseSlowdown = 4;
const noiseIntervalMilliseconds = 60_000;
const noiseDurationMilliseconds = 1500;
const coldMilliseconds = 8000;
const coldSlowdown = 4;
const harmfulSlowdown = 1.5;
/** Failures of every version, old or new, that aren't caused by the version. */
const backgroundFailureFraction = 0.005;
const noDegradation: Degradation = {failureFraction: 0, slowdown: 1};
const faultyRoute = 2;
/** Index of the route whose requests must not be repeated. */
export const unsafeRoute = 3;

export function isGoodKind(kind: VersionKind): boolean {
	return kind.startsWith('good');
}

/**
 * Creates a model of the old version and of a new version of the given kind.
 * @param durationMilliseconds from the start of the rollout to its deadline
 * @param fullLoadPerSecond requests per second of one instance after the rollout
 */
export function createVersionModel(kind: VersionKind, random: Random, durationMilliseconds: number, fullLoadPerSecond: number): VersionModel {
	const instances = new Map<string, Instance>();
	const failuresStartAt = durationMilliseconds * (0.1 + (0.4 * random.fraction()));

	const getDegradation = ({instanceAgeMilliseconds, requestsPerSecond, route, elapsedMilliseconds}: RequestContext): Degradation => {
		switch (kind) {
			case 'good':
			case 'good with noisy latency':
			case 'good but cold at first': {
				return noDegradation;
			}

			case 'failing at once': {
				return {failureFraction: 0.3, slowdown: 1};
			}

			case 'slow at once': {
				return {failureFraction: 0, slowdown: 3};
			}

			case 'failing after a while': {
				return elapsedMilliseconds >= failuresStartAt ? {failureFraction: 0.4, slowdown: 1} : noDegradation;
			}

			case 'failing only under load': {
				return requestsPerSecond > 0.7 * fullLoadPerSecond ? {failureFraction: 0.5, slowdown: 2} : noDegradation;
			}

			case 'failing on one route only': {
				return route === faultyRoute ? {failureFraction: 0.8, slowdown: 1} : noDegradation;
			}

			case 'failing on the unsafe route': {
				return route === unsafeRoute ? {failureFraction: 0.8, slowdown: 1} : noDegradation;
			}

			case 'slowly leaking': {
				return {failureFraction: 0, slowdown: 1 + (5 * instanceAgeMilliseconds / (durationMilliseconds / 2))};
			}
		}
	};

	return {
		serve({isNew, instance: name, route, now}) {
			const instance = instances.get(name) ?? createInstance(random, now);
			instances.set(name, instance);
			countRequest(instance, now);
			const instanceAgeMilliseconds = now - instance.firstRequestAt;
			const degradation = isNew
				? getDegradation({
					instanceAgeMilliseconds, requestsPerSecond: instance.requestsInLastSecond, route, elapsedMilliseconds: now,
				})
				: noDegradation;
			const isCold = isNew && kind === 'good but cold at first' && instanceAgeMilliseconds < coldMilliseconds;
			const isNoisy = kind === 'good with noisy latency';
			const noiseFactor = isNoisy && isInNoisePeriod(instance, random, now) ? noiseSlowdown : 1;
			const latencyMilliseconds = drawLatency(random, isNoisy ? noisyLatencyDeviation : latencyDeviation) * degradation.slowdown * noiseFactor * (isCold ? coldSlowdown : 1);
			const isFailedByVersion = random.fraction() < degradation.failureFraction;
			const isBackgroundFailure = random.fraction() < backgroundFailureFraction;
			return {
				result: {kind: isFailedByVersion || isBackgroundFailure ? 'failed' : 'answered', milliseconds: latencyMilliseconds},
				isHarmed: isFailedByVersion || degradation.slowdown >= harmfulSlowdown,
			};
		},
	};
}

function createInstance(random: Random, now: number): Instance {
	return {
		firstRequestAt: now, secondStartedAt: now, requestsInSecond: 0, requestsInLastSecond: 0, noisyUntil: 0, nextNoiseAt: now + (random.fraction() * noiseIntervalMilliseconds),
	};
}

/** Counts the request, and updates the instance's load, the requests of the last full second. */
function countRequest(instance: Instance, now: number): void {
	const elapsedSeconds = Math.floor((now - instance.secondStartedAt) / millisecondsPerSecond);
	if (elapsedSeconds > 0) {
		instance.requestsInLastSecond = instance.requestsInSecond / elapsedSeconds;
		instance.requestsInSecond = 0;
		instance.secondStartedAt += elapsedSeconds * millisecondsPerSecond;
	}

	instance.requestsInSecond += 1;
}

/** Whether the instance is in one of its random short periods of slowness, which occur in both the old and the new version. */
function isInNoisePeriod(instance: Instance, random: Random, now: number): boolean {
	if (now >= instance.nextNoiseAt) {
		instance.noisyUntil = now + noiseDurationMilliseconds;
		instance.nextNoiseAt = now + (2 * random.fraction() * noiseIntervalMilliseconds);
	}

	return now < instance.noisyUntil;
}

/** Draws a log-normal latency in milliseconds with the Box-Muller method. */
function drawLatency(random: Random, standardDeviation: number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
	return medianLatencyMilliseconds * Math.exp(standardDeviation * radius * Math.cos(2 * Math.PI * random.fraction()));
}
