/**
 * Chooses the target of a request among those that may serve it, from what
 * this gateway knows of their state, and learns from each attempt.
 */
import {type Clock, rankMembers} from '@catkindale/common';
import {
	type FinishCandidate, type FinishChoice, type ObjectMemory, type RunKind, type RunTime, type TrafficRoute, type TrafficService,
	chooseByFinish, classifyRun, createObjectMemory, createRunTime, getExpectedRunning, getForeignPenalty, getObjectPosition,
	getTurnedPosition, getWarmupShare, isSilent, mergeKeptShare, recordAnswer, recordEnded, recordFailure, recordSent,
	recordShed, recordSignOfLife, recordSilence, recordTold, recordUnreachable, takeWarmupRequest, updateAdmittedShare, updateKeptShareByCache, updateKeptShareByLoad, updateRunTime,
} from '@catkindale/policy';
import type {ObjectPlacement} from '@catkindale/protocol';
import {firstFailureStatus} from './attempt-end.js';
import type {ReportedLoad} from './target-dialect.js';
import type {GatewayTarget, GatewayTargets} from './gateway-targets.js';

export type ChoiceRequest = {
	readonly route: TrafficRoute;
	readonly service: TrafficService;
	/** Names the object that the request concerns; undefined if it names none. */
	readonly object: string | undefined;
	/** Regions that may serve the request; undefined for all. */
	readonly regions: ReadonlySet<string> | undefined;
	readonly leftMilliseconds: number;
	/** Of the request, as far as is known. */
	readonly bodyBytes: number;
	readonly allowsVersion: (version: string) => boolean;
	/** Targets that have had the request already. */
	readonly tried: ReadonlySet<string>;
};

export type ChosenTarget = {
	readonly kind: 'chosen';
	readonly entry: GatewayTarget;
	readonly isWarm: boolean;
	readonly wayMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** The time in which the target should give some answer. */
	readonly dueMilliseconds: number;
	/** Requests at the target, as far as this gateway could tell. */
	readonly running: number;
	readonly objectKey: string | undefined;
	readonly runKey: string;
};

export type RefusalReason = 'no-target' | 'too-late' | 'queue-full';

export type ChoiceRefusal = {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number};

export type AttemptEnding
	= | {readonly kind: 'answered'; readonly status: number; readonly milliseconds: number; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'shed'; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'failed'}
		| {readonly kind: 'unreachable'}
		/** The request was sent and ended before its answer came. */
		| {readonly kind: 'unanswered'; readonly milliseconds: number}
		/** Nothing was learnt of the target. */
		| {readonly kind: 'ended'};

export type GatewayChooser = {
	choose: (request: ChoiceRequest) => ChosenTarget | ChoiceRefusal;
	/** Learns from an attempt; gives what its run looked like, if it shows. */
	finish: (chosen: ChosenTarget, ending: AttemptEnding) => RunKind | undefined;
	setGateways: (ids: readonly string[]) => void;
	setEvacuatedZones: (zones: readonly string[]) => void;
	forgetTarget: (id: string) => void;
	/** Objects that targets have handled for this gateway since the last call. */
	takePlacements: () => readonly ObjectPlacement[];
	/** The parts of the objects that targets have room for; targets that have room for all are left out. */
	getKeptShares: () => Readonly<Record<string, number>>;
	/** Takes what a gateway of the same region tells. */
	learnPlacements: (placements: readonly ObjectPlacement[], keptShares: Readonly<Record<string, number>>) => void;
};

/** The place of an object at each target: the target's rank among those of this region, or of all others, and the object's position in the target's order. */
type ObjectPlace = {readonly rank: number; readonly position: number};
type ObjectRanking = ReadonlyMap<string, ObjectPlace>;

export type GatewayChooserOptions = {
	readonly clock: Clock;
	readonly targets: GatewayTargets;
	readonly ownId: string;
	readonly region: string;
};

/** An answer is due after twice the time that a run without the cache takes; runs differ by about a sixth. */
const dueFactor = 2;
/** Answers aren't expected sooner, since this process stands still at times. */
const leastDueMilliseconds = 500;
/** A request that ends unanswered after so many times what was expected shows a target that is slow without an answer that tells so. */
const overdueFactor = 3;
const noTargetRetryMilliseconds = 300;
const leastRetryMilliseconds = 50;
const mostRetryMilliseconds = 2000;
const shareDigits = 3;
const mostRankings = 5000;

