/** Kinds of new versions, good and bad, and how they answer one request in simulated time. */
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
	/** Answers a request of a route at an instance; times in milliseconds of simulated time. */
	serve: (request: {readonly isNew: boolean; readonly instance: string; readonly route: number; readonly now: number}) => ServedRequest;
};

type Trouble = {readonly failureShare: number; readonly slowdown: number};
type Instance = {firstAt: number; secondStartedAt: number; inSecond: number; lastSecond: number; noisyUntil: number; nextNoiseAt: number};
type Moment = {readonly age: number; readonly load: number; readonly route: number; readonly elapsed: number};

const medianMilliseconds = 40;
const spread = 0.4;
const noisySpread = 0.7;
const noiseSlowdown = 4;
const noiseEveryMilliseconds = 60_000;
const noiseLastsMilliseconds = 1500;
const coldMilliseconds = 8000;
const coldSlowdown = 4;
const harmfulSlowdown = 1.5;
/** Failures of every version, old or new, that say nothing about it. */
const commonFailureShare = 0.005;
const none: Trouble = {failureShare: 0, slowdown: 1};
const weakRoute = 2;
/** The route whose requests may not be repeated. */
export const unsafeRoute = 3;

export function isGoodKind(kind: VersionKind): boolean {
	return kind.startsWith('good');
}

/**
 * @param durationMilliseconds from the start of the rollout to its deadline
 * @param fullLoad requests per second that one instance bears after the rollout
 */
export function createVersionModel(kind: VersionKind, random: Random, durationMilliseconds: number, fullLoad: number): VersionModel {
	const instances = new Map<string, Instance>();
	const failsFrom = durationMilliseconds * (0.1 + (0.4 * random.fraction()));

	const getTrouble = ({age, load, route, elapsed}: Moment): Trouble => {
		switch (kind) {
			case 'good':
			case 'good with noisy latency':
			case 'good but cold at first': {
				return none;
			}

			case 'failing at once': {
				return {failureShare: 0.3, slowdown: 1};
			}

			case 'slow at once': {
				return {failureShare: 0, slowdown: 3};
			}

			case 'failing after a while': {
				return elapsed >= failsFrom ? {failureShare: 0.4, slowdown: 1} : none;
			}

			case 'failing only under load': {
				return load > 0.7 * fullLoad ? {failureShare: 0.5, slowdown: 2} : none;
			}

			case 'failing on one route only': {
				return route === weakRoute ? {failureShare: 0.8, slowdown: 1} : none;
			}

			case 'failing on the unsafe route': {
				return route === unsafeRoute ? {failureShare: 0.8, slowdown: 1} : none;
			}

			case 'slowly leaking': {
				return {failureShare: 0, slowdown: 1 + (5 * age / (durationMilliseconds / 2))};
			}
		}
	};

	return {
		serve({isNew, instance: name, route, now}) {
			const instance = instances.get(name) ?? createInstance(random, now);
			instances.set(name, instance);
			countRequest(instance, now);
			const age = now - instance.firstAt;
			const trouble = isNew
				? getTrouble({
					age, load: instance.lastSecond, route, elapsed: now,
				})
				: none;
			const isCold = isNew && kind === 'good but cold at first' && age < coldMilliseconds;
			const isNoisy = kind === 'good with noisy latency';
			const noise = isNoisy && isInNoise(instance, random, now) ? noiseSlowdown : 1;
			const latency = drawLatency(random, isNoisy ? noisySpread : spread) * trouble.slowdown * noise * (isCold ? coldSlowdown : 1);
			const isFailed = random.fraction() < trouble.failureShare;
			const isCommonFailure = random.fraction() < commonFailureShare;
			return {
				result: {kind: isFailed || isCommonFailure ? 'failed' : 'answered', milliseconds: latency},
				isHarmed: isFailed || trouble.slowdown >= harmfulSlowdown,
			};
		},
	};
}

function createInstance(random: Random, now: number): Instance {
	return {
		firstAt: now, secondStartedAt: now, inSecond: 0, lastSecond: 0, noisyUntil: 0, nextNoiseAt: now + (random.fraction() * noiseEveryMilliseconds),
	};
}

/** Counts the requests of the last whole second, the instance's load. */
function countRequest(instance: Instance, now: number): void {
	const seconds = Math.floor((now - instance.secondStartedAt) / millisecondsPerSecond);
	if (seconds > 0) {
		instance.lastSecond = instance.inSecond / seconds;
		instance.inSecond = 0;
		instance.secondStartedAt += seconds * millisecondsPerSecond;
	}

	instance.inSecond += 1;
}

/** Each instance is slow for a moment now and then, whatever its version. */
function isInNoise(instance: Instance, random: Random, now: number): boolean {
	if (now >= instance.nextNoiseAt) {
		instance.noisyUntil = now + noiseLastsMilliseconds;
		instance.nextNoiseAt = now + (2 * random.fraction() * noiseEveryMilliseconds);
	}

	return now < instance.noisyUntil;
}

/** A log-normal latency by the method of Box and Muller. */
function drawLatency(random: Random, deviation: number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
	return medianMilliseconds * Math.exp(deviation * radius * Math.cos(2 * Math.PI * random.fraction()));
}
