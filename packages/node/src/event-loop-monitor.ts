/** How busy the process is: the part of the time in which its event loop works, and how late it is. */
import type {Server} from 'node:net';
import {performance} from 'node:perf_hooks';
import {type AcceptQueue, watchAcceptQueue} from './accept-queue.js';

export type EventLoopMonitor = {
	/** The busy part of the time since the last call, from 0 to 1. */
	takeUtilization: () => number;
	/** About how long what is read now has waited to be read. */
	getDelayMilliseconds: () => number;
	/** Counts what waits to be accepted by the server as late too. */
	watchServer: (server: Server) => void;
	stop: () => void;
};

const checkMilliseconds = 50;
/** Reading what has piled up takes several turns of the loop. */
const heldMilliseconds = 400;

export function startEventLoopMonitor(): EventLoopMonitor {
	let utilization = performance.eventLoopUtilization();
	let checkedAt = performance.now();
	let latest = {milliseconds: 0, at: 0};
	const acceptQueues: AcceptQueue[] = [];
	const timer = setInterval(() => {
		const now = performance.now();
		const milliseconds = Math.max(0, now - checkedAt - checkMilliseconds);
		if (milliseconds >= latest.milliseconds || now - latest.at > heldMilliseconds) {
			latest = {milliseconds, at: now};
		}

		checkedAt = now;
	}, checkMilliseconds);
	return {
		takeUtilization() {
			const current = performance.eventLoopUtilization();
			const {utilization: use} = performance.eventLoopUtilization(current, utilization);
			utilization = current;
			return use;
		},
		getDelayMilliseconds: () => Math.max(
			// What came while the loop stood still is read over the next turns; a longer turn now makes it later.
			latest.milliseconds,
			performance.now() - checkedAt - checkMilliseconds,
			...acceptQueues.map(queue => queue.getStandingMilliseconds()),
		),
		watchServer(server) {
			acceptQueues.push(watchAcceptQueue(server));
		},
		stop() {
			clearInterval(timer);
		},
	};
}
