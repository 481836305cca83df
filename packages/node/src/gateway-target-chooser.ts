/**
 * Chooses the target of a request among those that may serve it, from what
 * this gateway knows of their state, and learns from each attempt.
 */
import {type Clock, rankMembers} from '@catkindale/common';
import {
	type FinishCandidate, type FinishChoice, type WarmObjects, type ServiceTimeKind, type ServiceTimes, type TrafficRoute, type TrafficService,
	chooseByFinishTime, classifyServiceTime, createWarmObjects, createServiceTimes, getExpectedRunning, getRemotePenalty, getObjectPosition,
	getRotatedPosition, getWarmupNodeRate, isUnresponsive, mergeCacheableShare, recordSuccess, recordRequestEnded, recordFailure, recordRequestSent,
	recordShed, recordResponse, recordUnresponsive, recordReportedLoad, recordUnreachable, takeWarmupToken, updateAdmittedShare, updateCacheableShareByHit, updateCacheableShareByLoad, updateServiceTimes,
} from '@catkindale/policy';
import type {ObjectPlacement} from '@catkindale/protocol';
import {minimumServerErrorStatus} from './attempt-end.js';
import type {ReportedLoad} from './target-dialect.js';
import type {GatewayTarget, GatewayTargets} from './gateway-targets.js';

export type ChoiceRequest = {
	readonly route: TrafficRoute;
	readonly service: TrafficService;
	/** Names the object that the request concerns; undefined if it names none. */
	readonly object: string | undefined;
	/** Regions that may serve the request; undefined for all. */
	readonly regions: ReadonlySet<string> | undefined;
	readonly remainingMilliseconds: number;
	/** Of the request, as far as is known. */
	readonly bodyBytes: number;
	readonly allowsVersion: (version: string) => boolean;
	/** Targets that have had the request already. */
	readonly tried: ReadonlySet<string>;
};

export type ChosenTarget = {
	readonly kind: 'chosen';
	readonly target: GatewayTarget;
	readonly isWarm: boolean;
	readonly roundTripMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** The time in which the target should give some answer. */
	readonly responseDeadlineMilliseconds: number;
	/** Requests at the target, as far as this gateway could tell. */
	readonly expectedRunning: number;
	readonly objectKey: string | undefined;
	readonly serviceTimeKey: string;
};

export type RefusalReason = 'no-target' | 'too-late' | 'queue-full';

export type ChoiceRefusal = {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number};

export type GatewayAttemptResult
	= | {readonly kind: 'answered'; readonly status: number; readonly milliseconds: number; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'shed'; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'failed'}
		| {readonly kind: 'unreachable'}
		/** The request was sent and ended before its answer came. */
		| {readonly kind: 'unanswered'; readonly milliseconds: number}
		/** Nothing was learnt of the target. */
		| {readonly kind: 'ended'};

export type GatewayTargetChooser = {
	choose: (request: ChoiceRequest) => ChosenTarget | ChoiceRefusal;
	/** Learns from an attempt; gives what its run looked like, if it shows. */
	recordResult: (chosen: ChosenTarget, ending: GatewayAttemptResult) => ServiceTimeKind | undefined;
	setGateways: (ids: readonly string[]) => void;
	setEvacuatedZones: (zones: readonly string[]) => void;
	removeTarget: (id: string) => void;
	/** Objects that targets have handled for this gateway since the last call. */
	takePlacements: () => readonly ObjectPlacement[];
	/** The parts of the objects that targets have room for; targets that have room for all are left out. */
	getCacheableShares: () => Readonly<Record<string, number>>;
	/** Takes what a gateway of the same region tells. */
	receivePlacements: (placements: readonly ObjectPlacement[], keptShares: Readonly<Record<string, number>>) => void;
};

/** The place of an object at each target: the target's rank among those of this region, or of all others, and the object's position in the target's order. */
type ObjectPlace = {readonly rank: number; readonly position: number};
type ObjectRanking = ReadonlyMap<string, ObjectPlace>;

