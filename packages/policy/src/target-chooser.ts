/**
 * Chooses the target of a request from one pool. Of two random targets with a
 * free slot, the one with less expected work is chosen. Targets of the local
 * region are preferred. Those of a remote region are used only while the local
 * ones are fully used, unavailable or failing; in the last two cases, within a
 * limit that grows slowly. The state is modified in place, and a choice doesn't visit all targets.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load
 * balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
 */
import {type Random, assertInvariant} from '@catkindale/common';
import {createPriorityQueue} from './priority-queue.js';
import {
	createRegionSpill, getSpillLimit, recordSpillLimitReached, recordSpill, updateRegionSpill,
} from './region-spill.js';
import {
	type Attempt, type TargetReport, createTargetHealth, getExpectedLatency, getSlotFactor, canTakeAttempt, isReducedByReport, startAttempt, updateByReport, updateTargetHealth,
} from './target-health.js';
import {
	type Candidate, type RegionTargets, addFree, createCandidate, createRegionTargets, recordRegionAttempt, removeFree, setReducedByReport, evaluateReports,
} from './region-targets.js';

export type PoolTarget = {readonly name: string; readonly region: string};

export type ChoiceRequest = {
	/** Names of targets that must not be chosen. */
	readonly excluded: ReadonlySet<string>;
	/** Milliseconds that the request would still wait for a target of the local region. */
	readonly waitMilliseconds: number;
};

export type TargetChooser = {
	/** Replaces the targets; targets that remain keep their state. */
	readonly setTargets: (targets: readonly PoolTarget[], now: number) => void;
	readonly setHeldSlots: (target: string, held: number, now: number) => void;
	/** Returns the name of the chosen target, or undefined if none can be used now. */
	readonly choose: (request: ChoiceRequest, now: number) => string | undefined;
	/** Records that a request takes a slot of the target. */
	readonly start: (target: string, now: number) => void;
	/** Records that a request releases its slot. */
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	readonly report: (target: string, report: TargetReport, now: number) => void;
	/** Returns whether a target of the local region has a free slot; if the local region has no targets, whether any reachable target has one. */
	readonly hasFreeTarget: (now: number) => boolean;
	/** Returns the number of slots that may be in use at once, in all regions; remote slots are limited by the spillover limit while the local region has none. */
	readonly getUsableSlots: () => number;
	/** Returns the number of slots that this node holds at all targets. */
	readonly getHeldSlots: () => number;
	/** Returns the average latency in milliseconds; 0 before the first response. */
	readonly getAverageLatency: () => number;
	/** Returns the milliseconds within which nearly all requests are answered. */
	readonly getLatencyBound: () => number;
	/** Returns when the next delayed or cut-off target becomes available; undefined if there is none. */
	readonly getNextResumeTime: () => number | undefined;
	readonly getState: (target: string) => TargetState | undefined;
};

/** State of a target for metrics and checks. */
export type TargetState = {
	readonly held: number;
	readonly inUse: number;
	readonly usable: number;
	readonly isCutOff: boolean;
	/** Whether the target's own report asks for less work. */
	readonly isReducedByReport: boolean;
};

export type TargetChooserOptions = {
	readonly region: string;
	readonly random: Random;
	/** Whether the quota of the link to the region allows another request. */
	readonly hasCapacityTo?: (region: string) => boolean;
};

const drawsPerChoice = 4;
const failingFraction = 0.5;
/** Mean deviations above the average latency, as for the retransmission timeout of TCP: Jacobson, "Congestion avoidance and control", ACM SIGCOMM, 1988. */
const latencyBoundDeviations = 4;
const assumedRemoteLatencyMilliseconds = 50;
const maximumCutOffFraction = 0.5;

