/**
 * Finds time that a process or its VM spent frozen. While a VM is frozen its
 * monotonic clock may stand still; the wall clock shows the time that passed.
 */

/** Both times in milliseconds, read together. */
export type ClockReading = {readonly monotonic: number; readonly wall: number};

/** Smaller differences are the resolution and the slewing of the wall clock. */
export const clockToleranceMilliseconds = 50;

/** Milliseconds by which the wall clock ran ahead since the reference; 0 within the tolerance. */
export function getPauseMilliseconds(reference: ClockReading, reading: ClockReading): number {
	const ahead = getDrift(reference, reading);
	return ahead > clockToleranceMilliseconds ? ahead : 0;
}

/** The reference for later readings: a new one once the clocks have drifted apart. */
export function updateClockReference(reference: ClockReading, reading: ClockReading): ClockReading {
	return Math.abs(getDrift(reference, reading)) > clockToleranceMilliseconds ? reading : reference;
}

function getDrift(reference: ClockReading, reading: ClockReading): number {
	return (reading.wall - reference.wall) - (reading.monotonic - reference.monotonic);
}
