/**
 * Clocks that can be replaced in tests: monotonic time for durations and wall
 * time for deadlines that are sent to other machines.
 */

/** Both readings are in milliseconds. */
export type Clock = {
	monotonic: () => number;
	wall: () => number;
};

/** A clock that moves only when `advance` is called, for tests and simulations. */
export type ManualClock = Clock & {
	advance: (milliseconds: number) => void;
};

export const systemClock: Clock = {
	monotonic: () => performance.now(),
	wall: () => Date.now(),
};

/** Creates a manual clock whose wall time starts at the given milliseconds since the epoch. */
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
