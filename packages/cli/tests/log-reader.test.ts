/** A node whose log nobody reads any more: its requests don't depend on that. */
import {once} from 'node:events';
import {request} from 'undici';
import {afterAll, expect, test} from 'vitest';
import {endProcesses, startNodeProcess, startPlatformProcesses} from './helpers.js';

afterAll(endProcesses);

// A supervisor that ends or restarts its log collector closes the pipe; the next line then fails.
test('a node goes on, and stops in order, after the reader of its log has gone', async () => {
	const platform = await startPlatformProcesses();
	const node = await startNodeProcess(platform, {name: 'oslo-1', region: 'oslo', zone: 'oslo-a'}, 'timing = {lookupHoldMilliseconds = 1000}');
	const {child: {stdout, stderr}} = node;
	stdout?.destroy();
	stderr?.destroy();
	await Promise.all([stdout, stderr].map(async stream => stream?.closed === false && once(stream, 'close')));
	// Each signal writes a line.
	node.sendSignal('SIGTERM');
	node.sendSignal('SIGINT');
	const response = await request(node.metricsUrl);
	await response.body.dump();
	expect({served: response.statusCode < 500, exitCode: await node.waitForExit()}).toEqual({served: true, exitCode: 0});
}, 30_000);
