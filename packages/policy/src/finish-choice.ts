/**
 * Chooses the target at which a request is expected to finish first. The
 * expected time is the way there and back, the wait for a slot and the run.
 * An object runs in a fraction of the usual time where it is cached. Every
 * node of a region ranks the targets for an object in the same order, so that
 * each object keeps to few targets without messages between nodes; the fuller the
 * service, the dearer a run without the cache becomes, since it takes the
 * slots that others wait for.
 */
import type {ServiceTimes} from './service-times.js';

export type FinishCandidate = {
	readonly id: string;
	readonly region: string;
	readonly slots: number;
	/** Requests that run or wait there already. */
	readonly expectedRunning: number;
	readonly slowness: number;
	/** Whether the object is among those that the target has room for. */
	readonly fitsInCache: boolean;
	/** The place in the object's order of the targets in the home region, or of all others; undefined without an object. */
	readonly rank: number | undefined;
	/** Whether this node saw the target handle the object of late. */
	readonly isKnownWarm: boolean;
	/** Whether the target has started a moment ago and runs slowly. */
	readonly isStarting: boolean;
	/** The way there and back. */
	readonly roundTripMilliseconds: number;
};

export type FinishRequest = {
	readonly serviceTimes: ServiceTimes;
	/** The time left for the whole request. */
	readonly remainingMilliseconds: number;
	/** An answer within this time has its full value; undefined if any answer in time has. */
	readonly targetLatencyMilliseconds: number | undefined;
	/** Extra cost of a target in another region, for the bytes that cross. */
	readonly remotePenaltyMilliseconds: number;
	readonly localRegion: string;
};

export type FinishChoice
	= | {readonly kind: 'chosen'; readonly id: string; readonly expectedMilliseconds: number; readonly isWarm: boolean}
	/** No candidate could answer in time; the soonest would take so long. */
		| {readonly kind: 'too-late'; readonly expectedMilliseconds: number}
	/** The best target has a long queue, which is short enough after the wait. */
		| {readonly kind: 'queue-full'; readonly waitMilliseconds: number}
		| {readonly kind: 'no-target'};

/**
 * How likely an object is cached at the first and second target of its order,
 * seen from a node that sent none there. Fewer nodes send to other regions.
 */
const cachedLikelihoodByRank = {home: [0.75, 0.35], foreign: [0.5, 0.2]} as const;
/** An object that a target has no room for soon leaves its cache. */
const unkeptLikelihoodPart = 0.4;
/** Below this use of its slots a service has room for runs without the cache. */
const relaxedUse = 0.45;
/** The weight of slot time against the caller's own time when all slots are in use. */
const mostSlotPrice = 3;
const startingSlowness = 2;
/** The part of the requests before a new one that run from the cache. */
const usualCachedPart = 0.7;
/** The wait at a target whose slots all seem in use, in parts of the usual run. */
const uncertainWaitPart = 0.6;

/**
 * The longest queue that requests join, in parts of the latency at which they
 * still have their full value. A longer one serves no more of them: it makes
 * all of them late. As with CoDel (RFC 8289), what exceeds it is refused. It
 * isn't sent to a target with a shorter queue: a run without the cache there
 * would take the slots of several with it.
 */
const longestQueuePart = 0.9;

/** What a kilobyte that crosses between regions is worth in waiting time; the bytes of a link are shared by all. */
const foreignMillisecondsPerKilobyte = 7.5;
const bytesPerKilobyte = 1000;
/** Heads and answer of a usual request. */
const usualKilobytes = 2;

/** The extra cost of a target in another region, for a request whose body has so many bytes. */
export function getRemotePenalty(bodyBytes: number): number {
	return foreignMillisecondsPerKilobyte * (usualKilobytes + (bodyBytes / bytesPerKilobyte));
}

/** The use of all the candidates' slots, 1 when all are taken. */
export function getUtilization(candidates: readonly FinishCandidate[]): number {
	let running = 0;
	let slots = 0;
	for (const candidate of candidates) {
		// A queue at one target leaves the slots of the others free.
		running += Math.min(candidate.expectedRunning, candidate.slots);
		slots += candidate.slots;
	}

	return slots === 0 ? 1 : running / slots;
}