export type GatewayTargetChooserOptions = {
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

export function createGatewayTargetChooser({clock, targets, ownId, region}: GatewayTargetChooserOptions): GatewayTargetChooser {
	const memory: WarmObjects = createWarmObjects();
	const runTimes = new Map<string, ServiceTimes>();
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
		for (const {id, region: targetRegion} of rankMembers(objectKey, serving.map(({registration: target}) => target))) {
			const side = targetRegion === region ? 'home' : 'foreign';
			ranking.set(id, {rank: places[side], position: getObjectPosition(objectKey, id)});
			places[side] += 1;
		}

		rankings.set(objectKey, ranking);
		return ranking;
	};

	/** This gateway's part of a cold target's rate; ranking the gateways anew for each request would cost too much. */
	const getWarmupPart = ({registration: {id}}: GatewayTarget): number => {
		const part = warmupParts.get(id) ?? getWarmupNodeRate(ownId, gateways, id, 1);
		warmupParts.set(id, part);
		return part;
	};

	const getWarmupRate = (entry: GatewayTarget, service: TrafficService): number =>
		service.warmupRequestsPerSecond === undefined ? Number.POSITIVE_INFINITY : service.warmupRequestsPerSecond * getWarmupPart(entry);

	const isUsable = (entry: GatewayTarget, request: ChoiceRequest, now: number): boolean => {
		const {registration: target, condition} = entry;
		if (request.regions?.has(target.region) === false || request.tried.has(target.id) || evacuated.has(target.zone) || !request.allowsVersion(target.version)) {
			return false;
		}

		// A target that has failed of late gets one request at a time.
		if (condition.consecutiveFailures > 1 && condition.ownRunning > 0) {
			return false;
		}

		return entry.coldUntil <= now || takeWarmupToken(entry.warmupRate, getWarmupRate(entry, request.service), now) !== undefined;
	};

	const getCandidate = (entry: GatewayTarget, objectKey: string | undefined, ranking: ObjectRanking | undefined, now: number): FinishCandidate => {
		const place = ranking?.get(entry.registration.id);
		const isKept = (place?.position ?? 0) < entry.admission.cacheableShare;
		return {
			id: entry.registration.id,
			region: entry.registration.region,
			slots: entry.registration.slots,
			expectedRunning: getExpectedRunning(entry.condition, now),
			slowness: entry.condition.slowness,
			fitsInCache: isKept,
			rank: place?.rank,
			isKnownWarm: objectKey !== undefined && memory.isWarm(objectKey, entry.registration.id, now),
			isStarting: entry.coldUntil > now,
			roundTripMilliseconds: targets.getRoundTripMilliseconds(entry.registration.region),
		};
	};

	const isAdmitted = (entry: GatewayTarget, ranking: ObjectRanking | undefined, wall: number): boolean => {
		const {admittedShare} = entry.admission;
		const position = ranking?.get(entry.registration.id)?.position ?? Math.random();
		return admittedShare >= 1 || getRotatedPosition(position, wall) < admittedShare;
	};

	/** Learns from a good answer: a queue hides how long the run itself took. */
	const learnRun = ({target: entry, serviceTimeKey: runKey, isWarm, roundTripMilliseconds: wayMilliseconds}: ChosenTarget, milliseconds: number, load: ReportedLoad | undefined): ServiceTimeKind | undefined => {
		const runTime = runTimes.get(runKey) ?? createServiceTimes();
		const run = Math.max(1, milliseconds - wayMilliseconds);
		const isQueued = (load?.waiting ?? 0) > 0;
		const kind = classifyServiceTime(runTime, run);
		switch (kind) {
			case 'cached':
			case 'uncached': {
				if (kind === 'uncached' && isQueued) {
					break;
				}

				runTimes.set(runKey, updateServiceTimes(runTime, kind === 'cached', run));
				entry.condition = recordSuccess(entry.condition, 1);
				if (isWarm) {
					entry.admission = updateCacheableShareByHit(entry.admission, kind === 'cached');
				}

				return kind;
			}

			case 'slow': {
				if (isQueued) {
					break;
				}

				entry.condition = recordSuccess(entry.condition, run / runTime.uncachedMilliseconds);
				return kind;
			}
		}

		entry.condition = {...entry.condition, consecutiveFailures: 0};
		return undefined;
	};

	const learnLoad = (entry: GatewayTarget, load: ReportedLoad | undefined, now: number): void => {
		if (load) {
			entry.condition = recordReportedLoad(entry.condition, load, now);
			entry.admission = updateCacheableShareByLoad(updateAdmittedShare(entry.admission, load, now), load);
		}
	};

	return {
		choose(request) {
			const now = clock.monotonic();
			const {route, service} = request;
			const serving = targets.getServing(service.name);
			const usable = serving.filter(entry => isUsable(entry, request, now));
			const sound = usable.filter(({condition}) => condition.avoidedUntil <= now && !isUnresponsive(condition, now));
			const entries = sound.length > 0 ? sound : usable;
			const objectKey = route.isSticky && request.object !== undefined ? `${service.name}\n${request.object}` : undefined;
			const ranking = objectKey === undefined ? undefined : getRanking(objectKey, serving);
			const wall = clock.wall();
			const admitting = entries.filter(entry => isAdmitted(entry, ranking, wall));
			const runKey = `${service.name}\n${route.name}`;
			const runTime = runTimes.get(runKey) ?? createServiceTimes(route.targetLatencyMilliseconds);
			runTimes.set(runKey, runTime);
			const choice = chooseByFinishTime(admitting.map(entry => getCandidate(entry, objectKey, ranking, now)), {
				serviceTimes: runTime,
				remainingMilliseconds: request.remainingMilliseconds,
				targetLatencyMilliseconds: route.targetLatencyMilliseconds,
				remotePenaltyMilliseconds: getRemotePenalty(request.bodyBytes),
				localRegion: region,
			});
			if (choice.kind !== 'chosen') {
				const wait = getRefusalWait(choice, request.remainingMilliseconds);
				return {kind: 'refused', reason: choice.kind, retryAfterMilliseconds: Math.min(mostRetryMilliseconds, Math.max(leastRetryMilliseconds, wait))};
			}

			const entry = entries.find(({registration: target}) => target.id === choice.id)!;
			if (entry.coldUntil > now) {
				entry.warmupRate = takeWarmupToken(entry.warmupRate, getWarmupRate(entry, service), now) ?? entry.warmupRate;
			}

			const running = getExpectedRunning(entry.condition, now);
			const wayMilliseconds = targets.getRoundTripMilliseconds(entry.registration.region);
			const uncachedMilliseconds = wayMilliseconds + (runTime.uncachedMilliseconds * entry.condition.slowness);
			const dueMilliseconds = Math.max(leastDueMilliseconds, dueFactor * Math.max(choice.expectedMilliseconds, uncachedMilliseconds));
			entry.condition = recordRequestSent(entry.condition, now + dueMilliseconds);
			return {
				kind: 'chosen',
				target: entry,
				isWarm: choice.isWarm,
				roundTripMilliseconds: wayMilliseconds,
				expectedMilliseconds: choice.expectedMilliseconds,
				responseDeadlineMilliseconds: dueMilliseconds,
				expectedRunning: running,
				objectKey,
				serviceTimeKey: runKey,
			};
		},
		recordResult(chosen, ending) {
			const now = clock.monotonic();
			const {target: entry, objectKey} = chosen;
			const wasSilent = isUnresponsive(entry.condition, now);
			entry.condition = recordRequestEnded(entry.condition);
			switch (ending.kind) {
				case 'answered': {
					entry.condition = recordResponse(entry.condition, now + chosen.responseDeadlineMilliseconds);
					learnLoad(entry, ending.load, now);
					if (ending.status >= minimumServerErrorStatus) {
						entry.condition = recordFailure(entry.condition, now);
						break;
					}

					const kind = learnRun(chosen, ending.milliseconds, ending.load);
					if (objectKey !== undefined && memory.record(objectKey, entry.registration.id, now)) {
						placements.push({object: objectKey, target: entry.registration.id});
					}

					return kind;
				}

				case 'shed': {
					entry.condition = recordResponse(entry.condition, now + chosen.responseDeadlineMilliseconds);
					learnLoad(entry, ending.load, now);
					entry.condition = recordShed(entry.condition, now);
					entry.admission = updateAdmittedShare(entry.admission, {waiting: Number.POSITIVE_INFINITY, slots: entry.registration.slots}, now);
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
					entry.condition = wasSilent || isOverdue ? recordUnresponsive(entry.condition, now) : entry.condition;
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
		getCacheableShares() {
			const limited = targets.getAll().filter(({admission}) => admission.cacheableShare < 1);
			return Object.fromEntries(limited.map(({registration: target, admission}) => [target.id, Number(admission.cacheableShare.toFixed(shareDigits))]));
		},
		receivePlacements(learnt, keptShares) {
			const now = clock.monotonic();
			for (const entry of targets.getAll()) {
				const told = keptShares[entry.registration.id];
				if (told !== undefined) {
					entry.admission = mergeCacheableShare(entry.admission, told);
				}
			}

			for (const {object, target} of learnt) {
				memory.record(object, target, now);
			}
		},
		removeTarget(id) {
			memory.removeTarget(id);
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
