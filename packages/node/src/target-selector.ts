/**
 * Gives a request a slot at one of its service's targets, or refuses it.
 * A request waits only within its deadline.
 */
import type {Registry} from 'prom-client';
import {type Clock, type Random, createRandom} from '@catkindale/common';
import type {
	AttemptKind, RequestClass, Target, TargetReport,
} from '@catkindale/policy';
import {type TargetPoolState, createSelectorMetrics} from './selector-metrics.js';
import {type SelectorQuota, type TargetPool, createTargetPool} from './target-pool.js';

export type SelectionRequest = {
	readonly service: string;
	readonly customer: string;
	readonly class: RequestClass;
	/** Monotonic time in milliseconds after which the request is useless. */
	readonly deadlineAt: number;
	/** The targets that may serve it: of the chosen version, none drained. */
	readonly candidates: readonly Target[];
	/** Names of targets that were tried already. */
	readonly excluded: ReadonlySet<string>;
	/** Aborted when the caller goes away. */
	readonly signal: AbortSignal;
};

/** How an attempt at a target ended, for the choice of later ones. */
export type AttemptResult = {
	readonly kind: AttemptKind;
	readonly milliseconds: number;
	/** Time to the head of the answer, where known: a slow caller then doesn't make its target look slow. */
	readonly timeToHeadMilliseconds?: number;
};

export type SelectedTarget = {
	readonly target: Target;
	/** Gives the slot back; called exactly once. */
	readonly finish: (result: AttemptResult) => void;
};

export type Selection
	= | ({readonly kind: 'selected'} & SelectedTarget)
		| {readonly kind: 'refused'; readonly reason: 'no-target' | 'no-slot' | 'queue-full' | 'deadline' | 'cancelled'; readonly retryAfterMilliseconds: number};

export type TargetSelector = {
	select: (request: SelectionRequest) => Promise<Selection>;
	/** Takes in what a target says of itself; it can only lower what the target gets. */
	recordReport: (target: Target, report: TargetReport) => void;
	/** Notes that slots at a target were lent to this node. */
	refreshSlots: (target: string) => void;
	/** Milliseconds within which nearly all requests of the service are answered; 0 while unknown. */
	getSafeLatency: (service: string) => number;
	getPoolStates: () => TargetPoolState[];
};

export type TargetSelectorDependencies = {
	readonly quota: SelectorQuota;
	/** The region of this node. */
	readonly region: string;
	readonly clock: Clock;
	readonly registry: Registry;
	readonly random?: Random;
	/** Whether the quota of the link to the region allows another request. */
	readonly isRegionOpen?: (region: string) => boolean;
	/** Weight of the customer in the fair queue; alike for all by default. */
	readonly getWeight?: (customer: string) => number;
};

const retryAfterMilliseconds = 1000;
const poolLifeMilliseconds = 600_000;
const largestSeed = 0x7F_FF_FF_FF;

export function createTargetSelector(parts: TargetSelectorDependencies): TargetSelector {
	const {clock, registry} = parts;
	const pools = new Map<string, TargetPool>();
	const random = parts.random ?? createRandom(Math.floor(Math.random() * largestSeed));
	const getPools = (): TargetPoolState[] => [...pools.values()].map(pool => pool.getState());
	const metrics = createSelectorMetrics(registry, getPools);

	/** Versions come and go; their pools are forgotten when no request has come for long. */
	const forgetUnused = (now: number): void => {
		for (const [name, pool] of pools) {
			if (now - pool.getUsedAt() > poolLifeMilliseconds && pool.getState().inUse === 0) {
				pools.delete(name);
			}
		}
	};

	const getPool = (target: Target): TargetPool => {
		const name = getPoolName(target);
		const known = pools.get(name);
		if (known) {
			return known;
		}

		forgetUnused(clock.monotonic());
		const pool = createTargetPool({...parts, random});
		pools.set(name, pool);
		return pool;
	};

	const wait = async (request: SelectionRequest): Promise<Selection> => {
		const [first] = request.candidates;
		if (!first) {
			return {kind: 'refused', reason: 'no-target', retryAfterMilliseconds};
		}

		if (request.signal.aborted) {
			return {kind: 'refused', reason: 'cancelled', retryAfterMilliseconds};
		}

		return getPool(first).select(request);
	};

	return {
		async select(request) {
			const queuedAt = clock.monotonic();
			const selection = await wait(request);
			metrics.observeWait(request.customer, request.class, clock.monotonic() - queuedAt);
			if (selection.kind === 'refused') {
				metrics.countRefusal(request.customer, request.class, selection.reason);
			}

			return selection;
		},
		recordReport(target, report) {
			pools.get(getPoolName(target))?.recordReport(target.name, report);
		},
		refreshSlots(target) {
			for (const pool of pools.values()) {
				pool.refreshSlots(target);
			}
		},
		getSafeLatency(service) {
			let longest = 0;
			for (const pool of pools.values()) {
				longest = pool.getService() === service ? Math.max(longest, pool.getSafeLatency()) : longest;
			}

			return longest;
		},
		getPoolStates: getPools,
	};
}

function getPoolName(target: Target): string {
	return `${target.service} ${target.version}`;
}
