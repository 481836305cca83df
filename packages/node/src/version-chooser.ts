/**
 * Chooses the version of a service that serves a request. Credit enforces the
 * share of a new version: each request adds the share as credit, and a credit of
 * 1 pays for one request to the new version. In any window the new version thus
 * gets at most the sum of the shares plus one on this node, even if the share
 * changes, because the credit is carried over. While the version is on trial,
 * the number of concurrent requests of each route is limited by its evidence,
 * and the first ones must be idempotent, so that the old version can repeat them.
 */
import {type Clock, systemClock} from '@catkindale/common';
import {
	type Configuration, type Route, type Target, type TrialAllowance, type TrialRequestOutcome, canStartTrialRequest, createTrialAllowance, endTrialRequest, startTrialRequest, updateOnEvaluation,
} from '@catkindale/policy';
import {getRouteName} from './rollout-evidence.js';

/** The share of a service's requests that may go to a new version. */
export type VersionShare = {
	readonly service: string;
	readonly version: string;
	readonly share: number;
	/** The targets of the new version that serve the share; all of them if undefined. */
	readonly targets?: readonly string[] | undefined;
	/** Monotonic time in milliseconds after which the share is 0 unless renewed. */
	readonly validUntil?: number | undefined;
	/** Wall time in milliseconds from which the share is 0: the deadline of an unfinished rollout. */
	readonly deadlineAt?: number | undefined;
	/** Whether only idempotent requests go to the new version. */
	readonly isIdempotentOnly?: boolean;
	/** Increases each time the node evaluates the evidence. */
	readonly evaluation?: number;
};

/** The version for a request. The caller must report the outcome of the request with `recordOutcome`. */
export type VersionChoice = {readonly version: string | undefined; readonly recordOutcome: (outcome: TrialRequestOutcome) => void};

export type VersionChooser = {
	setConfiguration: (configuration: Configuration) => void;
	setShare: (share: VersionShare) => void;
	/** Chooses a version for a request; undefined if the service isn't configured. */
	choose: (service: string) => string | undefined;
	/** Chooses a version for a request of a route, within the limit that the route's evidence allows. */
	chooseForRoute: (route: Route) => VersionChoice;
	/** Chooses the version for another attempt after a failed one. Never a version on trial. */
	chooseForRetry: (service: string) => string | undefined;
	/** Removes the targets of the new version that don't serve its share yet. */
	filterTargets: (service: string, targets: readonly Target[]) => readonly Target[];
};

type ServiceShare = {share: VersionShare; credit: number; trials: Map<string, TrialAllowance>};

const fullShare = 1;
/** Compensates for rounding: the sum of ten shares of 0.1 is slightly less than 1. */
const roundingTolerance = 1e-9;

export function createVersionChooser(clock: Clock = systemClock): VersionChooser {
	const versions = new Map<string, string>();
	const serviceShares = new Map<string, ServiceShare>();

	const choose = (service: string): string | undefined => {
		const serviceShare = serviceShares.get(service);
		if (!serviceShare) {
			return versions.get(service);
		}

		serviceShare.credit += getCurrentShare(serviceShare.share, clock);
		if (serviceShare.credit + roundingTolerance < 1) {
			return versions.get(service);
		}

		serviceShare.credit -= 1;
		return serviceShare.share.version;
	};

	const isFullShare = (serviceShare: ServiceShare): boolean => getCurrentShare(serviceShare.share, clock) >= fullShare;

	return {
		setConfiguration(configuration) {
			versions.clear();
			for (const service of configuration.services) {
				versions.set(service.name, service.version);
			}
		},
		setShare(share) {
			const serviceShare = serviceShares.get(share.service);
			const previous = serviceShare?.share.version === share.version ? serviceShare : undefined;
			const trials = previous?.trials ?? new Map<string, TrialAllowance>();
			if (share.evaluation !== previous?.share.evaluation) {
				updateTrials(trials);
			}

			serviceShares.set(share.service, {share, credit: previous?.credit ?? 0, trials});
		},
		choose,
		chooseForRoute(route) {
			const serviceShare = serviceShares.get(route.service);
			if (serviceShare?.share.deadlineAt === undefined) {
				return {version: choose(route.service), recordOutcome: ignoreOutcome};
			}

			const {trials, share} = serviceShare;
			const name = getRouteName(route);
			const allowance = trials.get(name) ?? createTrialAllowance();
			const isAdmitted = canStartTrialRequest(allowance) && (route.idempotent || share.isIdempotentOnly !== true);
			const version = isAdmitted ? choose(route.service) : versions.get(route.service);
			return {version, recordOutcome: version === share.version ? startRouteTrial(trials, name) : ignoreOutcome};
		},
		chooseForRetry(service) {
			const serviceShare = serviceShares.get(service);
			const isFinished = serviceShare?.share.deadlineAt === undefined;
			return serviceShare && isFinished && isFullShare(serviceShare) ? serviceShare.share.version : versions.get(service);
		},
		filterTargets(service, targets) {
			const share = serviceShares.get(service)?.share;
			const names = share?.targets;
			return names ? targets.filter(target => target.version !== share.version || names.includes(target.name)) : targets;
		},
	};
}

function ignoreOutcome(): void {
	// Only requests on trial are counted.
}

/** Takes one of the route's places for requests on trial. Only the first call of the returned function releases it. */
function startRouteTrial(trials: Map<string, TrialAllowance>, name: string): VersionChoice['recordOutcome'] {
	trials.set(name, startTrialRequest(trials.get(name) ?? createTrialAllowance()));
	let isOpen = true;
	return outcome => {
		if (isOpen) {
			isOpen = false;
			trials.set(name, endTrialRequest(trials.get(name) ?? createTrialAllowance(), outcome));
		}
	};
}

function updateTrials(trials: Map<string, TrialAllowance>): void {
	for (const [name, allowance] of trials) {
		trials.set(name, updateOnEvaluation(allowance));
	}
}

/** Returns the current share: 0 if it wasn't renewed in time or the deadline has passed. */
function getCurrentShare(share: VersionShare, clock: Clock): number {
	const isExpired = clock.monotonic() > (share.validUntil ?? Infinity);
	const isPastDeadline = clock.wall() >= (share.deadlineAt ?? Infinity);
	return isExpired || isPastDeadline ? 0 : share.share;
}
