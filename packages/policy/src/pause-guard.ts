/**
 * Notices that this process didn't run for a while: it was paused, its machine
 * was suspended, or it was too busy for anything. Others may have changed, taken
 * over or withdrawn in the meantime what this process still holds. Until it has
 * read again what is in force, it must not act on what it knew.
 *
 * A machine's monotonic clock may stop while the machine is suspended, so both
 * clocks count. A step of the wall clock looks the same, and costs one reading.
 */
import type {ClockReading} from './pause-detection.js';

export type PauseGuard = {
	/** Records that the process runs. Returns the length of the pause that ends now; 0 if there was none. */
	readonly observe: (reading: ClockReading) => number;
	/** Whether what the process knew before a pause still awaits its confirmation. */
	readonly isUnconfirmed: (now: number) => boolean;
	/** Records that what is in force was read after the pause. */
	readonly confirm: () => void;
};

export type PauseGuardOptions = {
	/** A process that doesn't run for longer than this may have been replaced by others. */
	readonly limitMilliseconds: number;
	/** The source may be silent for everybody; after this time, the process goes on with what it knew. */
	readonly maximumMilliseconds: number;
};

export function createPauseGuard({limitMilliseconds, maximumMilliseconds}: PauseGuardOptions): PauseGuard {
	let last: ClockReading | undefined;
	let unconfirmedUntil = Number.NEGATIVE_INFINITY;
	return {
		observe(reading) {
			const pausedMilliseconds = last ? Math.max(reading.monotonic - last.monotonic, reading.wall - last.wall) : 0;
			last = reading;
			if (pausedMilliseconds <= limitMilliseconds) {
				return 0;
			}

			unconfirmedUntil = reading.monotonic + maximumMilliseconds;
			return pausedMilliseconds;
		},
		isUnconfirmed: now => now < unconfirmedUntil,
		confirm() {
			unconfirmedUntil = Number.NEGATIVE_INFINITY;
		},
	};
}
