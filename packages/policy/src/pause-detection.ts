/**
 * Detects how long a process or its VM was paused. The monotonic clock of a
 * paused VM may stop; the wall clock shows the time that passed.
 */

/** Both clocks in milliseconds, read together. */
export type ClockReading = {readonly monotonic: number; readonly wall: number};

/** Differences up to this are attributed to the wall clock's resolution and slewing. */
export const clockToleranceMilliseconds = 50;

/** Milliseconds by which the wall clock advanced more than the monotonic clock since the reference; 0 within the tolerance. */
export function getPauseMilliseconds(reference: ClockReading, reading: ClockReading): number {
	const ahead = getDrift(reference, reading);
	return ahead > clockToleranceMilliseconds ? ahead : 0;
}

/** The reference for later readings, replaced once the clocks have drifted apart by more than the tolerance. */
export function updateClockReference(reference: ClockReading, reading: ClockReading): ClockReading {
	return Math.abs(getDrift(reference, reading)) > clockToleranceMilliseconds ? reading : reference;
}

function getDrift(reference: ClockReading, reading: ClockReading): number {
	return (reading.wall - reference.wall) - (reading.monotonic - reference.monotonic);
}
