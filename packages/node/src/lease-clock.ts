/**
 * Two ways to tell the time of one node. What this node may still do by a
 * lease or a loan is counted by `own`, which also counts time that the VM was
 * frozen. How long this node waits for others to have stopped is counted by
 * `monotonic`, which may only be too slow.
 */
import type {Clock} from '@catkindale/common';
import {getPauseMilliseconds, updateClockReference} from '@catkindale/policy';

export type LeaseClock = {
	monotonic: () => number;
	/** The monotonic time plus all time found frozen. */
	pauseAdjusted: () => number;
	/** Called with the milliseconds whenever frozen time is found, before `own` returns. */
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
