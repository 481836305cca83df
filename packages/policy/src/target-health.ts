/**
 * Health of one target as observed by one node's own attempts, and the fraction
 * of the target's slots that follows from it. A report of the target itself can
 * only reduce that fraction.
 *
 * Latency and failures are exponentially weighted moving averages. A circuit
 * breaker cuts off failing targets and probes them (Nygard, "Release It!",
 * 2007).
 */
import type {AttemptKind} from './attempt.js';

export type Circuit
	= | {readonly kind: 'closed'}
	/** The target receives no requests until the given time. */
		| {readonly kind: 'open'; readonly until: number; readonly pause: number}
	/** One probe is in flight. */
		| {readonly kind: 'half-open'; readonly pause: number};

export type TargetHealth = {
	/** Moving average in milliseconds; undefined before the first response. */
	readonly latency: number | undefined;
	readonly latencyUpdatedAt: number;
	/** Moving average of failures over attempts, from 0 to 1. */
	readonly failureFraction: number;
	readonly consecutiveFailures: number;
	/** Consecutive attempts that didn't reach the target or whose response was lost. */
	readonly consecutiveLosses: number;
	readonly circuit: Circuit;
	/** Milliseconds of the last pause; 0 before the first. */
	readonly lastPause: number;
	/** When the target started cold; the number of its usable slots grows from then on. */
	readonly coldSince: number | undefined;
	/** From 0 to 1; falls when the target sheds load and recovers with time. */
	readonly sheddingFactor: number;
	readonly sheddingUpdatedAt: number;
	readonly report: TargetReport | undefined;
};

/** Report from the target's own health endpoint, which may be outdated or wrong. */
export type TargetReport = {
	readonly receivedAt: number;
	readonly isHealthy: boolean;
	/** 1 if all slots of the target are in use. */
	readonly load: number;
};

export type Attempt = {readonly kind: AttemptKind; readonly milliseconds: number};

const failureWeight = 0.1;
const latencyWeight = 0.2;
const latencyDecayMilliseconds = 5000;
const failuresToOpen = 5;
const lossesToOpen = 2;
const failureFractionToOpen = 0.35;
const initialPauseMilliseconds = 1000;
const maximumPauseMilliseconds = 30_000;
const warmupMilliseconds = 10_000;
const initialWarmupFactor = 0.1;
const minimumSuccessFraction = 0.05;
const sheddingDecreaseFactor = 0.5;
const minimumSheddingFactor = 0.02;
const sheddingGrowthPerMillisecond = 0.000_05;
const slowRatio = 2;
const minimumSlowFactor = 0.02;
const reportLifetimeMilliseconds = 10_000;
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

/** Records the start of an attempt. The first one after the circuit was open is the probe. */
export function startAttempt(health: TargetHealth): TargetHealth {
	return health.circuit.kind === 'open' ? {...health, circuit: {kind: 'half-open', pause: health.circuit.pause}} : health;
}

