/**
 * What one node has observed of one target by its own attempts, and what
 * follows for the target's share of the slots. A report of the target itself
 * can only lower that share.
 *
 * Latency and failures are exponentially weighted moving averages. Failing
 * targets are cut off and probed by a circuit breaker (Nygard, "Release It!",
 * 2007).
 */
import type {AttemptKind} from './attempt.js';

export type Circuit
	= | {readonly kind: 'closed'}
	/** Takes no work until the time is reached. */
		| {readonly kind: 'open'; readonly until: number; readonly pause: number}
	/** One probe is under way. */
		| {readonly kind: 'half-open'; readonly pause: number};

export type TargetHealth = {
	/** Milliseconds that a request takes; undefined before the first answer. */
	readonly latency: number | undefined;
	readonly latencyUpdatedAt: number;
	/** Moving average over attempts, from 0 to 1. */
	readonly failureFraction: number;
	readonly consecutiveFailures: number;
	/** Attempts in succession that never reached the target or lost the answer. */
	readonly consecutiveLosses: number;
	readonly circuit: Circuit;
	/** Milliseconds of the last pause; 0 before the first. */
	readonly lastPause: number;
	/** When the target started cold; its slots grow from then on. */
	readonly coldSince: number | undefined;
	/** From 0 to 1; falls when the target sheds load and grows back with time. */
	readonly sheddingFactor: number;
	readonly sheddingUpdatedAt: number;
	readonly report: TargetReport | undefined;
};

/** What a target's own endpoint says; it lags and may mislead. */
export type TargetReport = {
	readonly receivedAt: number;
	readonly isHealthy: boolean;
	/** 1 means that all its slots are in use. */
	readonly load: number;
};

export type Attempt = {readonly kind: AttemptKind; readonly milliseconds: number};

const failureWeight = 0.1;
const latencyWeight = 0.2;
const latencyMemoryMilliseconds = 5000;
const failuresToOpen = 5;
const lossesToOpen = 2;
const failureShareToOpen = 0.35;
const firstPauseMilliseconds = 1000;
const longestPauseMilliseconds = 30_000;
const coldMilliseconds = 10_000;
const coldFactor = 0.1;
const lowestSuccessShare = 0.05;
const sheddingStep = 0.5;
const sheddingFloor = 0.02;
const sheddingGrowthPerMillisecond = 0.000_05;
const slowRatio = 2;
const slowFloor = 0.02;
const reportLifeMilliseconds = 10_000;
const fullLoad = 1;
const fullLoadFactor = 0.5;
const unhealthyFactor = 0.25;

export function createTargetHealth(now: number, isCold: boolean): TargetHealth {
	return {
		latency: undefined,
		latencyUpdatedAt: now,
		failureFraction: 0,
		consecutiveFailures: 0,
		consecutiveLosses: 0,
		circuit: {kind: 'closed'},
		lastPause: 0,
		coldSince: isCold ? now : undefined,
		sheddingFactor: 1,
		sheddingUpdatedAt: now,
		report: undefined,
	};
}

/** Marks the start of an attempt: the first one after a pause is the probe. */
export function startAttempt(health: TargetHealth): TargetHealth {
	return health.circuit.kind === 'open' ? {...health, circuit: {kind: 'half-open', pause: health.circuit.pause}} : health;
}

/** Takes in how an attempt ended. `mayOpen` is false while too many targets fail alike. */
export function updateTargetHealth(health: TargetHealth, attempt: Attempt, now: number, mayOpen: boolean): TargetHealth {
	switch (attempt.kind) {
		case 'answered': {
			return updateByAnswer(health, attempt.milliseconds, now);
		}

		case 'failed': {
			return updateByFailure(health, 0, now, mayOpen);
		}

		case 'not-sent':
		case 'lost': {
			return updateByFailure(health, health.consecutiveLosses + 1, now, mayOpen);
		}

		case 'shed': {
			return updateByShedding(health, now);
		}

		case 'cancelled': {
			return updateByCancellation(health, attempt.milliseconds, now);
		}
	}
}

export function updateByReport(health: TargetHealth, report: TargetReport): TargetHealth {
	return {...health, report};
}

/** Whether the target's own report asks for less work than its slots allow. */
export function isReducedByReport(health: TargetHealth, now: number): boolean {
	return health.report !== undefined && isReducingReport(health.report, now);
}

/** Whether the report still counts and asks for less work than usual. */
export function isReducingReport(report: TargetReport, now: number): boolean {
	return getReportFactor(report, now) < 1;
}

/** Whether a request may be sent: not cut off, and at most one probe at a time. */
export function canTakeAttempt(health: TargetHealth, now: number): boolean {
	switch (health.circuit.kind) {
		case 'closed': {
			return true;
		}

		case 'open': {
			return now >= health.circuit.until;
		}

		case 'half-open': {
			return false;
		}
	}
}

/** Milliseconds that the next request will probably take, failures counted as slow. */
export function getExpectedLatency(health: TargetHealth, usualLatency: number, now: number): number {
	const known = health.latency ?? usualLatency;
	const kept = Math.exp((health.latencyUpdatedAt - now) / latencyMemoryMilliseconds);
	const aged = known > usualLatency ? usualLatency + ((known - usualLatency) * kept) : known;
	const successShare = Math.max(lowestSuccessShare, 1 - health.failureFraction);
	return aged / (successShare ** 2);
}

