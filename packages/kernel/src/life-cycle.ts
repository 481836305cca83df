/**
 * Life cycle of a process. Plug-ins start in order; once all have started,
 * `onAllStarted` is called in the same order. Draining and stopping run in reverse
 * order. If a plug-in fails in `start` or `onAllStarted`, those that started are stopped.
 */
import {type Logger, millisecondsPerSecond} from '@catkindale/common';
import type {Plugin, Task} from './plugin-registry.js';

type RunningTask = {readonly name: string; readonly task: Task};

export type LifeCycle = {
	/** Drains and stops all tasks; may be called more than once. */
	stop: () => Promise<void>;
};

export async function startPlugins<Context>(plugins: ReadonlyArray<Plugin<Context>>, context: Context, logger: Logger): Promise<LifeCycle> {
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
		await stopTasks(running, logger);
		throw error;
	}

	let stopping: Promise<void> | undefined;
	return {
		async stop() {
			stopping ??= stopTasks(running, logger);
			return stopping;
		},
	};
}

async function stopTasks(running: readonly RunningTask[], logger: Logger): Promise<void> {
	const reversed = running.toReversed();
	const startedAt = performance.now();
	for (const {task} of reversed) {
		await task.drain?.();
	}

	for (const {task} of reversed) {
		await task.stop();
	}

	logger.info('stopped', {drain_seconds: ((performance.now() - startedAt) / millisecondsPerSecond).toFixed(3)});
}
