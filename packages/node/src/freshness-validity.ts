/**
 * The time until which a node may use its configuration without a new proof
 * that it is current. Both the monotonic and the wall clock bound it, so that
 * a process or VM that was paused detects an outdated configuration before it
 * serves a request.
 */
import type {Clock} from '@catkindale/common';

export type FreshnessValidity = {
	/** Milliseconds by the monotonic clock. */
	readonly untilMonotonic: number;
	/** Milliseconds by the wall clock. */
	readonly untilWall: number;
};

/** The validity of a node that has received no configuration yet. */
export const expiredValidity: FreshnessValidity = {untilMonotonic: Number.NEGATIVE_INFINITY, untilWall: Number.NEGATIVE_INFINITY};

export function isFresh(validity: FreshnessValidity, clock: Clock): boolean {
	return clock.monotonic() < validity.untilMonotonic && clock.wall() < validity.untilWall;
}
