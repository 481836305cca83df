/**
 * Chooses the target of a request by this gateway's estimates of each target's
 * state, and updates the estimates after each attempt.
 */
import {
	type Clock, getRecordValue, toRecordKey,
} from '@catkindale/common';
import {
	type FinishCandidate, type FinishChoice, type FinishRequest, type Location, type ObjectHashes, type WarmObjects, type ServiceTimeKind, type TrafficRoute, type TrafficService,
	chooseByFinishTime, createWarmObjects, findObjectHomes, getExpectedRunning, getHashedPosition, getPlace, getPlacePenalties,
	getRotatedPosition, hashObject, homesPerObject, isUnresponsive, mergeCacheableShare, recordSuccess, recordRequestEnded, recordFailure, recordRequestSent,
	recordShed, recordResponse, recordUnresponsive, recordReportedLoad, recordUnreachable,
	updateAdmittedShare, updateCacheableShareByHit, updateCacheableShareByLoad,
} from '@catkindale/policy';
import type {ObjectPlacement} from '@catkindale/protocol';
import {minimumServerErrorStatus} from './attempt-outcome.js';
import {describeRefusal, getRefusalWait} from './choice-refusal.js';
import type {ReportedLoad} from './target-dialect.js';
import {createGatewayRegionShares} from './gateway-region-shares.js';
import {type ServiceTimeKey, createGatewayServiceTimes} from './gateway-service-times.js';
import type {GatewayTargetRates} from './gateway-target-rates.js';
import type {GatewayTarget, GatewayTargets} from './gateway-targets.js';

export type ChoiceRequest = {
	readonly route: TrafficRoute;
	readonly service: TrafficService;
	/** The object that the request concerns; undefined if it names none. */
	readonly object: string | undefined;
	/** Regions that may serve the request; undefined for all. */
	readonly regions: ReadonlySet<string> | undefined;
	readonly remainingMilliseconds: number;
	/** The size of the request body, as far as it is known. */
	readonly bodyBytes: number;
	readonly allowsVersion: (version: string) => boolean;
	/** Identifiers of the targets that were tried already. */
	readonly tried: ReadonlySet<string>;
};

export type ChosenTarget = {
	readonly kind: 'chosen';
	readonly target: GatewayTarget;
	readonly isWarm: boolean;
	readonly roundTripMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** Time within which the target should send a response; after it, the target counts as unresponsive. */
	readonly responseDeadlineMilliseconds: number;
	/** Estimated number of requests at the target when it was chosen. */
	readonly expectedRunning: number;
	readonly objectKey: string | undefined;
	readonly serviceTimeKey: ServiceTimeKey;
};

export type RefusalReason = 'no-target' | 'too-late' | 'queue-full' | 'paused';

export type ChoiceRefusal = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	/** Explains the refusal to the caller and in the log. */
	readonly detail: string;
	readonly retryAfterMilliseconds: number;
};

export type GatewayAttemptResult
	= | {readonly kind: 'answered'; readonly status: number; readonly milliseconds: number; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'shed'; readonly load: ReportedLoad | undefined}
		| {readonly kind: 'failed'}
		| {readonly kind: 'unreachable'}
		/** The request was sent and ended before its response arrived. */
		| {readonly kind: 'unanswered'; readonly milliseconds: number}
		/** The attempt gives no information about the target. */
		| {readonly kind: 'ended'};

export type GatewayTargetChooser = {
	choose: (request: ChoiceRequest) => ChosenTarget | ChoiceRefusal;
	/** Updates the state of the target after an attempt; returns the class of its service time, if it can be derived. */
	recordResult: (chosen: ChosenTarget, attemptResult: GatewayAttemptResult) => ServiceTimeKind | undefined;
	setEvacuatedZones: (zones: readonly string[]) => void;
	removeTarget: (id: string) => void;
	/** Objects that targets have handled for this gateway since the last call. */
	takePlacements: () => readonly ObjectPlacement[];
	/** The share of the objects that each target can cache, by identifier; targets that can cache all are left out. */
	getCacheableShares: () => Readonly<Record<string, number>>;
	/** Applies the placements and shares that a gateway of the same region has sent. */
	receivePlacements: (placements: readonly ObjectPlacement[], cacheableShares: Readonly<Record<string, number>>) => void;
};

