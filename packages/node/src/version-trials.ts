/**
 * The moves to new versions as one gateway takes part in them: which of its
 * requests go to the new version, and what became of them there.
 */
import {
	type TrialEvidence, type VersionCounts, addVersionCounts, getObjectPosition, emptyVersionCounts, trialShare,
} from '@catkindale/policy';
import type {TrialCountsMessage, TrialState} from '@catkindale/protocol';

export type Trial = {
	readonly service: string;
	readonly version: string;
	readonly revision: number;
	readonly durationMilliseconds: number;
	/** Monotonic time at which this gateway takes the move to have begun. */
	startedAt: number;
	/** Monotonic time at which the leader last told how the move stands. */
	stageReceivedAt: number;
	state: TrialState;
	share: number;
	/** This gateway's counts by route. */
	readonly ownCounts: Map<string, {trial: VersionCounts; settled: VersionCounts}>;
	/** The latest counts of each other gateway. */
	readonly peerCounts: Map<string, TrialCountsMessage['routes']>;
	/** What is left to the next request on trial, by route. */
	readonly credits: Map<string, number>;
};

export type VersionPlan = {
	/** Whether the request is one of those that try the new version. */
	readonly isTrial: boolean;
	readonly allows: (version: string) => boolean;
};

export type AttemptQuality = 'good' | 'slow' | 'failed';

export type VersionTrials = {
	/** Takes the orders that are in force. */
	setOrders: (orders: ReadonlyArray<Pick<Trial, 'service' | 'version' | 'revision' | 'durationMilliseconds'>>, now: number) => void;
	get: (service: string) => Trial | undefined;
	getAll: () => readonly Trial[];
	/** Learns that a service was moved to a version completely before the move that is known here. */
	settle: (service: string, version: string) => void;
	/** The version of the last complete move before the present one; undefined if none is known. */
	getSettledVersion: (service: string) => string | undefined;
	/** Where the next request of a route may go; `object` keeps an object with one version while shares rise. */
	planRequest: (service: string, route: string, object: string | undefined) => VersionPlan;
	/** Where a request may go that the new version didn't serve. */
	planOutsideTrial: (service: string) => VersionPlan;
	recordAttempt: (service: string, route: string, version: string, kind: AttemptQuality) => void;
};

const anyVersion: VersionPlan = {isTrial: false, allows: () => true};

export function createVersionTrials(): VersionTrials {
	const trials = new Map<string, Trial>();
	/** The version of the last complete move of each service before the present one; all its targets are of it. */
	const settled = new Map<string, string>();
	/** Versions that were never moved to completely; they get nothing outside their own trial. */
	const unsettled = new Map<string, Set<string>>();

	const settle = (service: string, version: string): void => {
		settled.set(service, version);
	};

	const getUnsettled = (service: string): Set<string> => {
		const known = unsettled.get(service) ?? new Set();
		unsettled.set(service, known);
		return known;
	};

	const planSettled = (service: string): VersionPlan => {
		const trial = trials.get(service);
		if (trial?.state === 'complete') {
			return {isTrial: false, allows: version => version === trial.version};
		}

		const settledVersion = settled.get(service);
		if (settledVersion !== undefined) {
			return {isTrial: false, allows: version => version === settledVersion};
		}

		const held = unsettled.get(service);
		return held === undefined ? anyVersion : {isTrial: false, allows: version => !held.has(version)};
	};

	const isChosen = (trial: Trial, route: string, object: string | undefined): boolean => {
		if (trial.share >= 1) {
			return true;
		}

		if (trial.share > trialShare && object !== undefined) {
			return getObjectPosition(object, trial.version) < trial.share;
		}

		// Counting keeps to the share also over few requests; nodes begin at different places.
		const credit = (trial.credits.get(route) ?? Math.random()) + trial.share;
		trial.credits.set(route, credit >= 1 ? credit - 1 : credit);
		return credit >= 1;
	};

	return {
		setOrders(orders, now) {
			for (const {service, version, revision, durationMilliseconds} of orders) {
				const last = trials.get(service);
				if ((last?.revision ?? -1) >= revision) {
					continue;
				}

				if (last?.state === 'complete') {
					settle(service, last.version);
				}

				getUnsettled(service).add(version);
				trials.set(service, {
					service, version, revision, durationMilliseconds, startedAt: now, stageReceivedAt: now, state: 'running', share: trialShare, ownCounts: new Map(), peerCounts: new Map(), credits: new Map(),
				});
			}
		},
		get: service => trials.get(service),
		getAll: () => [...trials.values()],
		planRequest(service, route, object) {
			const trial = trials.get(service);
			if (trial?.state !== 'running' || !isChosen(trial, route, object)) {
				return planSettled(service);
			}

			return {isTrial: true, allows: version => version === trial.version};
		},
		settle,
		getSettledVersion: service => settled.get(service),
		planOutsideTrial: planSettled,
		recordAttempt(service, route, version, kind) {
			const trial = trials.get(service);
			if (trial?.state !== 'running') {
				return;
			}

			const counts = trial.ownCounts.get(route) ?? {trial: emptyVersionCounts, settled: emptyVersionCounts};
			const side = version === trial.version ? 'trial' : 'settled';
			trial.ownCounts.set(route, {...counts, [side]: addVersionCounts(counts[side], {requests: 1, failures: kind === 'failed' ? 1 : 0, slow: kind === 'slow' ? 1 : 0})});
		},
	};
}

/** The counts of all gateways together, by route. */
export function getTrialEvidence(trial: Trial): TrialEvidence[] {
	const sums = new Map<string, {trial: VersionCounts; settled: VersionCounts}>();
	for (const routes of [Object.fromEntries(trial.ownCounts), ...trial.peerCounts.values()]) {
		for (const [route, counts] of Object.entries(routes)) {
			const sum = sums.get(route) ?? {trial: emptyVersionCounts, settled: emptyVersionCounts};
			sums.set(route, {trial: addVersionCounts(sum.trial, counts.trial), settled: addVersionCounts(sum.settled, counts.settled)});
		}
	}

	return [...sums].map(([route, counts]) => ({route, ...counts}));
}
