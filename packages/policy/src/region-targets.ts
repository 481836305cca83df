/**
 * The targets of one pool in one region: which of them have a free slot, in an
 * array from which a random one is drawn in constant time, and sums over all.
 */
import type {PrioritizedItem} from './priority-queue.js';
import type {RegionSpill} from './region-spill.js';
import type {Attempt, TargetHealth} from './target-health.js';

export type Candidate = PrioritizedItem & {
	readonly name: string;
	readonly region: RegionTargets;
	health: TargetHealth;
	/** Slots that this node holds. */
	held: number;
	inUse: number;
	/** Slots that may be in use at once; at most those held. */
	usable: number;
	/** Whether its own report asks for less work. */
	isReducedByReport: boolean;
	/** Between two requests, a target that should get less than one slot rests. */
	nextRequestAt: number;
	/** When it comes back from a pause; 0 if it isn't in one. */
	resumeAt: number;
	/** Place in the array of the region's free targets; -1 if it isn't there. */
	freePosition: number;
};

export type RegionTargets = {
	readonly name: string;
	readonly free: Candidate[];
	size: number;
	held: number;
	inUse: number;
	usable: number;
	/** Targets whose circuit isn't closed. */
	cutOff: number;
	/** Targets whose own reports ask for less work. */
	reducedByReport: number;
	/** Whether those reports count. */
	usesReports: boolean;
	/** Moving average over the answers of all targets. */
	averageLatency: number | undefined;
	/** Moving average of how far the answers are from the usual latency. */
	latencyDeviation: number;
	/** Moving average over the attempts at all targets. */
	failureFraction: number;
	spill: RegionSpill;
};

const observationWeight = 0.02;
const mostLoweredShare = 0.5;

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

/** Notes whether the target's own report asks for less work. */
export function setReducedByReport(candidate: Candidate, isLowered: boolean): void {
	candidate.region.reducedByReport += Number(isLowered) - Number(candidate.isReducedByReport);
	candidate.isReducedByReport = isLowered;
}

/**
 * Decides again whether the reports of the region's targets count: not when
 * more than half of them ask for less, as following them would be an outage of
 * our own making. Returns whether that has changed.
 */
export function evaluateReports(region: RegionTargets): boolean {
	const countsReports = region.reducedByReport <= region.size * mostLoweredShare;
	const isChanged = countsReports !== region.usesReports;
	region.usesReports = countsReports;
	return isChanged;
}

/** Takes in how an attempt at one of the targets ended. */
export function recordRegionAttempt(region: RegionTargets, attempt: Attempt): void {
	if (attempt.kind === 'shed' || attempt.kind === 'cancelled') {
		return;
	}

	const failed = attempt.kind === 'answered' ? 0 : 1;
	region.failureFraction += observationWeight * (failed - region.failureFraction);
	if (attempt.kind === 'answered') {
		const usual = region.averageLatency ?? attempt.milliseconds;
		region.latencyDeviation += observationWeight * (Math.abs(attempt.milliseconds - usual) - region.latencyDeviation);
		region.averageLatency = usual + (observationWeight * (attempt.milliseconds - usual));
	}
}
