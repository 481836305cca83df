/**
 * A gateway's state for each registered target: its connections, the estimated
 * condition of the target, and the time until which the target is cold.
 */
import type {Clock} from '@catkindale/common';
import {
	type ObjectAdmission, type TargetCondition, type TrafficTarget, type RateBucket, createTargetCondition, createRateBucket, fullAdmission, hashName, isSameInstance,
} from '@catkindale/policy';
import {type ConnectionTraffic, type TargetConnections, createTargetConnections} from './target-connections.js';

export type GatewayTarget = {
	registration: TrafficTarget;
	/** Hash of the identifier, by which objects are given to targets. */
	readonly nameHash: number;
	condition: TargetCondition;
	/** The share of the objects that this gateway sends to the target. */
	admission: ObjectAdmission;
	readonly connections: TargetConnections;
	/** Monotonic time in milliseconds. */
	coldUntil: number;
	rateBucket: RateBucket;
	readonly reported: ReportedState;
};

/** What the target has reported of itself in its responses. This holds until the target starts anew, whatever its registration says. */
export type ReportedState = {
	isLeaving: boolean;
	/** Requests per second that the target takes from all gateways together; undefined while it names no limit. */
	limitPerSecond: number | undefined;
	/** Monotonic time in milliseconds until which the target takes no request from this gateway. */
	pausedUntil: number;
};

export type GatewayTargets = {
	setTargets: (targets: readonly TrafficTarget[]) => void;
	/** The targets of a service that aren't leaving. */
	getServing: (service: string) => readonly GatewayTarget[];
	getAll: () => readonly GatewayTarget[];
	/** The network round trip to a region. */
	getRoundTripMilliseconds: (region: string) => number;
	/** Stops using the target at once, because it reported that it is leaving. */
	markLeaving: (target: GatewayTarget) => void;
	/** Stops using the target until its registration is read again, because another target has its address. */
	markMisdirected: (target: GatewayTarget) => void;
	close: () => Promise<void>;
};

export type GatewayTargetsOptions = {
	readonly clock: Clock;
	readonly region: string;
	readonly connectionsPerTarget: number;
	/** Called with the bytes of a connection's last request. */
	readonly onTraffic: (target: TrafficTarget, traffic: ConnectionTraffic) => void;
	readonly onRemoved: (target: TrafficTarget) => void;
};

/** Round trips that are assumed until the first connection has measured them. */
const localRoundTripMilliseconds = 2;
const remoteRoundTripMilliseconds = 40;
/** The loss of two SYN packets would take longer; by then the request should be sent to another target. */
const connectTimeoutMilliseconds = 700;
/** Below the idle time after which targets close connections without announcing it. */
const idleConnectionTimeoutMilliseconds = 8000;
const maximumRemovedTargets = 1000;

export function createGatewayTargets({clock, region: localRegion, connectionsPerTarget, onTraffic, onRemoved}: GatewayTargetsOptions): GatewayTargets {
	const targetsById = new Map<string, GatewayTarget>();
	/** The targets that were removed last, in the order of their removal. */
	const removedTargets = new Map<string, Pick<GatewayTarget, 'registration' | 'reported'>>();
	const roundTrips = new Map<string, number>();
	let servingByService = new Map<string, GatewayTarget[]>();

	const createTarget = (registration: TrafficTarget): GatewayTarget => {
		const now = clock.monotonic();
		const connections = createTargetConnections(registration.address, {
			maximumConnections: connectionsPerTarget,
			connectTimeoutMilliseconds,
			idleTimeoutMilliseconds: idleConnectionTimeoutMilliseconds,
			onTraffic(traffic) {
				onTraffic(registration, traffic);
			},
			onConnected(milliseconds) {
				roundTrips.set(registration.region, Math.min(roundTrips.get(registration.region) ?? Number.POSITIVE_INFINITY, milliseconds));
			},
		});
		return {
			registration,
			nameHash: hashName(registration.id),
			condition: createTargetCondition(now),
			admission: fullAdmission,
			connections,
			coldUntil: now + registration.coldForMilliseconds,
			rateBucket: createRateBucket(now),
			reported: getReportedState(registration),
		};
	};

	/** Returns what the same instance reported before its registration disappeared, which may happen while the store is down. */
	const getReportedState = (registration: TrafficTarget): ReportedState => {
		const removed = removedTargets.get(registration.id);
		removedTargets.delete(registration.id);
		return removed && isSameInstance(removed.registration, registration) ? removed.reported : {isLeaving: false, limitPerSecond: undefined, pausedUntil: Number.NEGATIVE_INFINITY};
	};

	const removeTarget = (target: GatewayTarget): void => {
		removedTargets.set(target.registration.id, {registration: target.registration, reported: target.reported});
		const [oldest] = removedTargets.keys();
		if (removedTargets.size > maximumRemovedTargets && oldest !== undefined) {
			removedTargets.delete(oldest);
		}

		target.connections.retireAll();
		onRemoved(target.registration);
	};

	const updateRegistration = (target: GatewayTarget, registration: TrafficTarget): void => {
		// An unchanged registration has no new information on how long the target stays cold. Its revision may be given out again when the source comes back from a copy.
		if (registration.revision !== target.registration.revision || registration.coldForMilliseconds !== target.registration.coldForMilliseconds) {
			target.coldUntil = clock.monotonic() + registration.coldForMilliseconds;
		}

		target.registration = registration;
	};

	const indexServingTargets = (): void => {
		servingByService = new Map();
		for (const target of targetsById.values()) {
			if (target.registration.isLeaving || target.reported.isLeaving) {
				continue;
			}

			const {service} = target.registration;
			const serving = servingByService.get(service) ?? [];
			serving.push(target);
			servingByService.set(service, serving);
		}
	};

	return {
		setTargets(registrations) {
			const present = new Set(registrations.map(({id}) => id));
			for (const [id, target] of targetsById) {
				if (!present.has(id)) {
					targetsById.delete(id);
					removeTarget(target);
				}
			}

			for (const registration of registrations) {
				const existing = targetsById.get(registration.id);
				if (existing && isSameInstance(existing.registration, registration)) {
					updateRegistration(existing, registration);
					continue;
				}

				if (existing) {
					removeTarget(existing);
				}

				targetsById.set(registration.id, createTarget(registration));
			}

			indexServingTargets();
		},
		getServing: service => servingByService.get(service) ?? [],
		getAll: () => [...targetsById.values()],
		getRoundTripMilliseconds: region => roundTrips.get(region) ?? (region === localRegion ? localRoundTripMilliseconds : remoteRoundTripMilliseconds),
		markLeaving(target) {
			if (!target.reported.isLeaving) {
				target.reported.isLeaving = true;
				indexServingTargets();
			}
		},
		markMisdirected(target) {
			if (!target.registration.isLeaving) {
				target.registration = {...target.registration, isLeaving: true};
				indexServingTargets();
			}
		},
		async close() {
			await Promise.all([...targetsById.values()].map(async target => target.connections.close()));
		},
	};
}