export function createGatewayChooser({clock, targets, ownId, region}: GatewayChooserOptions): GatewayChooser {
	const memory: ObjectMemory = createObjectMemory();
	const runTimes = new Map<string, RunTime>();
	const rankings = new Map<string, ObjectRanking>();
	const warmupParts = new Map<string, number>();
	let placements: ObjectPlacement[] = [];
	let rankedGeneration = -1;
	let gateways: readonly string[] = [ownId];
	let evacuated: ReadonlySet<string> = new Set();

	const getRanking = (objectKey: string, serving: readonly GatewayTarget[]): ObjectRanking => {
		if (rankedGeneration !== targets.getGeneration() || rankings.size > mostRankings) {
			rankings.clear();
			rankedGeneration = targets.getGeneration();
		}

		const known = rankings.get(objectKey);
		if (known) {
			return known;
		}

		const places = {home: 0, foreign: 0};
		const ranking = new Map<string, ObjectPlace>();
		for (const {id, region: targetRegion} of rankMembers(objectKey, serving.map(({target}) => target))) {
			const side = targetRegion === region ? 'home' : 'foreign';
			ranking.set(id, {rank: places[side], position: getObjectPosition(objectKey, id)});
			places[side] += 1;
		}

		rankings.set(objectKey, ranking);
		return ranking;
	};

	/** This gateway's part of a cold target's rate; ranking the gateways anew for each request would cost too much. */
	const getWarmupPart = ({target: {id}}: GatewayTarget): number => {
		const part = warmupParts.get(id) ?? getWarmupShare(ownId, gateways, id, 1);
		warmupParts.set(id, part);
		return part;
	};

	const getWarmupRate = (entry: GatewayTarget, service: TrafficService): number =>
		service.warmupRequestsPerSecond === undefined ? Number.POSITIVE_INFINITY : service.warmupRequestsPerSecond * getWarmupPart(entry);

	const isUsable = (entry: GatewayTarget, request: ChoiceRequest, now: number): boolean => {
		const {target, condition} = entry;
		if (request.regions?.has(target.region) === false || request.tried.has(target.id) || evacuated.has(target.zone) || !request.allowsVersion(target.version)) {
			return false;
		}

		// A target that has failed of late gets one request at a time.
		if (condition.failuresInRow > 1 && condition.ownRunning > 0) {
			return false;
		}

		return entry.coldUntil <= now || takeWarmupRequest(entry.warmupRate, getWarmupRate(entry, request.service), now) !== undefined;
	};

	const getCandidate = (entry: GatewayTarget, objectKey: string | undefined, ranking: ObjectRanking | undefined, now: number): FinishCandidate => {
		const place = ranking?.get(entry.target.id);
		const isKept = (place?.position ?? 0) < entry.admission.keptShare;
		return {
			id: entry.target.id,
			region: entry.target.region,
			slots: entry.target.slots,
			expectedRunning: getExpectedRunning(entry.condition, now),
			slowness: entry.condition.slowness,
			isKept,
			rank: place?.rank,
			isKnownWarm: objectKey !== undefined && memory.isWarm(objectKey, entry.target.id, now),
			isStarting: entry.coldUntil > now,
			wayMilliseconds: targets.getWayMilliseconds(entry.target.region),
		};
	};

	const isAdmitted = (entry: GatewayTarget, ranking: ObjectRanking | undefined, wall: number): boolean => {
		const {admittedShare} = entry.admission;
		const position = ranking?.get(entry.target.id)?.position ?? Math.random();
		return admittedShare >= 1 || getTurnedPosition(position, wall) < admittedShare;
	};

	/** Learns from a good answer: a queue hides how long the run itself took. */
	const learnRun = ({entry, runKey, isWarm, wayMilliseconds}: ChosenTarget, milliseconds: number, load: ReportedLoad | undefined): RunKind | undefined => {
		const runTime = runTimes.get(runKey) ?? createRunTime();
		const run = Math.max(1, milliseconds - wayMilliseconds);
		const isQueued = (load?.waiting ?? 0) > 0;
		const kind = classifyRun(runTime, run);
		switch (kind) {
			case 'cached':
			case 'uncached': {
				if (kind === 'uncached' && isQueued) {
					break;
				}

				runTimes.set(runKey, updateRunTime(runTime, kind === 'cached', run));
				entry.condition = recordAnswer(entry.condition, 1);
				if (isWarm) {
					entry.admission = updateKeptShareByCache(entry.admission, kind === 'cached');
				}

				return kind;
			}

			case 'slow': {
				if (isQueued) {
					break;
				}

				entry.condition = recordAnswer(entry.condition, run / runTime.coldMilliseconds);
				return kind;
			}
		}

		entry.condition = {...entry.condition, failuresInRow: 0};
		return undefined;
	};

	const learnLoad = (entry: GatewayTarget, load: ReportedLoad | undefined, now: number): void => {
		if (load) {
			entry.condition = recordTold(entry.condition, load, now);
			entry.admission = updateKeptShareByLoad(updateAdmittedShare(entry.admission, load, now), load);
		}
	};

	return {
		choose(request) {
			const now = clock.monotonic();
			const {route, service} = request;
			const serving = targets.getServing(service.name);
			const usable = serving.filter(entry => isUsable(entry, request, now));
			const sound = usable.filter(({condition}) => condition.avoidedUntil <= now && !isSilent(condition, now));
			const entries = sound.length > 0 ? sound : usable;
			const objectKey = route.isSticky && request.object !== undefined ? `${service.name}\n${request.object}` : undefined;
			const ranking = objectKey === undefined ? undefined : getRanking(objectKey, serving);
			const wall = clock.wall();
			const admitting = entries.filter(entry => isAdmitted(entry, ranking, wall));
			const runKey = `${service.name}\n${route.name}`;
			const runTime = runTimes.get(runKey) ?? createRunTime(route.targetLatencyMilliseconds);
			runTimes.set(runKey, runTime);
			const choice = chooseByFinish(admitting.map(entry => getCandidate(entry, objectKey, ranking, now)), {
				runTime,
				leftMilliseconds: request.leftMilliseconds,
				targetLatencyMilliseconds: route.targetLatencyMilliseconds,
				foreignPenaltyMilliseconds: getForeignPenalty(request.bodyBytes),
				homeRegion: region,
			});
			if (choice.kind !== 'chosen') {
				const wait = getRefusalWait(choice, request.leftMilliseconds);
				return {kind: 'refused', reason: choice.kind, retryAfterMilliseconds: Math.min(mostRetryMilliseconds, Math.max(leastRetryMilliseconds, wait))};
			}

			const entry = entries.find(({target}) => target.id === choice.id)!;
			if (entry.coldUntil > now) {
				entry.warmupRate = takeWarmupRequest(entry.warmupRate, getWarmupRate(entry, service), now) ?? entry.warmupRate;
			}

			const running = getExpectedRunning(entry.condition, now);
			const wayMilliseconds = targets.getWayMilliseconds(entry.target.region);
			const uncachedMilliseconds = wayMilliseconds + (runTime.coldMilliseconds * entry.condition.slowness);
			const dueMilliseconds = Math.max(leastDueMilliseconds, dueFactor * Math.max(choice.expectedMilliseconds, uncachedMilliseconds));
			entry.condition = recordSent(entry.condition, now + dueMilliseconds);
			return {
				kind: 'chosen',
				entry,
				isWarm: choice.isWarm,
				wayMilliseconds,
				expectedMilliseconds: choice.expectedMilliseconds,
				dueMilliseconds,
				running,
				objectKey,
				runKey,
			};
		},
		finish(chosen, ending) {
			const now = clock.monotonic();
			const {entry, objectKey} = chosen;
			const wasSilent = isSilent(entry.condition, now);
			entry.condition = recordEnded(entry.condition);
			switch (ending.kind) {
				case 'answered': {
					entry.condition = recordSignOfLife(entry.condition, now + chosen.dueMilliseconds);
					learnLoad(entry, ending.load, now);
					if (ending.status >= firstFailureStatus) {
						entry.condition = recordFailure(entry.condition, now);
						break;
					}

					const kind = learnRun(chosen, ending.milliseconds, ending.load);
					if (objectKey !== undefined && memory.record(objectKey, entry.target.id, now)) {
						placements.push({object: objectKey, target: entry.target.id});
					}

					return kind;
				}

				case 'shed': {
					entry.condition = recordSignOfLife(entry.condition, now + chosen.dueMilliseconds);
					learnLoad(entry, ending.load, now);
					entry.condition = recordShed(entry.condition, now);
					entry.admission = updateAdmittedShare(entry.admission, {waiting: Number.POSITIVE_INFINITY, slots: entry.target.slots}, now);
					break;
				}

				case 'failed': {
					entry.condition = recordFailure(entry.condition, now);
					break;
				}

				case 'unreachable': {
					entry.condition = recordUnreachable(entry.condition, now);
					break;
				}

				case 'unanswered': {
					const isOverdue = ending.milliseconds > overdueFactor * chosen.expectedMilliseconds;
					entry.condition = wasSilent || isOverdue ? recordSilence(entry.condition, now) : entry.condition;
					break;
				}

				case 'ended': {
					break;
				}
			}

			return undefined;
		},
		setGateways(ids) {
			gateways = ids.includes(ownId) ? ids : [...ids, ownId];
			warmupParts.clear();
		},
		setEvacuatedZones(zones) {
			evacuated = new Set(zones);
		},
		takePlacements() {
			const taken = placements;
			placements = [];
			return taken;
		},
		getKeptShares() {
			const limited = targets.getAll().filter(({admission}) => admission.keptShare < 1);
			return Object.fromEntries(limited.map(({target, admission}) => [target.id, Number(admission.keptShare.toFixed(shareDigits))]));
		},
		learnPlacements(learnt, keptShares) {
			const now = clock.monotonic();
			for (const entry of targets.getAll()) {
				const told = keptShares[entry.target.id];
				if (told !== undefined) {
					entry.admission = mergeKeptShare(entry.admission, told);
				}
			}

			for (const {object, target} of learnt) {
				memory.record(object, target, now);
			}
		},
		forgetTarget(id) {
			memory.forgetTarget(id);
			warmupParts.delete(id);
		},
	};
}

/** The time after which the request may find a target. */
function getRefusalWait(refusal: Exclude<FinishChoice, {readonly kind: 'chosen'}>, leftMilliseconds: number): number {
	switch (refusal.kind) {
		case 'no-target': {
			return noTargetRetryMilliseconds;
		}

		case 'too-late': {
			return refusal.expectedMilliseconds - leftMilliseconds;
		}

		case 'queue-full': {
			return refusal.waitMilliseconds;
		}
	}
}
