/**
 * How much of another region's slots the requests of this region may use. The
 * part starts small and doubles while the other region stays well, so that a
 * failing region is a shift within a limit and never an avalanche.
 */

export type RegionSpill = {
	/** The part of the slots held in the other region, above 0 up to 1. */
	readonly fraction: number;
	readonly changedAt: number;
	/** When a request last went to the other region. */
	readonly usedAt: number;
	/** Whether the limit was reached since the last change. */
	readonly wasReached: boolean;
};

const firstPart = 0.1;
const windowMilliseconds = 2000;
const idleMilliseconds = 30_000;
const wellFailureShare = 0.1;
const illFailureShare = 0.3;

export function createRegionSpill(now: number): RegionSpill {
	return {
		fraction: firstPart, changedAt: now, usedAt: now, wasReached: false,
	};
}

/** Requests that may be in flight to the other region;. */
export function getSpillLimit(spill: RegionSpill, heldSlots: number): number {
	return Math.min(heldSlots, Math.ceil(heldSlots * spill.fraction));
}

/** Notes that a request was held back by the limit. */
export function recordSpillLimitReached(spill: RegionSpill): RegionSpill {
	return spill.wasReached ? spill : {...spill, wasReached: true};
}

/** Notes that a request goes to the other region. */
export function recordSpill(spill: RegionSpill, now: number): RegionSpill {
	return {...spill, usedAt: now};
}

/** Moves the limit once per window by the failures seen in the other region. */
export function updateRegionSpill(spill: RegionSpill, failureShare: number, now: number): RegionSpill {
	const elapsed = now - spill.changedAt;
	if (elapsed < windowMilliseconds) {
		return spill;
	}

	if (failureShare > illFailureShare) {
		return {
			...spill, fraction: Math.max(firstPart, spill.fraction / 2), changedAt: now, wasReached: false,
		};
	}

	if (spill.wasReached && failureShare < wellFailureShare) {
		return {
			...spill, fraction: Math.min(1, spill.fraction * 2), changedAt: now, wasReached: false,
		};
	}

	return now - spill.usedAt > idleMilliseconds ? createRegionSpill(now) : spill;
}