export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
	const {random, hasCapacityTo = () => true} = options;
	const candidates = new Map<string, Candidate>();
	const regions = new Map<string, RegionTargets>();
	const delayed = createPriorityQueue<Candidate>((left, right) => left.resumeAt < right.resumeAt);
	let hasTargets = false;

	/** Whether the region's targets are used without a limit: the local region, or every region if the local one has no target. */
	const isPrimary = (region: RegionTargets): boolean => region.name === options.region || (regions.get(options.region)?.size ?? 0) === 0;

	/** Whether requests may be sent to the region: the local one always, a remote one if the link quota allows it. */
	const isReachable = (region: RegionTargets): boolean => region.name === options.region || hasCapacityTo(region.name);

	const setResumeTime = (candidate: Candidate, resumeAt: number): void => {
		delayed.remove(candidate);
		candidate.resumeAt = resumeAt;
		if (resumeAt > 0) {
			delayed.add(candidate);
		}
	};

	/** Recomputes how many slots of the target may be used and whether one is free. */
	const refresh = (candidate: Candidate, now: number): void => {
		const {region, health} = candidate;
		setReducedByReport(candidate, isReducedByReport(health, now));
		const allowedSlots = candidate.held * getSlotFactor(health, region, now);
		const circuitOpenUntil = health.circuit.kind === 'open' ? health.circuit.until : 0;
		const resumeAt = candidate.held > 0 ? Math.max(circuitOpenUntil, candidate.nextRequestAt) : 0;
		const usable = candidate.held > 0 && canTakeAttempt(health, now) ? Math.max(1, Math.round(allowedSlots)) : 0;
		region.usable += usable - candidate.usable;
		candidate.usable = usable;
		const isDelayed = now < resumeAt;
		setResumeTime(candidate, isDelayed ? resumeAt : 0);
		if (candidate.inUse < usable && !isDelayed) {
			addFree(candidate);
		} else {
			removeFree(candidate);
		}
	};

	const refreshRegion = (region: RegionTargets, now: number): void => {
		for (const candidate of candidates.values()) {
			if (candidate.region === region) {
				refresh(candidate, now);
			}
		}
	};

	const resumeCandidates = (now: number): void => {
		for (let candidate = delayed.peek(); candidate && candidate.resumeAt <= now; candidate = delayed.peek()) {
			setResumeTime(candidate, 0);
			refresh(candidate, now);
		}
	};

	const getScore = (candidate: Candidate, now: number): number =>
		getExpectedLatency(candidate.health, candidate.region.averageLatency ?? 1, now) * (candidate.inUse + 1) / candidate.usable;

	const draw = (region: RegionTargets, excluded: ReadonlySet<string>): Candidate | undefined => {
		for (let attempt = 0; attempt < drawsPerChoice && region.free.length > 0; attempt++) {
			const candidate = region.free[random.integer(0, region.free.length - 1)];
			if (candidate && !excluded.has(candidate.name)) {
				return candidate;
			}
		}

		return excluded.size > 0 ? region.free.find(candidate => !excluded.has(candidate.name)) : undefined;
	};

	const chooseIn = (region: RegionTargets, excluded: ReadonlySet<string>, now: number): Candidate | undefined => {
		const first = draw(region, excluded);
		const second = draw(region, excluded);
		if (!first || !second) {
			return first ?? second;
		}

		return getScore(second, now) < getScore(first, now) ? second : first;
	};

	const chooseInPrimary = (request: ChoiceRequest, now: number): Candidate | undefined => {
		const chosen = [...regions.values()].filter(region => isPrimary(region) && isReachable(region)).map(region => chooseIn(region, request.excluded, now));
		const found = chosen.filter(candidate => candidate !== undefined);
		return found.toSorted((left, right) => getScore(left, now) - getScore(right, now))[0];
	};

	const getLocalRegion = (): RegionTargets | undefined => regions.get(options.region);

	const sumRegions = (read: (region: RegionTargets) => number): number => [...regions.values()].reduce((sum, region) => sum + read(region), 0);

	/** Returns the region whose latency estimates how long a request takes now. */
	const getServingRegion = (): RegionTargets | undefined => {
		const local = getLocalRegion();
		if (local && local.usable > 0 && local.averageLatency !== undefined) {
			return local;
		}

		return [...regions.values()].find(region => region.usable > 0 && region.averageLatency !== undefined) ?? local;
	};

	const isSpillUseful = (region: RegionTargets, request: ChoiceRequest): boolean => {
		const local = getLocalRegion();
		if (!local || local.usable === 0) {
			return true;
		}

		const extraLatency = (region.averageLatency ?? assumedRemoteLatencyMilliseconds) - (local.averageLatency ?? 0);
		const isLocalFailing = local.failureFraction > failingFraction && region.failureFraction < failingFraction;
		return isLocalFailing || request.waitMilliseconds > extraLatency;
	};

	const chooseForSpill = (request: ChoiceRequest, now: number): Candidate | undefined => {
		const local = getLocalRegion();
		const isLocalUnavailable = !local || local.usable === 0 || local.failureFraction > failingFraction;
		const found: Candidate[] = [];
		for (const region of regions.values()) {
			if (isPrimary(region) || region.free.length === 0 || !isReachable(region) || !isSpillUseful(region, request)) {
				continue;
			}

			region.spill = updateRegionSpill(region.spill, region.failureFraction, now);
			if (isLocalUnavailable && region.inUse >= getSpillLimit(region.spill, region.held)) {
				region.spill = recordSpillLimitReached(region.spill);
				continue;
			}

			const candidate = chooseIn(region, request.excluded, now);
			if (candidate) {
				found.push(candidate);
			}
		}

		return found.toSorted((left, right) => getScore(left, now) - getScore(right, now))[0];
	};

	const getRegion = (name: string, now: number): RegionTargets => {
		const region = regions.get(name) ?? createRegionTargets(name, createRegionSpill(now));
		regions.set(name, region);
		return region;
	};

	const addCandidate = (target: PoolTarget, now: number): void => {
		const region = getRegion(target.region, now);
		// The first targets that a node receives are already warm; later ones start cold.
		candidates.set(target.name, createCandidate(target.name, region, createTargetHealth(now, hasTargets)));
		region.size += 1;
	};

	const removeCandidate = (candidate: Candidate): void => {
		const {region} = candidate;
		removeFree(candidate);
		setReducedByReport(candidate, false);
		delayed.remove(candidate);
		region.usable -= candidate.usable;
		region.held -= candidate.held;
		region.inUse -= candidate.inUse;
		region.size -= 1;
		region.cutOff -= Number(isCutOff(candidate));
		candidates.delete(candidate.name);
		if (region.size === 0) {
			regions.delete(region.name);
		}
	};

	return {
		setTargets(targets, now) {
			const remaining = new Set(targets.map(target => target.name));
			for (const candidate of candidates.values()) {
				if (!remaining.has(candidate.name)) {
					removeCandidate(candidate);
				}
			}

			for (const target of targets) {
				if (!candidates.has(target.name)) {
					addCandidate(target, now);
				}
			}

			hasTargets ||= targets.length > 0;
		},
		setHeldSlots(target, held, now) {
			const candidate = candidates.get(target);
			if (!candidate || candidate.held === held) {
				return;
			}

			candidate.region.held += held - candidate.held;
			candidate.held = held;
			refresh(candidate, now);
		},
		choose(request, now) {
			resumeCandidates(now);
			const local = getLocalRegion();
			const isLocalFailing = local !== undefined && local.failureFraction > failingFraction;
			const chosen = isLocalFailing
				? chooseForSpill(request, now) ?? chooseInPrimary(request, now)
				: chooseInPrimary(request, now) ?? chooseForSpill(request, now);
			return chosen?.name;
		},
		start(target, now) {
			const candidate = candidates.get(target);
			assertInvariant(candidate !== undefined, 'a request starts only at a target of the pool', {target});
			assertInvariant(candidate.inUse < candidate.held, 'requests in flight stay within the held slots', {target, held: candidate.held});
			candidate.inUse += 1;
			candidate.region.inUse += 1;
			candidate.region.spill = recordSpill(candidate.region.spill, now);
			candidate.health = startAttempt(candidate.health);
			refresh(candidate, now);
		},
		finish(target, attempt, now) {
			const candidate = candidates.get(target);
			// The target was removed from the pool while the request was running.
			if (!candidate || candidate.inUse === 0) {
				return;
			}

			const {region} = candidate;
			candidate.inUse -= 1;
			region.inUse -= 1;
			const wasCutOff = isCutOff(candidate);
			const canOpen = attempt.kind !== 'failed' || region.cutOff < region.size * maximumCutOffFraction;
			candidate.health = updateTargetHealth(candidate.health, attempt, now, canOpen);
			recordRegionAttempt(region, attempt);
			region.cutOff += Number(isCutOff(candidate)) - Number(wasCutOff);
			const allowedSlots = candidate.held * getSlotFactor(candidate.health, region, now);
			// A target that fails or sheds immediately must not be chosen again sooner than a healthy one.
			const workMilliseconds = Math.max(attempt.milliseconds, region.averageLatency ?? 0);
			const delayMilliseconds = allowedSlots > 0 && allowedSlots < 1 ? (workMilliseconds / allowedSlots) - attempt.milliseconds : 0;
			candidate.nextRequestAt = delayMilliseconds > 0 ? now + delayMilliseconds : 0;
			refresh(candidate, now);
		},
		report(target, report, now) {
			const candidate = candidates.get(target);
			if (candidate) {
				candidate.health = updateByReport(candidate.health, report);
				refresh(candidate, now);
				if (evaluateReports(candidate.region)) {
					refreshRegion(candidate.region, now);
				}
			}
		},
		hasFreeTarget(now) {
			resumeCandidates(now);
			return [...regions.values()].some(region => isPrimary(region) && region.free.length > 0 && isReachable(region));
		},
		getUsableSlots() {
			const primarySlots = sumRegions(region => isPrimary(region) ? region.usable : 0);
			return primarySlots > 0 ? sumRegions(region => region.usable) : sumRegions(region => Math.min(region.usable, getSpillLimit(region.spill, region.held)));
		},
		getHeldSlots: () => sumRegions(region => region.held),
		getAverageLatency: () => getServingRegion()?.averageLatency ?? 0,
		getLatencyBound() {
			const region = getServingRegion();
			return (region?.averageLatency ?? 0) + ((region?.latencyDeviation ?? 0) * latencyBoundDeviations);
		},
		getNextResumeTime: () => delayed.peek()?.resumeAt,
		getState(target) {
			const candidate = candidates.get(target);
			return candidate && {
				held: candidate.held, inUse: candidate.inUse, usable: candidate.usable, isCutOff: isCutOff(candidate), isReducedByReport: candidate.isReducedByReport,
			};
		},
	};
}

function isCutOff(candidate: Candidate): boolean {
	return candidate.health.circuit.kind !== 'closed';
}
