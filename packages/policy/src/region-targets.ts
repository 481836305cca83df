/**
 * The targets of one pool in one region: sums over all of them, and those with a
 * free slot in an array that allows a random pick in constant time.
 */
import type {PrioritizedItem} from './priority-queue.js';
import type {RegionSpill} from './region-spill.js';
import type {Attempt, TargetHealth} from './target-health.js';

export type Candidate = PrioritizedItem & {
	readonly name: string;
	readonly region: RegionTargets;
	health: TargetHealth;
	/** Slots of the target that this node holds. */
	held: number;
	inUse: number;
	/** Slots that may be in use at once, at most those held. */
	usable: number;
	/** Whether the target's own report asks for less work. */
	isReducedByReport: boolean;
	/** Earliest time of the next request. Requests to a target that should get less than one slot are spaced out. */
	nextRequestAt: number;
	/** When the target becomes available again; 0 if it is available. */
	resumeAt: number;
	/** Index in the region's array of free targets, or -1. */
	freePosition: number;
};

export type RegionTargets = {
	readonly name: string;
	readonly free: Candidate[];
	size: number;
	held: number;
	inUse: number;
	usable: number;
	/** Number of targets whose circuit isn't closed. */
	cutOff: number;
	/** Number of targets whose own reports ask for less work. */
	reducedByReport: number;
	/** Whether the reports are taken into account. */
	usesReports: boolean;
	/** Moving average of the latency of all targets, in milliseconds. */
	averageLatency: number | undefined;
	/** Moving average of the absolute difference from the average latency. */
	latencyDeviation: number;
	/** Moving average of failures over the attempts at all targets. */
	failureFraction: number;
	spill: RegionSpill;
};

const observationWeight = 0.02;
const maximumReducedFraction = 0.5;

export function createRegionTargets(name: string, spill: RegionSpill): RegionTargets {
	return {
		name, free: [], size: 0, held: 0, inUse: 0, usable: 0, cutOff: 0, reducedByReport: 0, usesReports: true, averageLatency: undefined, latencyDeviation: 0, failureFraction: 0, spill,
	};
}

export function createCandidate(name: string, region: RegionTargets, health: TargetHealth): Candidate {
	return {
		name, region, health, held: 0, inUse: 0, usable: 0, isReducedByReport: false, nextRequestAt: 0, resumeAt: 0, freePosition: -1, heapPosition: -1,
	};
}

export function addFree(candidate: Candidate): void {
	if (candidate.freePosition === -1) {
		candidate.freePosition = candidate.region.free.push(candidate) - 1;
	}
}

export function removeFree(candidate: Candidate): void {
	const {free} = candidate.region;
	const last = free.at(-1);
	if (candidate.freePosition === -1 || !last) {
		return;
	}

	free[candidate.freePosition] = last;
	last.freePosition = candidate.freePosition;
	free.pop();
	candidate.freePosition = -1;
}

/** Sets whether the target's own report asks for less work. */
export function setReducedByReport(candidate: Candidate, isReducedByReport: boolean): void {
	candidate.region.reducedByReport += Number(isReducedByReport) - Number(candidate.isReducedByReport);
	candidate.isReducedByReport = isReducedByReport;
}

/**
 * Reevaluates whether the reports of the region's targets are taken into
 * account: not while more than half of the targets ask for less work, since
 * following them would itself cause an outage. Returns whether the result has changed.
 */
export function evaluateReports(region: RegionTargets): boolean {
	const usesReports = region.reducedByReport <= region.size * maximumReducedFraction;
	const isChanged = usesReports !== region.usesReports;
	region.usesReports = usesReports;
	return isChanged;
}

/** Updates the averages with the outcome of an attempt at one of the targets. */
export function recordRegionAttempt(region: RegionTargets, attempt: Attempt): void {
	if (attempt.kind === 'shed' || attempt.kind === 'cancelled') {
		return;
	}

	const failure = attempt.kind === 'answered' ? 0 : 1;
	region.failureFraction += observationWeight * (failure - region.failureFraction);
	if (attempt.kind === 'answered') {
		const average = region.averageLatency ?? attempt.milliseconds;
		region.latencyDeviation += observationWeight * (Math.abs(attempt.milliseconds - average) - region.latencyDeviation);
		region.averageLatency = average + (observationWeight * (attempt.milliseconds - average));
	}
}
