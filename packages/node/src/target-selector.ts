/**
 * Gives a request a slot at one of its service's targets, or refuses it.
 * A request waits only within its deadline.
 */
import type {RequestClass, Target} from '@catkindale/policy';
import type {SlotQuota} from './slot-quota.js';

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
	readonly kind: 'answered' | 'failed' | 'shed' | 'not-sent' | 'lost' | 'cancelled';
	readonly milliseconds: number;
};

export type SelectedTarget = {
	readonly target: Target;
	/** Gives the slot back; called exactly once. */
	readonly finish: (result: AttemptResult) => void;
};

export type Selection
	= | ({readonly kind: 'selected'} & SelectedTarget)
		| {readonly kind: 'refused'; readonly reason: 'no-target' | 'no-slot' | 'queue-full' | 'deadline'; readonly retryAfterMilliseconds: number};

export type TargetSelector = {
	select: (request: SelectionRequest) => Promise<Selection>;
};

const retryAfterMilliseconds = 1000;

export function createTargetSelector(quota: SlotQuota): TargetSelector {
	return {
		async select({candidates, excluded}) {
			const usable = candidates.filter(target => !excluded.has(target.name));
			const ordered = usable.toSorted((left, right) => getFreeSlots(quota, right) - getFreeSlots(quota, left));
			const target = ordered.find(candidate => quota.take(candidate.name));
			if (!target) {
				return {kind: 'refused', reason: usable.length === 0 ? 'no-target' : 'no-slot', retryAfterMilliseconds};
			}

			return {
				kind: 'selected',
				target,
				finish() {
					quota.release(target.name);
				},
			};
		},
	};
}

function getFreeSlots(quota: SlotQuota, target: Target): number {
	return quota.getHeld(target.name) - quota.getInUse(target.name);
}
