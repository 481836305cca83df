/**
 * Chooses the version of a service that takes a request. The share of a new
 * version is kept by counting: each request earns the share as credit, and a
 * whole credit pays for one request of the new version. In any window the new
 * version thus gets at most the sum of the shares plus one on this node, also
 * across changes of the share, because the credit is kept. While the version is
 * on trial, each route also has only so many requests there as its evidence
 * allows, and the first ones are such as may be repeated at the old version.
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
	/** The targets of the new version that take the share; all of them if undefined. */
	readonly targets?: readonly string[] | undefined;
	/** Monotonic time in milliseconds after which the share is 0 unless renewed. */
	readonly validUntil?: number | undefined;
	/** Wall time in milliseconds from which the share is 0: the deadline of a rollout that isn't done. */
	readonly deadlineAt?: number | undefined;
	/** Whether only idempotent requests go to the new version. */
	readonly isIdempotentOnly?: boolean;
	/** Rises each time the node has judged the evidence. */
	readonly evaluation?: number;
};

/** The version for a request; a trial must be ended once it is known how it went. */
export type VersionChoice = {readonly version: string | undefined; readonly end: (end: TrialRequestOutcome) => void};

export type VersionChooser = {
	setConfiguration: (configuration: Configuration) => void;
	setShare: (share: VersionShare) => void;
	/** Undefined for a service that isn't configured. */
	choose: (service: string) => string | undefined;
	/** The same for a request of a route, within what the route's evidence allows. */
	chooseForRoute: (route: Route) => VersionChoice;
	/** The version for a further attempt after a failed one: never the version that is on trial. */
	chooseForRetry: (service: string) => string | undefined;
	/** Leaves out the targets of the version on trial that take no part yet. */
	filterTargets: (service: string, targets: readonly Target[]) => readonly Target[];
};

type Counter = {share: VersionShare; credit: number; trials: Map<string, TrialAllowance>};

const wholeShare = 1;
/** Keeps sums of shares such as ten times 0.1 from missing the whole. */
const roundingTolerance = 1e-9;

export function createVersionChooser(clock: Clock = systemClock): VersionChooser {
	const versions = new Map<string, string>();
	const counters = new Map<string, Counter>();

	const choose = (service: string): string | undefined => {
		const counter = counters.get(service);
		if (!counter) {
			return versions.get(service);
		}

		counter.credit += getShareInForce(counter.share, clock);
		if (counter.credit + roundingTolerance < 1) {
			return versions.get(service);
		}

		counter.credit -= 1;
		return counter.share.version;
	};

	const isWhole = (counter: Counter): boolean => getShareInForce(counter.share, clock) >= wholeShare;

	return {
		setConfiguration(configuration) {
			versions.clear();
			for (const service of configuration.services) {
				versions.set(service.name, service.version);
			}
		},
		setShare(share) {
			const counter = counters.get(share.service);
			const kept = counter?.share.version === share.version ? counter : undefined;
			const trials = kept?.trials ?? new Map<string, TrialAllowance>();
			if (share.evaluation !== kept?.share.evaluation) {
				judgeTrials(trials);
			}

			counters.set(share.service, {share, credit: kept?.credit ?? 0, trials});
		},
		choose,
		chooseForRoute(route) {
			const counter = counters.get(route.service);
			if (counter?.share.deadlineAt === undefined) {
				return {version: choose(route.service), end: ignoreEnd};
			}

			const {trials, share} = counter;
			const name = getRouteName(route);
			const account = trials.get(name) ?? createTrialAllowance();
			const isAdmitted = canStartTrialRequest(account) && (route.idempotent || share.isIdempotentOnly !== true);
			const version = isAdmitted ? choose(route.service) : versions.get(route.service);
			return {version, end: version === share.version ? openTrial(trials, name) : ignoreEnd};
		},
		chooseForRetry(service) {
			const counter = counters.get(service);
			const isFinished = counter?.share.deadlineAt === undefined;
			return counter && isFinished && isWhole(counter) ? counter.share.version : versions.get(service);
		},
		filterTargets(service, targets) {
			const share = counters.get(service)?.share;
			const names = share?.targets;
			return names ? targets.filter(target => target.version !== share.version || names.includes(target.name)) : targets;
		},
	};
}

function ignoreEnd(): void {
	// A request that is no trial leaves no trace.
}

/** Takes a place among the trials of a route; the first end gives it back. */
function openTrial(trials: Map<string, TrialAllowance>, name: string): VersionChoice['end'] {
	trials.set(name, startTrialRequest(trials.get(name) ?? createTrialAllowance()));
	let isOpen = true;
	return end => {
		if (isOpen) {
			isOpen = false;
			trials.set(name, endTrialRequest(trials.get(name) ?? createTrialAllowance(), end));
		}
	};
}

function judgeTrials(trials: Map<string, TrialAllowance>): void {
	for (const [name, account] of trials) {
		trials.set(name, updateOnEvaluation(account));
	}
}

/** The share that counts now: 0 once it wasn't renewed in time or the deadline came. */
function getShareInForce(share: VersionShare, clock: Clock): number {
	const isLapsed = clock.monotonic() > (share.validUntil ?? Infinity);
	const isOverdue = clock.wall() >= (share.deadlineAt ?? Infinity);
	return isLapsed || isOverdue ? 0 : share.share;
}