/** What a millisecond of a slot costs the others, in milliseconds of the request's own time. */
export function getSlotPrice(use: number): number {
	const over = (use - relaxedUse) / (1 - relaxedUse);
	return mostSlotPrice * Math.min(1, Math.max(0, over));
}

export function chooseByFinishTime(candidates: readonly FinishCandidate[], request: FinishRequest): FinishChoice {
	const slotPrice = getSlotPrice(getUtilization(candidates));
	let best: {readonly candidate: FinishCandidate; readonly cost: number; readonly finish: number} | undefined;
	let soonest = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const isHome = candidate.region === request.localRegion;
		const run = getRun(candidate, isHome, request.serviceTimes);
		const wait = getWait(candidate, request.serviceTimes);
		const finish = candidate.roundTripMilliseconds + wait + run;
		// Only a sure failure is refused: the object may be cached after all.
		const soonestPossible = candidate.roundTripMilliseconds + wait + (request.serviceTimes.cachedMilliseconds * candidate.slowness);
		soonest = Math.min(soonest, soonestPossible);
		const cost = finish + (slotPrice * run) + (isHome ? 0 : request.remotePenaltyMilliseconds);
		if (soonestPossible > request.remainingMilliseconds) {
			continue;
		}

		if (best === undefined || cost < best.cost) {
			best = {candidate, cost, finish};
		}
	}

	if (best) {
		const longestQueueMilliseconds = longestQueuePart * (request.targetLatencyMilliseconds ?? Number.POSITIVE_INFINITY);
		const excess = getQueue(best.candidate, request.serviceTimes) - longestQueueMilliseconds;
		if (excess > 0) {
			return {kind: 'queue-full', waitMilliseconds: excess};
		}

		return {
			kind: 'chosen', id: best.candidate.id, expectedMilliseconds: best.finish, isWarm: best.candidate.isKnownWarm,
		};
	}

	return candidates.length === 0 ? {kind: 'no-target'} : {kind: 'too-late', expectedMilliseconds: soonest};
}

function getRun(candidate: FinishCandidate, isHome: boolean, {uncachedMilliseconds: coldMilliseconds, cachedMilliseconds: warmMilliseconds}: ServiceTimes): number {
	const byRank: readonly number[] = cachedLikelihoodByRank[isHome ? 'home' : 'foreign'];
	const known = candidate.isKnownWarm ? 1 : (byRank[candidate.rank ?? byRank.length] ?? 0);
	const likelihood = candidate.fitsInCache ? known : known * unkeptLikelihoodPart;
	const usual = (likelihood * warmMilliseconds) + ((1 - likelihood) * coldMilliseconds);
	return usual * candidate.slowness * (candidate.isStarting ? startingSlowness : 1);
}

/**
 * The time until a slot is free: what is known of the requests there is some
 * hundred milliseconds old, so that a target that seemed nearly full may be
 * full, and one that seemed full has a queue.
 */
function getWait(candidate: FinishCandidate, runTime: ServiceTimes): number {
	const use = Math.min(1, candidate.expectedRunning / candidate.slots);
	return (getUsualRun(candidate, runTime) * uncertainWaitPart * (use ** 2)) + getQueue(candidate, runTime);
}

/** The time in which the requests before a new one leave it a slot. */
function getQueue(candidate: FinishCandidate, runTime: ServiceTimes): number {
	const before = Math.max(0, candidate.expectedRunning + 1 - candidate.slots);
	return getUsualRun(candidate, runTime) * before / candidate.slots;
}

function getUsualRun({slowness}: FinishCandidate, {uncachedMilliseconds: coldMilliseconds, cachedMilliseconds: warmMilliseconds}: ServiceTimes): number {
	return ((usualCachedPart * warmMilliseconds) + ((1 - usualCachedPart) * coldMilliseconds)) * slowness;
}
