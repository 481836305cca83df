/** The stop of a process: a plug-in that fails or hangs in it keeps no other from finishing its work. */
import {describe, expect, it} from 'vitest';
import {createSilentLogger} from '@catkindale/common';
import {type Plugin, type Task, startPlugins} from '@catkindale/kernel';

const maximumStopMilliseconds = 100;

const cases: ReadonlyArray<{readonly name: string; readonly faulty: Partial<Task>; readonly event: string}> = [
	{
		name: 'fails to drain', event: 'plugin_drained_failed', faulty: {
			async drain() {
				throw new Error('can\'t drain');
			},
		},
	},
	{
		name: 'fails to stop', event: 'plugin_stopped_failed', faulty: {
			async stop() {
				throw new Error('can\'t stop');
			},
		},
	},
	{
		name: 'doesn\'t come to an end', event: 'plugin_stopped_failed', faulty: {
			async stop() {
				return Promise.race<void>([]);
			},
		},
	},
];

describe('a stop with a plug-in that', () => {
	it.each(cases)('$name goes on with the others and logs it', async ({faulty, event}) => {
		const steps: string[] = [];
		const errors: string[] = [];
		const logger = {
			...createSilentLogger(), error(name: string) {
				errors.push(name);
			},
		};
		const createPlugin = (name: string, order: number, task: Partial<Task>): Plugin<object> => ({
			name, order, roles: [], start: async () => ({
				async drain() {
					steps.push(`${name} drained`);
				},
				async stop() {
					steps.push(`${name} stopped`);
				},
				...task,
			}),
		});
		const lifeCycle = await startPlugins([createPlugin('server', 1, {}), createPlugin('faulty', 2, faulty)], {}, {logger, maximumStopMilliseconds});
		await lifeCycle.stop();
		expect(steps).toEqual(expect.arrayContaining(['server drained', 'server stopped']));
		expect(errors).toEqual([event]);
	});
});
