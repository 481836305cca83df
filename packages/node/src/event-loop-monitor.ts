/** Measures the load of the process: the utilization of its event loop and how late the loop handles input. */
import type {Server} from 'node:net';
import {performance} from 'node:perf_hooks';
import {type AcceptQueue, watchAcceptQueue} from './accept-queue.js';

export type EventLoopMonitor = {
	/** Returns the utilization since the previous call, from 0 to 1. */
	takeUtilization: () => number;
	/** Estimates how long input that is read now has waited to be read. */
	getDelayMilliseconds: () => number;
	/** Makes the delay include the time for which connections wait until the server accepts them. */
	watchServer: (server: Server) => void;
	stop: () => void;
};

const checkIntervalMilliseconds = 50;
/** A measured delay counts for this time, because reading the accumulated input takes several turns of the loop. */
const delayHoldMilliseconds = 400;

export function startEventLoopMonitor(): EventLoopMonitor {
	let lastMeasurement = performance.eventLoopUtilization();
	let checkedAt = performance.now();
	let latestDelay = {milliseconds: 0, at: 0};
	const acceptQueues: AcceptQueue[] = [];
	const timer = setInterval(() => {
		const now = performance.now();
		const milliseconds = Math.max(0, now - checkedAt - checkIntervalMilliseconds);
		if (milliseconds >= latestDelay.milliseconds || now - latestDelay.at > delayHoldMilliseconds) {
			latestDelay = {milliseconds, at: now};
		}

		checkedAt = now;
	}, checkIntervalMilliseconds);
	return {
		takeUtilization() {
			const current = performance.eventLoopUtilization();
			const {utilization: busyFraction} = performance.eventLoopUtilization(current, lastMeasurement);
			lastMeasurement = current;
			return busyFraction;
		},
		getDelayMilliseconds: () => Math.max(
			// Input that arrived while the loop was blocked is read over the next turns; a longer current turn delays it further.
			latestDelay.milliseconds,
			performance.now() - checkedAt - checkIntervalMilliseconds,
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
