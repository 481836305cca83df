/**
 * Assigns a request a slot at a target of its service, or refuses it. A request
 * waits at most until its deadline.
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
	/** The targets that may serve the request: those of the chosen version that aren't drained. */
	readonly candidates: readonly Target[];
	/** Names of targets that were tried already. */
	readonly excluded: ReadonlySet<string>;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** The result of an attempt at a target, which later selections use. */
export type AttemptResult = {
	readonly kind: AttemptKind;
	readonly milliseconds: number;
	/** Time to the head of the response, if known; it keeps a slow caller from making its target look slow. */
	readonly timeToHeadMilliseconds?: number;
};

export type SelectedTarget = {
	readonly target: Target;
	/** Releases the slot; must be called exactly once. */
	readonly finish: (result: AttemptResult) => void;
};

export type Selection
	= | ({readonly kind: 'selected'} & SelectedTarget)
		| {readonly kind: 'refused'; readonly reason: 'no-target' | 'no-slot' | 'queue-full' | 'deadline' | 'cancelled'; readonly retryAfterMilliseconds: number};

export type TargetSelector = {
	select: (request: SelectionRequest) => Promise<Selection>;
	/** Records a target's report on itself; it can only reduce the requests that the target gets. */
	recordReport: (target: Target, report: TargetReport) => void;
	/** Updates the slots at a target after some were lent to this node. */
	refreshSlots: (target: string) => void;
	/** Milliseconds within which nearly all requests of the service get their response; 0 while unknown. */
	getLatencyBound: (service: string) => number;
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
	readonly hasCapacityTo?: (region: string) => boolean;
	/** Weight of the customer in the fair queue; equal for all by default. */
	readonly getWeight?: (customer: string) => number;
};

const retryAfterMilliseconds = 1000;
const unusedPoolLifetimeMilliseconds = 600_000;
const maximumSeed = 0x7F_FF_FF_FF;

export function createTargetSelector(dependencies: TargetSelectorDependencies): TargetSelector {
	const {clock, registry} = dependencies;
	const pools = new Map<string, TargetPool>();
	const random = dependencies.random ?? createRandom(Math.floor(Math.random() * maximumSeed));
	const getPoolStates = (): TargetPoolState[] => [...pools.values()].map(pool => pool.getState());
	const metrics = createSelectorMetrics(registry, getPoolStates);

	/** Removes the pools of versions that have had no request for a long time. */
	const removeUnusedPools = (now: number): void => {
		for (const [name, pool] of pools) {
			if (now - pool.getUsedAt() > unusedPoolLifetimeMilliseconds && pool.getState().inUse === 0) {
				pools.delete(name);
			}
		}
	};

	const getPool = (target: Target): TargetPool => {
		const name = getPoolName(target);
		const existing = pools.get(name);
		if (existing) {
			return existing;
		}

		removeUnusedPools(clock.monotonic());
		const pool = createTargetPool({...dependencies, random});
		pools.set(name, pool);
		return pool;
	};

	const waitForSlot = async (request: SelectionRequest): Promise<Selection> => {
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
			const selection = await waitForSlot(request);
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
		getLatencyBound(service) {
			let maximum = 0;
			for (const pool of pools.values()) {
				maximum = pool.getService() === service ? Math.max(maximum, pool.getLatencyBound()) : maximum;
			}

			return maximum;
		},
		getPoolStates,
	};
}

function getPoolName(target: Target): string {
	return `${target.service} ${target.version}`;
}
