/** How busy the process is: the part of the time in which its event loop works, and whether its timers run late. */
import {performance} from 'node:perf_hooks';

export type LoopLoad = {
	/** The busy part of the time since the last call, from 0 to 1. */
	takeUse: () => number;
	/** Whether what arrives may have waited for long before it is read. */
	isLate: () => boolean;
	stop: () => void;
};

const checkMilliseconds = 100;
/** Timers are late by some milliseconds at any time. */
const lateMilliseconds = 50;
/** After a late check what piled up takes a while to be read. */
const lateHoldMilliseconds = 500;

export function startLoopLoad(): LoopLoad {
	let utilization = performance.eventLoopUtilization();
	let checkedAt = performance.now();
	let lateUntil = 0;
	const timer = setInterval(() => {
		const now = performance.now();
		if (now - checkedAt - checkMilliseconds > lateMilliseconds) {
			lateUntil = now + lateHoldMilliseconds;
		}

		checkedAt = now;
	}, checkMilliseconds);
	return {
		takeUse() {
			const current = performance.eventLoopUtilization();
			const {utilization: use} = performance.eventLoopUtilization(current, utilization);
			utilization = current;
			return use;
		},
		isLate: () => performance.now() < lateUntil || performance.now() - checkedAt - checkMilliseconds > lateMilliseconds,
		stop() {
			clearInterval(timer);
		},
	};
}
