/**
 * The registered targets as one gateway sees them: its connections to each,
 * what it knows of the target's condition, and until when the target is cold.
 */
import type {Clock} from '@catkindale/common';
import {
	type ObjectAdmission, type TargetCondition, type TrafficTarget, type WarmupBucket, createTargetCondition, createWarmupBucket, fullAdmission,
} from '@catkindale/policy';
import {type TargetConnections, createTargetConnections} from './target-connections.js';

export type GatewayTarget = {
	registration: TrafficTarget;
	condition: TargetCondition;
	/** The part of the objects that this gateway sends to the target. */
	admission: ObjectAdmission;
	readonly connections: TargetConnections;
	/** Monotonic time in milliseconds. */
	coldUntil: number;
	warmupRate: WarmupBucket;
};

export type GatewayTargets = {
	setTargets: (targets: readonly TrafficTarget[]) => void;
	/** The targets of a service that aren't leaving. */
	getServing: (service: string) => readonly GatewayTarget[];
	getAll: () => readonly GatewayTarget[];
	/** Rises when the serving targets change. */
	getGeneration: () => number;
	/** The time that a request and its answer travel to a region and back. */
	getRoundTripMilliseconds: (region: string) => number;
	/** Takes the target out at once, because it told so itself or another has its address. */
	markLeaving: (entry: GatewayTarget) => void;
	close: () => Promise<void>;
};

export type GatewayTargetsOptions = {
	readonly clock: Clock;
	readonly region: string;
	readonly connectionsPerTarget: number;
	readonly onRemoved: (target: TrafficTarget) => void;
};

/** Until the first connection shows it. */
const ownRegionWayMilliseconds = 2;
const foreignRegionWayMilliseconds = 40;
/** Two lost opening packets would take longer; the request is better off elsewhere by then. */
const connectTimeoutMilliseconds = 700;
/** Below the idle time after which targets close connections without telling. */
const idleConnectionMilliseconds = 8000;

export function createGatewayTargets({clock, region: ownRegion, connectionsPerTarget, onRemoved: onForgotten}: GatewayTargetsOptions): GatewayTargets {
	const entries = new Map<string, GatewayTarget>();
	const ways = new Map<string, number>();
	let serving = new Map<string, GatewayTarget[]>();
	let generation = 0;

	const open = (target: TrafficTarget): GatewayTarget => {
		const now = clock.monotonic();
		const connections = createTargetConnections(target.address, {
			maximumConnections: connectionsPerTarget,
			connectTimeoutMilliseconds,
			idleTimeoutMilliseconds: idleConnectionMilliseconds,
			onConnected(milliseconds) {
				ways.set(target.region, Math.min(ways.get(target.region) ?? Number.POSITIVE_INFINITY, milliseconds));
			},
		});
		return {
			registration: target, condition: createTargetCondition(now), admission: fullAdmission, connections, coldUntil: now + target.coldForMilliseconds, warmupRate: createWarmupBucket(now),
		};
	};

	const forget = (entry: GatewayTarget): void => {
		entry.connections.retireAll();
		onForgotten(entry.registration);
	};

	const update = (entry: GatewayTarget, target: TrafficTarget): void => {
		// An unchanged registration tells nothing new of how long the target stays cold.
		if (target.revision !== entry.registration.revision) {
			entry.coldUntil = clock.monotonic() + target.coldForMilliseconds;
		}

		entry.registration = target;
	};

	const index = (): void => {
		generation += 1;
		serving = new Map();
		for (const entry of entries.values()) {
			if (!entry.registration.isLeaving) {
				serving.set(entry.registration.service, [...serving.get(entry.registration.service) ?? [], entry]);
			}
		}
	};

	return {
		setTargets(targets) {
			const present = new Set(targets.map(({id}) => id));
			for (const [id, entry] of entries) {
				if (!present.has(id)) {
					entries.delete(id);
					forget(entry);
				}
			}

			for (const target of targets) {
				const known = entries.get(target.id);
				if (known && isSameStart(known.registration, target)) {
					update(known, target);
					continue;
				}

				if (known) {
					forget(known);
				}

				entries.set(target.id, open(target));
			}

			index();
		},
		getServing: service => serving.get(service) ?? [],
		getAll: () => [...entries.values()],
		getGeneration: () => generation,
		getRoundTripMilliseconds: region => ways.get(region) ?? (region === ownRegion ? ownRegionWayMilliseconds : foreignRegionWayMilliseconds),
		markLeaving(entry) {
			if (!entry.registration.isLeaving) {
				entry.registration = {...entry.registration, isLeaving: true};
				index();
			}
		},
		async close() {
			await Promise.all([...entries.values()].map(async entry => entry.connections.close()));
		},
	};
}

function isSameStart(left: TrafficTarget, right: TrafficTarget): boolean {
	return left.startedAt === right.startedAt && left.address === right.address;
}
