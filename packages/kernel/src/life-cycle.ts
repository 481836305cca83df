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
	for (const {name, task: {drain}} of reversed) {
		if (drain) {
			await runStep({event: 'plugin_drained', name, run: drain}, logger);
		}
	}

	for (const {name, task} of reversed) {
		await runStep({event: 'plugin_stopped', name, run: task.stop}, logger);
	}

	logger.info('stopped', {drain_seconds: getSecondsSince(startedAt)});
}

type StopStep = {readonly event: 'plugin_drained' | 'plugin_stopped'; readonly name: string; readonly run: () => Promise<void>};

async function runStep({event, name, run}: StopStep, logger: Logger): Promise<void> {
	const startedAt = performance.now();
	await run();
	logger.info(event, {plugin: name, seconds: getSecondsSince(startedAt)});
}

function getSecondsSince(startedAt: number): string {
	return ((performance.now() - startedAt) / millisecondsPerSecond).toFixed(3);
}
