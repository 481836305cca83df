/**
 * Life cycle of a process. Plug-ins start in order; once all have started,
 * `onAllStarted` is called in the same order. Draining and stopping run in reverse
 * order. If a plug-in fails in `start` or `onAllStarted`, those that started are stopped.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Logger, getErrorMessage, millisecondsPerSecond} from '@catkindale/common';
import type {Plugin, Task} from './plugin-registry.js';

type RunningTask = {readonly name: string; readonly task: Task};

export type LifeCycle = {
	/** Drains and stops all tasks; may be called more than once. */
	stop: () => Promise<void>;
};

export type LifeCycleOptions = {
	readonly logger: Logger;
	/** Time for all plug-ins to stop, after they have drained. The rest is stopped without waiting. */
	readonly maximumStopMilliseconds: number;
};

export async function startPlugins<Context>(plugins: ReadonlyArray<Plugin<Context>>, context: Context, options: LifeCycleOptions): Promise<LifeCycle> {
	const {logger} = options;
	const running: RunningTask[] = [];
	try {
		for (const plugin of plugins) {
			const task = await plugin.start(context);
			running.push({name: plugin.name, task});
			logger.debug('plugin_started', {plugin: plugin.name});
		}

		for (const {task} of running) {
			await task.onAllStarted?.();
		}
	} catch (error) {
		await stopTasks(running, options);
		throw error;
	}

	let stopping: Promise<void> | undefined;
	return {
		async stop() {
			stopping ??= stopTasks(running, options);
			return stopping;
		},
	};
}

async function stopTasks(running: readonly RunningTask[], {logger, maximumStopMilliseconds}: LifeCycleOptions): Promise<void> {
	const reversed = running.toReversed();
	const startedAt = performance.now();
	for (const {name, task: {drain}} of reversed) {
		if (drain) {
			await runStep({event: 'plugin_drained', name, run: drain}, logger);
		}
	}

	const stopsUntil = performance.now() + maximumStopMilliseconds;
	for (const {name, task: {stop}} of reversed) {
		await runStep({event: 'plugin_stopped', name, run: async () => waitUntilTime(stop(), stopsUntil)}, logger);
	}

	logger.info('stopped', {drain_seconds: getSecondsSince(startedAt)});
}

type StopStep = {readonly event: 'plugin_drained' | 'plugin_stopped'; readonly name: string; readonly run: () => Promise<void>};

/** A step that fails is logged, and the stop goes on: the other plug-ins still have requests to finish. */
async function runStep({event, name, run}: StopStep, logger: Logger): Promise<void> {
	const startedAt = performance.now();
	try {
		await run();
		logger.info(event, {plugin: name, seconds: getSecondsSince(startedAt)});
	} catch (error) {
		logger.error(`${event}_failed`, {plugin: name, seconds: getSecondsSince(startedAt), reason: getErrorMessage(error)});
	}
}

/** A plug-in may wait for a call to a service that doesn't answer, for which the process isn't kept alive. */
async function waitUntilTime(work: Promise<void>, endsAt: number): Promise<void> {
	const timeout = new AbortController();
	const timedOut = delay(Math.max(0, endsAt - performance.now()), 'timed out', {signal: timeout.signal});
	// Once the work is done, the timer ends with an error that concerns nobody.
	timedOut.catch(() => undefined);
	const result = await Promise.race([work, timedOut]);
	timeout.abort();
	if (result === 'timed out') {
		// A failure after this can't be told from the end of the process.
		work.catch(() => undefined);
		throw new Error('the stop took too long and goes on without it');
	}
}

function getSecondsSince(startedAt: number): string {
	return ((performance.now() - startedAt) / millisecondsPerSecond).toFixed(3);
}