/** Of an object: the ranks of its first targets, and the hashes that give its position in the order of objects of each target. */
type ObjectHomes = {readonly key: string; readonly ranks: ReadonlyMap<string, number>; readonly hashes: ObjectHashes};

export type GatewayTargetChooserOptions = {
	readonly clock: Clock;
	readonly targets: GatewayTargets;
	readonly rates: GatewayTargetRates;
	/** Where this gateway runs. */
	readonly location: Location;
};

/** A response is expected within twice the service time of an uncached object; service times vary by about a sixth. */
const responseDeadlineFactor = 2;
/** Lower bound of the response deadline, since this process is paused at times. */
const minimumResponseDeadlineMilliseconds = 500;
/** If a request ends without a response after more than this multiple of the expected time, its target counts as unresponsive: no response shows how slow the target is. */
const overdueFactor = 3;
const minimumRetryMilliseconds = 50;
const maximumRetryMilliseconds = 2000;
const shareFractionDigits = 3;

export function createGatewayTargetChooser({clock, targets, rates, location}: GatewayTargetChooserOptions): GatewayTargetChooser {
	const warmObjects: WarmObjects = createWarmObjects();
	const regionShares = createGatewayRegionShares(clock, location);
	const serviceTimeEstimates = createGatewayServiceTimes(clock);
	let placements: ObjectPlacement[] = [];
	let evacuatedZones: ReadonlySet<string> = new Set();

	const findHomes = (key: string, servingTargets: readonly GatewayTarget[]): ObjectHomes => {
		const hashes = hashObject(key);
		return {key, hashes, ranks: findObjectHomes(hashes, servingTargets, location.region, homesPerObject)};
	};

	const isUsable = (target: GatewayTarget, request: ChoiceRequest, now: number): boolean => {
		const {registration, condition, reported} = target;
		if (request.regions?.has(registration.region) === false || request.tried.has(registration.id) || evacuatedZones.has(registration.zone) || !request.allowsVersion(registration.version)) {
			return false;
		}

		if (reported.pausedUntil > now) {
			return false;
		}

		// After repeated failures, a target gets one request at a time.
		if (condition.consecutiveFailures > 1 && condition.ownRunning > 0) {
			return false;
		}

		return rates.allowsRequest(target, request.service, now);
	};

	/** Returns the milliseconds until one of the targets may get a request again, as far as its rate and its own word decide; 0 without targets. */
	const getMinimumWait = (servingTargets: readonly GatewayTarget[], service: TrafficService, now: number): number => {
		const waits = servingTargets.map(target => Math.max(target.reported.pausedUntil - now, rates.getDelay(target, service, now)));
		return waits.length === 0 ? 0 : Math.min(...waits);
	};

	const getCandidate = (target: GatewayTarget, homes: ObjectHomes | undefined, now: number): FinishCandidate => {
		const {id} = target.registration;
		const position = homes ? getHashedPosition(homes.hashes, target.nameHash) : 0;
		return {
			id,
			place: getPlace(location, target.registration),
			slots: target.registration.slots,
			expectedRunning: getExpectedRunning(target.condition, now),
			slowness: target.condition.slowness,
			fitsInCache: position < target.admission.cacheableShare,
			rank: homes?.ranks.get(id),
			isKnownWarm: homes !== undefined && warmObjects.isWarm(homes.key, id, now),
			isCold: target.coldUntil > now,
			roundTripMilliseconds: targets.getRoundTripMilliseconds(target.registration.region),
		};
	};

	const isAdmitted = (target: GatewayTarget, homes: ObjectHomes | undefined, wallTime: number): boolean => {
		const {admittedShare} = target.admission;
		if (admittedShare >= 1) {
			return true;
		}

		const position = homes ? getHashedPosition(homes.hashes, target.nameHash) : Math.random();
		return getRotatedPosition(position, wallTime) < admittedShare;
	};

	/** Updates the estimates after a successful response. While requests wait at the target, a long response time isn't used, as part of it may be waiting time. */
	const recordServiceTime = ({target, serviceTimeKey, isWarm, roundTripMilliseconds}: ChosenTarget, milliseconds: number, load: ReportedLoad | undefined): ServiceTimeKind | undefined => {
		const serviceMilliseconds = Math.max(1, milliseconds - roundTripMilliseconds);
		const isQueued = (load?.waiting ?? 0) > 0;
		const kind = serviceTimeEstimates.classify(serviceTimeKey, serviceMilliseconds);
		switch (kind) {
			case 'cached':
			case 'uncached': {
				if (kind === 'uncached' && isQueued) {
					break;
				}

				serviceTimeEstimates.record(serviceTimeKey, kind === 'cached', serviceMilliseconds);
				target.condition = recordSuccess(target.condition, 1);
				if (isWarm) {
					target.admission = updateCacheableShareByHit(target.admission, kind === 'cached');
				}

				return kind;
			}

			case 'slow': {
				if (isQueued) {
					break;
				}

				target.condition = recordSuccess(target.condition, serviceMilliseconds / serviceTimeEstimates.getUncachedMilliseconds(serviceTimeKey));
				return kind;
			}
		}

		target.condition = {...target.condition, consecutiveFailures: 0};
		return undefined;
	};

	const recordLoad = (target: GatewayTarget, load: ReportedLoad | undefined, now: number): void => {
		if (load) {
			target.condition = recordReportedLoad(target.condition, load, now);
			target.admission = updateCacheableShareByLoad(updateAdmittedShare(target.admission, load, now), load);
		}
	};

	return {
		choose(request) {
			const now = clock.monotonic();
			const {route, service} = request;
			const servingTargets = targets.getServing(service.name);
			const usableTargets = servingTargets.filter(target => isUsable(target, request, now));
			const healthyTargets = usableTargets.filter(({condition}) => condition.avoidedUntil <= now && !isUnresponsive(condition, now));
			const candidates = healthyTargets.length > 0 ? healthyTargets : usableTargets;
			const objectKey = route.isSticky && request.object !== undefined ? `${service.name}\n${request.object}` : undefined;
			const homes = objectKey === undefined ? undefined : findHomes(objectKey, servingTargets);
			const wallTime = clock.wall();
			const admittingTargets = candidates.filter(target => isAdmitted(target, homes, wallTime));
			const routeServiceTimes = serviceTimeEstimates.get(service, route);
			const finishCandidates = admittingTargets.map(target => getCandidate(target, homes, now));
			const surplusCandidates = regionShares.getSurplusCandidates({
				service: service.name, objectKey, servingTargets, candidates: finishCandidates,
			});
			const finishRequest: FinishRequest = {
				...routeServiceTimes,
				remainingMilliseconds: request.remainingMilliseconds,
				targetLatencyMilliseconds: route.targetLatencyMilliseconds,
				penaltyMilliseconds: getPlacePenalties(request.bodyBytes),
			};
			const surplusChoice = surplusCandidates && chooseByFinishTime(surplusCandidates, finishRequest);
			const choice = surplusChoice?.kind === 'chosen' ? surplusChoice : chooseByFinishTime(finishCandidates, finishRequest);
			if (choice.kind !== 'chosen') {
				const minimumWait = usableTargets.length > 0 ? 0 : getMinimumWait(servingTargets, service, now);
				const waitMilliseconds = Math.max(getRefusalWait(choice, request.remainingMilliseconds), minimumWait);
				return {
					kind: 'refused',
					reason: choice.kind,
					detail: describeRefusal(choice, finishRequest),
					retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, waitMilliseconds)),
				};
			}

			const target = candidates.find(({registration}) => registration.id === choice.id)!;
			rates.takeToken(target, service, now);
			const expectedRunning = getExpectedRunning(target.condition, now);
			const roundTripMilliseconds = targets.getRoundTripMilliseconds(target.registration.region);
			const uncachedMilliseconds = roundTripMilliseconds + (routeServiceTimes.serviceTimes.uncachedMilliseconds * target.condition.slowness);
			const responseDeadlineMilliseconds = Math.max(minimumResponseDeadlineMilliseconds, responseDeadlineFactor * Math.max(choice.expectedMilliseconds, uncachedMilliseconds));
			target.condition = recordRequestSent(target.condition, now + responseDeadlineMilliseconds);
			return {
				kind: 'chosen',
				target,
				isWarm: choice.isWarm,
				roundTripMilliseconds,
				expectedMilliseconds: choice.expectedMilliseconds,
				responseDeadlineMilliseconds,
				expectedRunning,
				objectKey,
				serviceTimeKey: {service: service.name, route: route.name},
			};
		},
		recordResult(chosen, attemptResult) {
			const now = clock.monotonic();
			const {target, objectKey} = chosen;
			const wasUnresponsive = isUnresponsive(target.condition, now);
			target.condition = recordRequestEnded(target.condition);
			switch (attemptResult.kind) {
				case 'answered': {
					target.condition = recordResponse(target.condition, now + chosen.responseDeadlineMilliseconds);
					recordLoad(target, attemptResult.load, now);
					if (attemptResult.status >= minimumServerErrorStatus) {
						target.condition = recordFailure(target.condition, now);
						break;
					}

					const kind = recordServiceTime(chosen, attemptResult.milliseconds, attemptResult.load);
					if (objectKey !== undefined && warmObjects.record(objectKey, target.registration.id, now)) {
						placements.push({object: objectKey, target: target.registration.id});
					}

					return kind;
				}

				case 'shed': {
					target.condition = recordResponse(target.condition, now + chosen.responseDeadlineMilliseconds);
					recordLoad(target, attemptResult.load, now);
					target.condition = recordShed(target.condition, now);
					target.admission = updateAdmittedShare(target.admission, {waiting: Number.POSITIVE_INFINITY, slots: target.registration.slots}, now);
					break;
				}

				case 'failed': {
					target.condition = recordFailure(target.condition, now);
					break;
				}

				case 'unreachable': {
					target.condition = recordUnreachable(target.condition, now);
					break;
				}

				case 'unanswered': {
					const isOverdue = attemptResult.milliseconds > overdueFactor * chosen.expectedMilliseconds;
					target.condition = wasUnresponsive || isOverdue ? recordUnresponsive(target.condition, now) : target.condition;
					break;
				}

				case 'ended': {
					break;
				}
			}

			return undefined;
		},
		setEvacuatedZones(zones) {
			evacuatedZones = new Set(zones);
		},
		takePlacements() {
			const taken = placements;
			placements = [];
			return taken;
		},
		getCacheableShares() {
			const limited = targets.getAll().filter(({admission}) => admission.cacheableShare < 1);
			return Object.fromEntries(limited.map(({registration, admission}) => [toRecordKey(registration.id), Number(admission.cacheableShare.toFixed(shareFractionDigits))]));
		},
		receivePlacements(receivedPlacements, cacheableShares) {
			const now = clock.monotonic();
			for (const target of targets.getAll()) {
				const receivedShare = getRecordValue(cacheableShares, target.registration.id);
				if (receivedShare !== undefined) {
					target.admission = mergeCacheableShare(target.admission, receivedShare);
				}
			}

			for (const {object, target} of receivedPlacements) {
				warmObjects.record(object, target, now);
			}
		},
		removeTarget(id) {
			warmObjects.removeTarget(id);
			rates.removeTarget(id);
		},
	};
}
