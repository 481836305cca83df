/**
 * Time as the rest of the system sees it: a monotonic reading for durations
 * and a wall reading for deadlines that cross machines.
 */

/** Both readings are in milliseconds. */
export type Clock = {
	monotonic: () => number;
	wall: () => number;
};

/** A clock that moves only when told to, for tests and simulated time. */
export type ManualClock = Clock & {
	advance: (milliseconds: number) => void;
};

export const systemClock: Clock = {
	monotonic: () => performance.now(),
	wall: () => Date.now(),
};

/** Creates a clock whose wall reading starts at the given epoch time. */
export function createManualClock(wallStartMilliseconds = 0): ManualClock {
	let elapsed = 0;
	return {
		monotonic: () => elapsed,
		wall: () => wallStartMilliseconds + elapsed,
		advance(milliseconds) {
			elapsed += milliseconds;
		},
	};
}
