/**
 * Limits the slots of a remote region that requests of the local region may use
 * as spillover. The limit starts small and doubles while the remote region stays
 * healthy, so that the traffic of a failing region can't overload another one.
 */

export type RegionSpill = {
	/** Usable fraction of the slots held in the remote region, above 0 and up to 1. */
	readonly fraction: number;
	readonly changedAt: number;
	/** When a request was last sent to the remote region. */
	readonly usedAt: number;
	/** Whether the limit was reached since it last changed. */
	readonly wasReached: boolean;
};

const initialFraction = 0.1;
const windowMilliseconds = 2000;
const idleMilliseconds = 30_000;
const healthyFailureFraction = 0.1;
const failingFailureFraction = 0.3;

export function createRegionSpill(now: number): RegionSpill {
	return {
		fraction: initialFraction, changedAt: now, usedAt: now, wasReached: false,
	};
}

/** Returns the number of requests that may be in flight to the remote region. */
export function getSpillLimit(spill: RegionSpill, heldSlots: number): number {
	return Math.min(heldSlots, Math.ceil(heldSlots * spill.fraction));
}

/** Records that the limit kept a request from the remote region. */
export function recordSpillLimitReached(spill: RegionSpill): RegionSpill {
	return spill.wasReached ? spill : {...spill, wasReached: true};
}

/** Records that a request is sent to the remote region. */
export function recordSpill(spill: RegionSpill, now: number): RegionSpill {
	return {...spill, usedAt: now};
}

/** Adjusts the limit, at most once per window, by the fraction of failures in the remote region. */
export function updateRegionSpill(spill: RegionSpill, failureFraction: number, now: number): RegionSpill {
	const elapsed = now - spill.changedAt;
	if (elapsed < windowMilliseconds) {
		return spill;
	}

	if (failureFraction > failingFailureFraction) {
		return {
			...spill, fraction: Math.max(initialFraction, spill.fraction / 2), changedAt: now, wasReached: false,
		};
	}

	if (spill.wasReached && failureFraction < healthyFailureFraction) {
		return {
			...spill, fraction: Math.min(1, spill.fraction * 2), changedAt: now, wasReached: false,
		};
	}

	return now - spill.usedAt > idleMilliseconds ? createRegionSpill(now) : spill;
}
