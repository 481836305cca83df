/**
 * The trials of new versions on one gateway: which of its requests go to the
 * new version, and how the attempts end.
 */
import {
	type TrialEvidence, type VersionCounts, addVersionCounts, getObjectPosition, emptyVersionCounts, isLaterRevision, isSameMove, trialShare,
} from '@catkindale/policy';
import type {TrialCountsMessage, TrialState} from '@catkindale/protocol';

export type Trial = {
	readonly service: string;
	readonly version: string;
	/** Era and revision of the order, which gets later ones when it is written again after the source came back from a copy. */
	era: number;
	revision: number;
	readonly durationMilliseconds: number;
	/** Monotonic time at which the trial began, as far as this gateway can tell. */
	startedAt: number;
	/** Monotonic time at which the leader's stage of the trial was last received. */
	stageReceivedAt: number;
	state: TrialState;
	share: number;
	/** This gateway's counts by route. */
	readonly ownCounts: Map<string, {trial: VersionCounts; settled: VersionCounts}>;
	/** The latest counts received from each other gateway. */
	readonly peerCounts: Map<string, TrialCountsMessage['routes']>;
	/** Credit by route; a credit of 1 pays for one request to the new version. */
	readonly credits: Map<string, number>;
};

export type VersionPlan = {
	/** Whether the request goes to the new version as part of the trial. */
	readonly isTrial: boolean;
	readonly allows: (version: string) => boolean;
};

export type AttemptQuality = 'good' | 'slow' | 'failed';

export type VersionTrials = {
	/** Starts a trial for each order that is later than that of the service's trial, unless it is the same order written again in another era. */
	setOrders: (orders: ReadonlyArray<Pick<Trial, 'service' | 'version' | 'era' | 'revision' | 'durationMilliseconds'>>, now: number) => void;
	get: (service: string) => Trial | undefined;
	getAll: () => readonly Trial[];
	/** Sets the version of the service's last completed trial before the present one. */
	setSettledVersion: (service: string, version: string) => void;
	/** Returns the version of the last completed trial before the present one; undefined if none is known. */
	getSettledVersion: (service: string) => string | undefined;
	/** Selects the versions that may serve the next request of a route; `object` keeps an object with one version while the share rises. */
	planRequest: (service: string, route: string, object: string | undefined) => VersionPlan;
	/** Selects the versions that may serve a request outside the trial. */
	planOutsideTrial: (service: string) => VersionPlan;
	recordAttempt: (service: string, route: string, version: string, quality: AttemptQuality) => void;
};

const anyVersion: VersionPlan = {isTrial: false, allows: () => true};

export function createVersionTrials(): VersionTrials {
	const trials = new Map<string, Trial>();
	/** The version of each service's last completed trial before the present one. Only this version serves requests outside the present trial. */
	const settledVersions = new Map<string, string>();
	/** Versions without a completed trial, by service. They serve no requests outside their own trial. */
	const incompleteVersions = new Map<string, Set<string>>();

	const setSettledVersion = (service: string, version: string): void => {
		settledVersions.set(service, version);
	};

	const getIncompleteVersions = (service: string): Set<string> => {
		const versions = incompleteVersions.get(service) ?? new Set();
		incompleteVersions.set(service, versions);
		return versions;
	};

	const planOutsideTrial = (service: string): VersionPlan => {
		const trial = trials.get(service);
		if (trial?.state === 'complete') {
			return {isTrial: false, allows: version => version === trial.version};
		}

		const settledVersion = settledVersions.get(service);
		if (settledVersion !== undefined) {
			return {isTrial: false, allows: version => version === settledVersion};
		}

		const incomplete = incompleteVersions.get(service);
		return incomplete === undefined ? anyVersion : {isTrial: false, allows: version => !incomplete.has(version)};
	};

	const isTrialRequest = (trial: Trial, route: string, object: string | undefined): boolean => {
		if (trial.share >= 1) {
			return true;
		}

		if (trial.share > trialShare && object !== undefined) {
			return getObjectPosition(object, trial.version) < trial.share;
		}

		// Credit keeps to the share over few requests too. A random start prevents all gateways from trying the version at the same time.
		const credit = (trial.credits.get(route) ?? Math.random()) + trial.share;
		trial.credits.set(route, credit >= 1 ? credit - 1 : credit);
		return credit >= 1;
	};

	return {
		setOrders(orders, now) {
			for (const order of orders) {
				const {service, version, era, revision, durationMilliseconds} = order;
				const previous = trials.get(service);
				if (previous && !isLaterRevision(order, previous)) {
					continue;
				}

				if (previous && previous.era !== era && isSameMove(previous, order)) {
					previous.era = era;
					previous.revision = revision;
					continue;
				}

				if (previous?.state === 'complete') {
					setSettledVersion(service, previous.version);
				}

				getIncompleteVersions(service).add(version);
				trials.set(service, {
					service,
					version,
					era,
					revision,
					durationMilliseconds,
					startedAt: now,
					stageReceivedAt: now,
					state: 'running',
					share: trialShare,
					ownCounts: new Map(),
					peerCounts: new Map(),
					credits: new Map(),
				});
			}
		},
		get: service => trials.get(service),
		getAll: () => [...trials.values()],
		planRequest(service, route, object) {
			const trial = trials.get(service);
			if (trial?.state !== 'running' || !isTrialRequest(trial, route, object)) {
				return planOutsideTrial(service);
			}

			return {isTrial: true, allows: version => version === trial.version};
		},
		setSettledVersion,
		getSettledVersion: service => settledVersions.get(service),
		planOutsideTrial,
		recordAttempt(service, route, version, quality) {
			const trial = trials.get(service);
			if (trial?.state !== 'running') {
				return;
			}

			const counts = trial.ownCounts.get(route) ?? {trial: emptyVersionCounts, settled: emptyVersionCounts};
			const side = version === trial.version ? 'trial' : 'settled';
			trial.ownCounts.set(route, {...counts, [side]: addVersionCounts(counts[side], {requests: 1, failures: quality === 'failed' ? 1 : 0, slow: quality === 'slow' ? 1 : 0})});
		},
	};
}

/** Sums the counts of all gateways by route. */
export function getTrialEvidence(trial: Trial): TrialEvidence[] {
	return Object.entries(getSummedCounts(trial, [...trial.peerCounts.keys()])).map(([route, counts]) => ({route, ...counts}));
}

/** Sums the counts of this gateway and of these peers by route. */
export function getSummedCounts(trial: Trial, peerIds: readonly string[]): TrialCountsMessage['routes'] {
	const sums = new Map<string, {trial: VersionCounts; settled: VersionCounts}>();
	for (const routes of [Object.fromEntries(trial.ownCounts), ...peerIds.map(id => trial.peerCounts.get(id) ?? {})]) {
		for (const [route, counts] of Object.entries(routes)) {
			const sum = sums.get(route) ?? {trial: emptyVersionCounts, settled: emptyVersionCounts};
			sums.set(route, {trial: addVersionCounts(sum.trial, counts.trial), settled: addVersionCounts(sum.settled, counts.settled)});
		}
	}

	return Object.fromEntries(sums);
}

/**
 * Whether what names the order belongs to this trial. In another era, the order
 * of the same version may be the same one, written again; a peer of an older build
 * names no era.
 */
export function isTrialOf(trial: Trial, order: Pick<Trial, 'version' | 'era' | 'revision'>): boolean {
	return order.era === trial.era || order.era === 0 ? order.revision === trial.revision : order.version === trial.version;
}
