/**
 * The driver of target health for targets that answer over HTTP at their own
 * address: `{"healthy": true, "load": 0.5}` with status 200, or 503 when they
 * aren't healthy. Any other answer says nothing.
 */
import {Agent} from 'undici';
import * as z from 'zod';
import {getErrorMessage} from '@catkindale/common';
import {type TargetHealthSettings, targetHealthDrivers} from './driver-registry.js';
import {parseJson} from './http-caller.js';
import type {TargetHealthOutcome, TargetHealthReader} from './target-health-port.js';

const healthSchema = z.object({
	healthy: z.boolean().default(true),
	load: z.number().min(0).default(0),
});

const statusHealthy = 200;
const statusUnhealthy = 503;
const longestAnswerBytes = 4096;
const idleMilliseconds = 5000;

targetHealthDrivers.register('http', (settings): TargetHealthReader => {
	// A target is asked rarely and has few connections to spare.
	const agent = new Agent({
		connections: 1,
		pipelining: 1,
		keepAliveTimeout: idleMilliseconds,
		connect: {timeout: settings.timeoutMilliseconds},
		maxResponseSize: longestAnswerBytes,
	});
	let callsInFlight = 0;
	return {
		async read(targetAddress) {
			if (callsInFlight >= settings.maximumCallsInFlight) {
				return {kind: 'not-done', reason: `${callsInFlight} calls are in flight already`};
			}

			callsInFlight += 1;
			try {
				return await ask(agent, targetAddress, settings);
			} catch (error) {
				return {kind: 'not-done', reason: getErrorMessage(error)};
			} finally {
				callsInFlight -= 1;
			}
		},
		async close() {
			await agent.destroy();
		},
	};
});

async function ask(agent: Agent, targetAddress: string, {path, timeoutMilliseconds}: TargetHealthSettings): Promise<TargetHealthOutcome> {
	const {statusCode, body} = await agent.request({
		origin: `http://${targetAddress}`,
		path,
		method: 'GET',
		signal: AbortSignal.timeout(timeoutMilliseconds),
	});
	const content = await body.bytes();
	if (statusCode !== statusHealthy && statusCode !== statusUnhealthy) {
		return {kind: 'not-done', reason: `the target answered with status ${statusCode}`};
	}

	const {healthy, load} = healthSchema.parse(parseJson(content));
	return {kind: 'done', health: {isHealthy: healthy && statusCode === statusHealthy, load}};
}
