/**
 * Detects that the process was paused: by a gap between two ticks, or by wall
 * and monotonic clock drifting apart, since a monotonic clock may stand still
 * while a VM is frozen.
 */

export type PauseGuard = {
	readonly monotonic: number;
	readonly wall: number;
};

/** Both times in milliseconds, read together. */
export type ClockReading = {readonly monotonic: number; readonly wall: number};

export function updatePauseGuard(reading: ClockReading): PauseGuard {
	return reading;
}

/** Whether more than the limit has passed since the last tick by either clock, or they disagree by more. */
export function isPaused(guard: PauseGuard, reading: ClockReading, limitMilliseconds: number): boolean {
	const monotonic = reading.monotonic - guard.monotonic;
	const wall = reading.wall - guard.wall;
	return monotonic > limitMilliseconds || Math.abs(wall - monotonic) > limitMilliseconds;
}