/** What the slot factor of a target depends on beside its own health. */
export type RegionConditions = {
	/** Usual milliseconds of a request in the target's region; undefined before the first answer. */
	readonly averageLatency: number | undefined;
	/** Whether the reports of the region's targets count now. */
	readonly usesReports: boolean;
};

/**
 * The part of its slots that the target should get now, above 0 up to 1. A
 * slow target gets less, so that it doesn't fill up while the others are busy.
 */
export function getSlotFactor(health: TargetHealth, {averageLatency: usualLatency = 0, usesReports: countsReports}: RegionConditions, now: number): number {
	const latency = getExpectedLatency(health, usualLatency, now);
	const excess = usualLatency > 0 ? latency / (usualLatency * slowRatio) : 0;
	const slowFactor = excess > 1 ? Math.max(slowFloor, 1 / excess) : 1;
	return Math.min(slowFactor, getColdFactor(health, now), getSheddingFactor(health, now), countsReports ? getReportFactor(health.report, now) : 1);
}

function updateByAnswer(health: TargetHealth, milliseconds: number, now: number): TargetHealth {
	const isProbe = health.circuit.kind === 'half-open';
	return {
		...updateLatency(health, milliseconds, now),
		failureFraction: health.failureFraction * (1 - failureWeight),
		consecutiveFailures: 0,
		consecutiveLosses: 0,
		circuit: isProbe ? {kind: 'closed'} : health.circuit,
		coldSince: isProbe ? now : health.coldSince,
	};
}

function updateByFailure(health: TargetHealth, consecutiveLosses: number, now: number, mayOpen: boolean): TargetHealth {
	const consecutiveFailures = health.consecutiveFailures + 1;
	const next: TargetHealth = {
		...health,
		failureFraction: health.failureFraction + (failureWeight * (1 - health.failureFraction)),
		consecutiveFailures,
		consecutiveLosses,
	};
	switch (health.circuit.kind) {
		case 'closed': {
			const isOpening = consecutiveFailures >= failuresToOpen || consecutiveLosses >= lossesToOpen || next.failureFraction > failureShareToOpen;
			return isOpening && mayOpen ? openCircuit(next, getFirstPause(health, now), now) : next;
		}

		case 'open': {
			// The attempt began before the target was cut off.
			return next;
		}

		case 'half-open': {
			return openCircuit(next, getLongerPause(health.circuit.pause), now);
		}
	}
}

function openCircuit(health: TargetHealth, pause: number, now: number): TargetHealth {
	return {...health, circuit: {kind: 'open', until: now + pause, pause}, lastPause: pause};
}

/** A target that fails again soon after a pause gets a longer one. */
function getFirstPause(health: TargetHealth, now: number): number {
	const isSoon = health.coldSince !== undefined && now - health.coldSince < coldMilliseconds;
	return isSoon ? getLongerPause(health.lastPause) : firstPauseMilliseconds;
}

function getLongerPause(pause: number): number {
	return Math.min(longestPauseMilliseconds, Math.max(firstPauseMilliseconds, pause * 2));
}

function updateByShedding(health: TargetHealth, now: number): TargetHealth {
	const next = {...health, sheddingFactor: Math.max(sheddingFloor, getSheddingFactor(health, now) * sheddingStep), sheddingUpdatedAt: now};
	// A probe that was shed says nothing; the next request is the probe.
	return reopenProbe(next, now);
}

/** A caller that gave up shows only that the target took at least so long. */
function updateByCancellation(health: TargetHealth, milliseconds: number, now: number): TargetHealth {
	const next = milliseconds > (health.latency ?? Infinity) ? updateLatency(health, milliseconds, now) : health;
	return reopenProbe(next, now);
}

function reopenProbe(health: TargetHealth, now: number): TargetHealth {
	return health.circuit.kind === 'half-open' ? {...health, circuit: {kind: 'open', until: now, pause: health.circuit.pause}} : health;
}

function updateLatency(health: TargetHealth, milliseconds: number, now: number): TargetHealth {
	const latency = health.latency === undefined ? milliseconds : health.latency + (latencyWeight * (milliseconds - health.latency));
	return {...health, latency, latencyUpdatedAt: now};
}

function getColdFactor(health: TargetHealth, now: number): number {
	if (health.coldSince === undefined) {
		return 1;
	}

	return Math.min(1, coldFactor + ((1 - coldFactor) * (now - health.coldSince) / coldMilliseconds));
}

function getSheddingFactor(health: TargetHealth, now: number): number {
	return Math.min(1, health.sheddingFactor + ((now - health.sheddingUpdatedAt) * sheddingGrowthPerMillisecond));
}

function getReportFactor(report: TargetReport | undefined, now: number): number {
	if (!report || now - report.receivedAt > reportLifeMilliseconds) {
		return 1;
	}

	if (!report.isHealthy) {
		return unhealthyFactor;
	}

	return report.load >= fullLoad ? fullLoadFactor : 1;
}
