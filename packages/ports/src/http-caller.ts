/**
 * Calls of a platform service over HTTP with a time limit and a bounded
 * number in flight. Tells apart a call that never left from one whose answer
 * was lost.
 */
import {Pool} from 'undici';
import {getErrorCode, getErrorMessage} from '@catkindale/common';
import type {DriverSettings} from './driver-registry.js';

export type CallOutcome
	= | {readonly kind: 'answered'; readonly status: number; readonly body: Uint8Array}
		| {readonly kind: 'not-sent'; readonly reason: string}
		| {readonly kind: 'lost'; readonly reason: string};

export type HttpCaller = {
	call: (method: 'GET' | 'POST' | 'PUT', path: string, body?: string | Uint8Array) => Promise<CallOutcome>;
	close: () => Promise<void>;
};

const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

export function createHttpCaller(settings: DriverSettings): HttpCaller {
	const pool = new Pool(settings.address, {
		connections: settings.maximumCallsInFlight,
		connect: {timeout: settings.timeoutMilliseconds},
		pipelining: 1,
	});
	let callsInFlight = 0;
	return {
		async call(method, path, body) {
			if (callsInFlight >= settings.maximumCallsInFlight) {
				return {kind: 'not-sent', reason: `${callsInFlight} calls are in flight already`};
			}

			callsInFlight += 1;
			try {
				return await send(pool, {
					method, path, body, timeoutMilliseconds: settings.timeoutMilliseconds,
				});
			} finally {
				callsInFlight -= 1;
			}
		},
		async close() {
			await pool.destroy();
		},
	};
}

type SendOptions = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly body: string | Uint8Array | undefined;
	readonly timeoutMilliseconds: number;
};

async function send(pool: Pool, options: SendOptions): Promise<CallOutcome> {
	try {
		const response = await pool.request({
			method: options.method,
			path: options.path,
			body: options.body,
			signal: AbortSignal.timeout(options.timeoutMilliseconds),
		});
		const body = await response.body.bytes();
		return {kind: 'answered', status: response.statusCode, body};
	} catch (error) {
		const code = getErrorCode(error) ?? '';
		return {kind: codesBeforeSending.has(code) ? 'not-sent' : 'lost', reason: `${code} ${getErrorMessage(error)}`};
	}
}

export function parseJson(body: Uint8Array): unknown {
	return JSON.parse(new TextDecoder().decode(body)) as unknown;
}
