/**
 * Chooses the target of a request among those of one pool. Of two targets
 * drawn at random among those with a free slot, the one with less expected
 * work is taken. Targets of the own region go first; those of another region
 * serve only while the own ones are used up or fail, within a limit that grows
 * slowly. The state is changed in place: a choice doesn't look at all targets.
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
	/** Milliseconds that the request would still wait for a target of the own region. */
	readonly waitMilliseconds: number;
};

export type TargetChooser = {
	/** Replaces the targets; what is known of those that stay is kept. */
	readonly setTargets: (targets: readonly PoolTarget[], now: number) => void;
	readonly setHeldSlots: (target: string, held: number, now: number) => void;
	/** The target to use, or undefined if none may be used now. */
	readonly choose: (request: ChoiceRequest, now: number) => string | undefined;
	/** Notes that a request takes a slot of the target. */
	readonly start: (target: string, now: number) => void;
	/** Notes that a request gives its slot back. */
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	readonly report: (target: string, report: TargetReport, now: number) => void;
	/** Whether a target of the own region has a free slot. */
	readonly hasFreeTarget: (now: number) => boolean;
	/** Slots that may be in use at once: those held in the own region and lent in others, or within the limit while the own has none. */
	readonly getUsableSlots: () => number;
	/** Slots that this node holds at all targets. */
	readonly getHeldSlots: () => number;
	/** Usual milliseconds of a request; 0 before the first answer. */
	readonly getAverageLatency: () => number;
	/** Milliseconds within which nearly all requests are answered. */
	readonly getLatencyBound: () => number;
	/** When the next target comes back from a pause; undefined if none is in a pause. */
	readonly getNextResumeTime: () => number | undefined;
	readonly getState: (target: string) => TargetState | undefined;
};

/** What operators see of a target. */
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
	readonly isRegionOpen?: (region: string) => boolean;
};

const drawsPerChoice = 4;
const failingShare = 0.5;
/** As for retransmissions: Jacobson, "Congestion avoidance and control", ACM SIGCOMM, 1988. */
const safeDeviations = 4;
const assumedRemoteMilliseconds = 50;
const mostCutOffShare = 0.5;

