/**
 * The two clocks of a node. `pauseAdjusted` limits what this node may do under
 * a lease or a loan: it includes the time for which the VM was paused.
 * `monotonic` measures how long this node waits until other nodes must have
 * stopped: it may run slow, which only lengthens the wait.
 */
import type {Clock} from '@catkindale/common';
import {getPauseMilliseconds, updateClockReference} from '@catkindale/policy';

export type LeaseClock = {
	monotonic: () => number;
	/** The monotonic time plus the total of all detected pauses. */
	pauseAdjusted: () => number;
	/** Registers a listener that is called with the length of each detected pause, before `pauseAdjusted` returns. */
	onPause: (listener: (milliseconds: number) => void) => void;
};

export function createLeaseClock(clock: Clock): LeaseClock {
	const listeners: Array<(milliseconds: number) => void> = [];
	let reference = {monotonic: clock.monotonic(), wall: clock.wall()};
	let totalPausedMilliseconds = 0;
	return {
		monotonic: clock.monotonic,
		pauseAdjusted() {
			const reading = {monotonic: clock.monotonic(), wall: clock.wall()};
			const pausedMilliseconds = getPauseMilliseconds(reference, reading);
			reference = updateClockReference(reference, reading);
			if (pausedMilliseconds > 0) {
				totalPausedMilliseconds += pausedMilliseconds;
				for (const listener of listeners) {
					listener(pausedMilliseconds);
				}
			}

			return reading.monotonic + totalPausedMilliseconds;
		},
		onPause(listener) {
			listeners.push(listener);
		},
	};
}
