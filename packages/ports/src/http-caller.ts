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

/** What differs from call to call. */
export type CallOptions = {
	/** Instead of the time limit of all calls, for one that waits at the service. */
	readonly timeoutMilliseconds?: number;
	/** Gives the call up. */
	readonly signal?: AbortSignal | undefined;
	readonly headers?: Readonly<Record<string, string>>;
};

type Method = 'GET' | 'POST' | 'PUT';

export type HttpCaller = {
	call: (method: Method, path: string, body?: string | Uint8Array, options?: CallOptions) => Promise<CallOutcome>;
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
		async call(method, path, body, options = {}) {
			if (callsInFlight >= settings.maximumCallsInFlight) {
				return {kind: 'not-sent', reason: `${callsInFlight} calls are in flight already`};
			}

			callsInFlight += 1;
			try {
				return await send(pool, {
					method, path, body, ...options, timeoutMilliseconds: options.timeoutMilliseconds ?? settings.timeoutMilliseconds,
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

type SendOptions = CallOptions & {
	readonly method: Method;
	readonly path: string;
	readonly body: string | Uint8Array | undefined;
	readonly timeoutMilliseconds: number;
};

async function send(pool: Pool, options: SendOptions): Promise<CallOutcome> {
	const timeout = AbortSignal.timeout(options.timeoutMilliseconds);
	try {
		const response = await pool.request({
			method: options.method,
			path: options.path,
			body: options.body,
			signal: options.signal ? AbortSignal.any([timeout, options.signal]) : timeout,
			...(options.headers && {headers: options.headers}),
		});
		const body = await response.body.bytes();
		return {kind: 'answered', status: response.statusCode, body};
	} catch (error) {
		const code = getErrorCode(error) ?? '';
		return {kind: codesBeforeSending.has(code) ? 'not-sent' : 'lost', reason: `${code} ${getErrorMessage(error)}`.trim()};
	}
}

export function parseJson(body: Uint8Array): unknown {
	return JSON.parse(new TextDecoder().decode(body)) as unknown;
}
