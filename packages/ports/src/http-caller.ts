/**
 * HTTP client for a platform service, with a timeout and a limit on the calls
 * in flight. A call that was never sent is distinguished from one whose
 * response was lost, which the service may have executed.
 */
import {Pool} from 'undici';
import VError from 'verror';
import {getErrorCode, getErrorMessage} from '@catkindale/common';
import type {DriverSettings} from './driver-registry.js';
import {createConnector} from './http-connector.js';

export type CallOutcome
	= | {readonly kind: 'answered'; readonly status: number; readonly headers: CallHeaders; readonly body: Uint8Array}
		| {readonly kind: 'not-sent'; readonly reason: string}
		| {readonly kind: 'lost'; readonly reason: string};

/** Headers of a response by their names in lower case. */
export type CallHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Options of a single call. */
export type CallOptions = {
	/** Overrides the default timeout, for example for long polling. */
	readonly timeoutMilliseconds?: number;
	/** Aborts the call. */
	readonly signal?: AbortSignal | undefined;
	readonly headers?: Readonly<Record<string, string>>;
};

type Method = 'GET' | 'POST' | 'PUT';

export type HttpCallerSettings = DriverSettings & {
	/** A response with a larger body counts as lost. */
	readonly maximumResponseBytes?: number;
};

export type HttpCaller = {
	call: (method: Method, path: string, body?: string | Uint8Array, options?: CallOptions) => Promise<CallOutcome>;
	close: () => Promise<void>;
};

/** Responses of status 1xx that may precede a final one. Each is limited in size, as any head. */
export const maximumInterimResponses = 100;
/** Above any list of rows. */
const defaultMaximumResponseBytes = 16_777_216;

/** Error codes that occur before the request is sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

export function createHttpCaller(settings: HttpCallerSettings): HttpCaller {
	const pool = new Pool(settings.address, {
		connections: settings.maximumCallsInFlight,
		connect: createConnector(settings),
		pipelining: 1,
		maxResponseSize: settings.maximumResponseBytes ?? defaultMaximumResponseBytes,
	});
	let callsInFlight = 0;
	return {
		async call(method, path, body, options = {}) {
			if (callsInFlight >= settings.maximumCallsInFlight) {
				return {kind: 'not-sent', reason: `${callsInFlight} calls are already in flight`};
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
	// Not `AbortSignal.any` with `AbortSignal.timeout`: Node.js 20 may collect the timeout as garbage, and the call then never ends.
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort(options.signal?.reason);
	};

	const timer = setTimeout(() => {
		controller.abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError'));
	}, options.timeoutMilliseconds);
	if (options.signal?.aborted) {
		abort();
	}

	let interimResponses = 0;
	const countInterimResponse = (): void => {
		interimResponses += 1;
		if (interimResponses > maximumInterimResponses) {
			controller.abort(new VError('more than %d interim responses arrived', maximumInterimResponses));
		}
	};

	options.signal?.addEventListener('abort', abort);
	try {
		const response = await pool.request({
			method: options.method,
			path: options.path,
			body: options.body,
			signal: controller.signal,
			onInfo: countInterimResponse,
			...(options.headers && {headers: options.headers}),
		});
		const body = await response.body.bytes();
		return {
			kind: 'answered', status: response.statusCode, headers: response.headers, body,
		};
	} catch (error) {
		const code = getErrorCode(error) ?? '';
		return {kind: connectErrorCodes.has(code) ? 'not-sent' : 'lost', reason: `${code} ${getErrorMessage(error)}`.trim()};
	} finally {
		clearTimeout(timer);
		options.signal?.removeEventListener('abort', abort);
	}
}

export function parseJson(body: Uint8Array): unknown {
	return JSON.parse(new TextDecoder().decode(body)) as unknown;
}
