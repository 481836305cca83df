/**
 * How long a node's knowledge may be used without another proof that it is
 * current. Both clocks bound it, so that a paused process or VM finds its
 * knowledge out of date before it serves anything.
 */
import type {Clock} from '@catkindale/common';

export type FreshnessValidity = {
	/** Milliseconds by the monotonic clock. */
	readonly untilMonotonic: number;
	/** Milliseconds by the wall clock. */
	readonly untilWall: number;
};

/** The validity of a node that knows nothing yet. */
export const expiredValidity: FreshnessValidity = {untilMonotonic: Number.NEGATIVE_INFINITY, untilWall: Number.NEGATIVE_INFINITY};

export function isFresh(validity: FreshnessValidity, clock: Clock): boolean {
	return clock.monotonic() < validity.untilMonotonic && clock.wall() < validity.untilWall;
}
