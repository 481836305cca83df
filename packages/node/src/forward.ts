/** Hands one request to one target and passes its answer on as it comes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {Dispatcher, Pool} from 'undici';
import {getErrorCode, getErrorMessage} from '@catkindale/common';
import {headerNames} from './constants.js';
import {getAnswerHeaders} from './request-headers.js';

export type ForwardOptions = {
	readonly pool: Pool;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly headers: string[];
	readonly requestId: string;
	readonly deadlineMilliseconds: number;
};

/** What became of the request at this target. */
export type ForwardOutcome
	= | {readonly kind: 'answered'; readonly status: number}
	/** Nothing was handed to the target. */
		| {readonly kind: 'not-sent'; readonly reason: string}
	/** The target says by its contract that it didn't run the request. */
		| {readonly kind: 'shed'}
		| {readonly kind: 'lost'; readonly reason: string};

const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

export async function forwardRequest(options: ForwardOptions): Promise<ForwardOutcome> {
	const {request, response, requestId} = options;
	const abort = new AbortController();
	const timer = setTimeout(() => {
		abort.abort(new Error('the deadline has passed'));
	}, options.deadlineMilliseconds);
	response.once('close', () => {
		abort.abort(new Error('the caller went away'));
	});
	try {
		const answer = await options.pool.request({
			method: request.method as Dispatcher.HttpMethod,
			path: request.url ?? '/',
			headers: options.headers,
			body: hasBody(request) ? request : null,
			signal: abort.signal,
			responseHeaders: 'raw',
		});
		const rawHeaders = answer.headers as unknown as string[];
		const read = (name: string) => getRawHeader(rawHeaders, name);
		if (read(headerNames.requestId) !== undefined && read(headerNames.requestId) !== requestId) {
			answer.body.destroy();
			return {kind: 'lost', reason: 'the answer belongs to another request'};
		}

		if (read(headerNames.outcome) === 'not-run') {
			await answer.body.dump();
			return {kind: 'shed'};
		}

		const passed = getAnswerHeaders(rawHeaders, read('connection'));
		response.writeHead(answer.statusCode, [...passed, headerNames.outcome, 'ran', headerNames.requestId, requestId]);
		await pipeline(answer.body, response);
		return {kind: 'answered', status: answer.statusCode};
	} catch (error) {
		const kind = codesBeforeSending.has(getErrorCode(error) ?? '') ? 'not-sent' : 'lost';
		return {kind, reason: getErrorMessage(error)};
	} finally {
		clearTimeout(timer);
	}
}

function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

function getRawHeader(rawHeaders: readonly string[], name: string): string | undefined {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]?.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
}
