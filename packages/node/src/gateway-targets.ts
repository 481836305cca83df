/**
 * The registered targets as one gateway sees them: its connections to each,
 * what it knows of the target's condition, and until when the target is cold.
 */
import type {Clock} from '@catkindale/common';
import {
	type ObjectAdmission, type TargetCondition, type TrafficTarget, type WarmupRate, createTargetCondition, createWarmupRate, fullAdmission,
} from '@catkindale/policy';
import {type TargetConnections, createTargetConnections} from './target-connections.js';

export type GatewayTarget = {
	target: TrafficTarget;
	condition: TargetCondition;
	/** The part of the objects that this gateway sends to the target. */
	admission: ObjectAdmission;
	readonly connections: TargetConnections;
	/** Monotonic time in milliseconds. */
	coldUntil: number;
	warmupRate: WarmupRate;
};

export type GatewayTargets = {
	setTargets: (targets: readonly TrafficTarget[]) => void;
	/** The targets of a service that aren't leaving. */
	getServing: (service: string) => readonly GatewayTarget[];
	getAll: () => readonly GatewayTarget[];
	/** Rises when the serving targets change. */
	getGeneration: () => number;
	/** The time that a request and its answer travel to a region and back. */
	getWayMilliseconds: (region: string) => number;
	/** Takes the target out at once, because it told so itself or another has its address. */
	markLeaving: (entry: GatewayTarget) => void;
	close: () => Promise<void>;
};

export type GatewayTargetsOptions = {
	readonly clock: Clock;
	readonly region: string;
	readonly connectionsPerTarget: number;
	readonly onForgotten: (target: TrafficTarget) => void;
};

/** Until the first connection shows it. */
const ownRegionWayMilliseconds = 2;
const foreignRegionWayMilliseconds = 40;
/** Two lost opening packets would take longer; the request is better off elsewhere by then. */
const connectTimeoutMilliseconds = 700;
/** Below the idle time after which targets close connections without telling. */
const idleConnectionMilliseconds = 8000;

export function createGatewayTargets({clock, region: ownRegion, connectionsPerTarget, onForgotten}: GatewayTargetsOptions): GatewayTargets {
	const entries = new Map<string, GatewayTarget>();
	const ways = new Map<string, number>();
	let serving = new Map<string, GatewayTarget[]>();
	let generation = 0;

	const open = (target: TrafficTarget): GatewayTarget => {
		const now = clock.monotonic();
		const connections = createTargetConnections(target.address, {
			connections: connectionsPerTarget,
			connectTimeoutMilliseconds,
			idleMilliseconds: idleConnectionMilliseconds,
			onConnected(milliseconds) {
				ways.set(target.region, Math.min(ways.get(target.region) ?? Number.POSITIVE_INFINITY, milliseconds));
			},
		});
		return {
			target, condition: createTargetCondition(now), admission: fullAdmission, connections, coldUntil: now + target.coldForMilliseconds, warmupRate: createWarmupRate(now),
		};
	};

	const forget = (entry: GatewayTarget): void => {
		entry.connections.retireAll();
		onForgotten(entry.target);
	};

	const update = (entry: GatewayTarget, target: TrafficTarget): void => {
		// An unchanged registration tells nothing new of how long the target stays cold.
		if (target.revision !== entry.target.revision) {
			entry.coldUntil = clock.monotonic() + target.coldForMilliseconds;
		}

		entry.target = target;
	};

	const index = (): void => {
		generation += 1;
		serving = new Map();
		for (const entry of entries.values()) {
			if (!entry.target.isLeaving) {
				serving.set(entry.target.service, [...serving.get(entry.target.service) ?? [], entry]);
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
				if (known && isSameStart(known.target, target)) {
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
		getWayMilliseconds: region => ways.get(region) ?? (region === ownRegion ? ownRegionWayMilliseconds : foreignRegionWayMilliseconds),
		markLeaving(entry) {
			if (!entry.target.isLeaving) {
				entry.target = {...entry.target, isLeaving: true};
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