export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
	const {random, isRegionOpen = () => true} = options;
	const candidates = new Map<string, Candidate>();
	const regions = new Map<string, RegionTargets>();
	const paused = createPriorityQueue<Candidate>((left, right) => left.resumeAt < right.resumeAt);
	let hasTargets = false;

	/** The regions whose targets serve without a limit: the own one, or all when it has no target. */
	const isHome = (region: RegionTargets): boolean => region.name === options.region || (regions.get(options.region)?.size ?? 0) === 0;

	/** Whether requests may go there: always within the own region, elsewhere as the link allows. */
	const isReachable = (region: RegionTargets): boolean => region.name === options.region || isRegionOpen(region.name);

	const setPause = (candidate: Candidate, wakeAt: number): void => {
		paused.remove(candidate);
		candidate.resumeAt = wakeAt;
		if (wakeAt > 0) {
			paused.add(candidate);
		}
	};

	/** Works out again how many slots may be used and whether one is free. */
	const refresh = (candidate: Candidate, now: number): void => {
		const {region, health} = candidate;
		setReducedByReport(candidate, isReducedByReport(health, now));
		const part = candidate.held * getSlotFactor(health, region, now);
		const callableAt = health.circuit.kind === 'open' ? health.circuit.until : 0;
		const wakeAt = candidate.held > 0 ? Math.max(callableAt, candidate.nextRequestAt) : 0;
		const usable = candidate.held > 0 && canTakeAttempt(health, now) ? Math.max(1, Math.round(part)) : 0;
		region.usable += usable - candidate.usable;
		candidate.usable = usable;
		const isResting = now < wakeAt;
		setPause(candidate, isResting ? wakeAt : 0);
		if (candidate.inUse < usable && !isResting) {
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

	const wake = (now: number): void => {
		for (let candidate = paused.peek(); candidate && candidate.resumeAt <= now; candidate = paused.peek()) {
			setPause(candidate, 0);
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

	const chooseAtHome = (request: ChoiceRequest, now: number): Candidate | undefined => {
		const chosen = [...regions.values()].filter(region => isHome(region) && isReachable(region)).map(region => chooseIn(region, request.excluded, now));
		const found = chosen.filter(candidate => candidate !== undefined);
		return found.toSorted((left, right) => getScore(left, now) - getScore(right, now))[0];
	};

	const getHomeRegion = (): RegionTargets | undefined => regions.get(options.region);

	const sumRegions = (read: (region: RegionTargets) => number): number => [...regions.values()].reduce((sum, region) => sum + read(region), 0);

	/** The region whose latency tells how long a request takes now. */
	const getServingRegion = (): RegionTargets | undefined => {
		const home = getHomeRegion();
		if (home && home.usable > 0 && home.averageLatency !== undefined) {
			return home;
		}

		return [...regions.values()].find(region => region.usable > 0 && region.averageLatency !== undefined) ?? home;
	};

	const isSpillUseful = (region: RegionTargets, request: ChoiceRequest): boolean => {
		const home = getHomeRegion();
		if (!home || home.usable === 0) {
			return true;
		}

		const extra = (region.averageLatency ?? assumedRemoteMilliseconds) - (home.averageLatency ?? 0);
		const isHomeFailing = home.failureFraction > failingShare && region.failureFraction < failingShare;
		return isHomeFailing || request.waitMilliseconds > extra;
	};

	const chooseElsewhere = (request: ChoiceRequest, now: number): Candidate | undefined => {
		const home = getHomeRegion();
		const isHomeIll = !home || home.usable === 0 || home.failureFraction > failingShare;
		const found: Candidate[] = [];
		for (const region of regions.values()) {
			if (isHome(region) || region.free.length === 0 || !isReachable(region) || !isSpillUseful(region, request)) {
				continue;
			}

			region.spill = updateRegionSpill(region.spill, region.failureFraction, now);
			if (isHomeIll && region.inUse >= getSpillLimit(region.spill, region.held)) {
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

	const add = (target: PoolTarget, now: number): void => {
		const region = getRegion(target.region, now);
		// The first targets that a node hears of serve already; a later one starts cold.
		candidates.set(target.name, createCandidate(target.name, region, createTargetHealth(now, hasTargets)));
		region.size += 1;
	};

	const drop = (candidate: Candidate): void => {
		const {region} = candidate;
		removeFree(candidate);
		setReducedByReport(candidate, false);
		paused.remove(candidate);
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
			const kept = new Set(targets.map(target => target.name));
			for (const candidate of candidates.values()) {
				if (!kept.has(candidate.name)) {
					drop(candidate);
				}
			}

			for (const target of targets) {
				if (!candidates.has(target.name)) {
					add(target, now);
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
			wake(now);
			const home = getHomeRegion();
			const isHomeFailing = home !== undefined && home.failureFraction > failingShare;
			const chosen = isHomeFailing
				? chooseElsewhere(request, now) ?? chooseAtHome(request, now)
				: chooseAtHome(request, now) ?? chooseElsewhere(request, now);
			return chosen?.name;
		},
		start(target, now) {
			const candidate = candidates.get(target);
			assertInvariant(candidate !== undefined, 'only a known target is started', {target});
			assertInvariant(candidate.inUse < candidate.held, 'work in flight stays within the slots held', {target, held: candidate.held});
			candidate.inUse += 1;
			candidate.region.inUse += 1;
			candidate.region.spill = recordSpill(candidate.region.spill, now);
			candidate.health = startAttempt(candidate.health);
			refresh(candidate, now);
		},
		finish(target, attempt, now) {
			const candidate = candidates.get(target);
			// A target that left the pool while it served is forgotten already.
			if (!candidate || candidate.inUse === 0) {
				return;
			}

			const {region} = candidate;
			candidate.inUse -= 1;
			region.inUse -= 1;
			const wasCutOff = isCutOff(candidate);
			const mayOpen = attempt.kind !== 'failed' || region.cutOff < region.size * mostCutOffShare;
			candidate.health = updateTargetHealth(candidate.health, attempt, now, mayOpen);
			recordRegionAttempt(region, attempt);
			region.cutOff += Number(isCutOff(candidate)) - Number(wasCutOff);
			const duty = candidate.held * getSlotFactor(candidate.health, region, now);
			// What fails or sheds at once must not come back sooner than what works.
			const worked = Math.max(attempt.milliseconds, region.averageLatency ?? 0);
			const rest = duty > 0 && duty < 1 ? (worked / duty) - attempt.milliseconds : 0;
			candidate.nextRequestAt = rest > 0 ? now + rest : 0;
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
			wake(now);
			return [...regions.values()].some(region => isHome(region) && region.free.length > 0 && isReachable(region));
		},
		getUsableSlots() {
			const atHome = sumRegions(region => isHome(region) ? region.usable : 0);
			return atHome > 0 ? sumRegions(region => region.usable) : sumRegions(region => Math.min(region.usable, getSpillLimit(region.spill, region.held)));
		},
		getHeldSlots: () => sumRegions(region => region.held),
		getAverageLatency: () => getServingRegion()?.averageLatency ?? 0,
		getLatencyBound() {
			const region = getServingRegion();
			return (region?.averageLatency ?? 0) + ((region?.latencyDeviation ?? 0) * safeDeviations);
		},
		getNextResumeTime: () => paused.peek()?.resumeAt,
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