/** Updates the health with the outcome of an attempt. While too many targets are already cut off, `canOpen` is false and a closed circuit stays closed. */
export function updateTargetHealth(health: TargetHealth, attempt: Attempt, now: number, canOpen: boolean): TargetHealth {
	switch (attempt.kind) {
		case 'answered': {
			return updateByResponse(health, attempt.milliseconds, now);
		}

		case 'failed': {
			return updateByFailure(health, 0, now, canOpen);
		}

		case 'not-sent':
		case 'lost': {
			return updateByFailure(health, health.consecutiveLosses + 1, now, canOpen);
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

/** Returns whether the target's own report asks for less work than its slots allow. */
export function isReducedByReport(health: TargetHealth, now: number): boolean {
	return health.report !== undefined && isReducingReport(health.report, now);
}

/** Returns whether the report is recent and asks for less work than the slots allow. */
export function isReducingReport(report: TargetReport, now: number): boolean {
	return getReportFactor(report, now) < 1;
}

/** Returns whether an attempt is allowed: the target isn't cut off, and at most one probe is in flight. */
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

/** Estimates the latency of the next request in milliseconds; failures count as slow requests. */
export function getExpectedLatency(health: TargetHealth, averageLatency: number, now: number): number {
	const observed = health.latency ?? averageLatency;
	const retained = Math.exp((health.latencyUpdatedAt - now) / latencyDecayMilliseconds);
	const latency = observed > averageLatency ? averageLatency + ((observed - averageLatency) * retained) : observed;
	const successFraction = Math.max(minimumSuccessFraction, 1 - health.failureFraction);
	return latency / (successFraction ** 2);
}

/** State of a region that affects the slot factor of its targets. */
export type RegionConditions = {
	/** Average latency in milliseconds of the region's targets; undefined before the first response. */
	readonly averageLatency: number | undefined;
	/** Whether the reports of the region's targets are taken into account. */
	readonly usesReports: boolean;
};

/**
 * Returns the fraction of its slots that the target should use now, above 0 and
 * up to 1. It is lower for a slow target, so that requests don't accumulate
 * there while the other targets are busy.
 */
export function getSlotFactor(health: TargetHealth, {averageLatency = 0, usesReports}: RegionConditions, now: number): number {
	const latency = getExpectedLatency(health, averageLatency, now);
	const excess = averageLatency > 0 ? latency / (averageLatency * slowRatio) : 0;
	const slowFactor = excess > 1 ? Math.max(minimumSlowFactor, 1 / excess) : 1;
	return Math.min(slowFactor, getWarmupFactor(health, now), getSheddingFactor(health, now), usesReports ? getReportFactor(health.report, now) : 1);
}

function updateByResponse(health: TargetHealth, milliseconds: number, now: number): TargetHealth {
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

function updateByFailure(health: TargetHealth, consecutiveLosses: number, now: number, canOpen: boolean): TargetHealth {
	const consecutiveFailures = health.consecutiveFailures + 1;
	const next: TargetHealth = {
		...health,
		failureFraction: health.failureFraction + (failureWeight * (1 - health.failureFraction)),
		consecutiveFailures,
		consecutiveLosses,
	};
	switch (health.circuit.kind) {
		case 'closed': {
			const isOpening = consecutiveFailures >= failuresToOpen || consecutiveLosses >= lossesToOpen || next.failureFraction > failureFractionToOpen;
			return isOpening && canOpen ? openCircuit(next, getInitialPause(health, now), now) : next;
		}

		case 'open': {
			// The attempt started before the target was cut off.
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

/** Returns a longer pause if the target fails again soon after the last one. */
function getInitialPause(health: TargetHealth, now: number): number {
	const isSoonAfterPause = health.coldSince !== undefined && now - health.coldSince < warmupMilliseconds;
	return isSoonAfterPause ? getLongerPause(health.lastPause) : initialPauseMilliseconds;
}

function getLongerPause(pause: number): number {
	return Math.min(maximumPauseMilliseconds, Math.max(initialPauseMilliseconds, pause * 2));
}

function updateByShedding(health: TargetHealth, now: number): TargetHealth {
	const next = {...health, sheddingFactor: Math.max(minimumSheddingFactor, getSheddingFactor(health, now) * sheddingDecreaseFactor), sheddingUpdatedAt: now};
	// A shed probe is inconclusive; the next request is the probe.
	return reopenProbe(next, now);
}

/** A cancelled request shows only that the target needs at least this long. */
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

function getWarmupFactor(health: TargetHealth, now: number): number {
	if (health.coldSince === undefined) {
		return 1;
	}

	return Math.min(1, initialWarmupFactor + ((1 - initialWarmupFactor) * (now - health.coldSince) / warmupMilliseconds));
}

function getSheddingFactor(health: TargetHealth, now: number): number {
	return Math.min(1, health.sheddingFactor + ((now - health.sheddingUpdatedAt) * sheddingGrowthPerMillisecond));
}

function getReportFactor(report: TargetReport | undefined, now: number): number {
	if (!report || now - report.receivedAt > reportLifetimeMilliseconds) {
		return 1;
	}

	if (!report.isHealthy) {
		return unhealthyFactor;
	}

	return report.load >= fullLoad ? fullLoadFactor : 1;
}
