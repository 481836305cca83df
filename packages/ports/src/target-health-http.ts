/**
 * Reads the health of targets over HTTP at their own addresses. A target
 * responds `{"healthy": true, "load": 0.5}` with status 200, or with status 503
 * when it isn't healthy. Any other response leaves the health unknown.
 */
import {Agent} from 'undici';
import * as z from 'zod';
import {getErrorMessage} from '@catkindale/common';
import {type TargetHealthSettings, targetHealthDrivers} from './driver-registry.js';
import {createConnector} from './http-connector.js';
import {maximumInterimResponses, parseJson} from './http-caller.js';
import type {TargetHealthOutcome, TargetHealthReader} from './target-health-port.js';

const healthSchema = z.object({
	healthy: z.boolean().default(true),
	load: z.number().min(0).default(0),
});

const statusHealthy = 200;
const statusUnhealthy = 503;
const maximumResponseBytes = 4096;
const keepAliveMilliseconds = 5000;

targetHealthDrivers.register('http', (settings): TargetHealthReader => {
	// Health is polled rarely, and connections of a target are scarce.
	const agent = new Agent({
		connections: 1,
		pipelining: 1,
		keepAliveTimeout: keepAliveMilliseconds,
		connect: createConnector(settings),
		maxResponseSize: maximumResponseBytes,
	});
	let callsInFlight = 0;
	return {
		async read(targetAddress) {
			if (callsInFlight >= settings.maximumCallsInFlight) {
				return {kind: 'not-done', reason: `${callsInFlight} calls are already in flight`};
			}

			callsInFlight += 1;
			try {
				return await requestHealth(agent, targetAddress, settings);
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

async function requestHealth(agent: Agent, targetAddress: string, {path, timeoutMilliseconds}: TargetHealthSettings): Promise<TargetHealthOutcome> {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, timeoutMilliseconds);
	try {
		return await readHealth(agent, {targetAddress, path, controller});
	} finally {
		clearTimeout(timer);
	}
}

type HealthCall = {readonly targetAddress: string; readonly path: string; readonly controller: AbortController};

async function readHealth(agent: Agent, {targetAddress, path, controller}: HealthCall): Promise<TargetHealthOutcome> {
	let interimResponses = 0;
	const {statusCode, body} = await agent.request({
		origin: `http://${targetAddress}`,
		path,
		method: 'GET',
		signal: controller.signal,
		onInfo() {
			interimResponses += 1;
			if (interimResponses > maximumInterimResponses) {
				controller.abort();
			}
		},
	});
	const content = await body.bytes();
	if (statusCode !== statusHealthy && statusCode !== statusUnhealthy) {
		return {kind: 'not-done', reason: `the target responded with status ${statusCode}`};
	}

	const {healthy, load} = healthSchema.parse(parseJson(content));
	return {kind: 'done', health: {isHealthy: healthy && statusCode === statusHealthy, load}};
}
