/** Responses of targets: small ones are buffered and sent complete, larger ones are streamed. */
import {type Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RequestOutcome} from '@catkindale/common';
import {defaultDialect} from './target-dialect.js';

export type ResponseHead = {
	readonly status: number;
	/** Flat list of names and values, without hop-by-hop headers. */
	readonly headers: readonly string[];
	/** The outcome that another entry reported; absent for a target's own response, which means that the request ran. */
	readonly outcome?: RequestOutcome | undefined;
};

export type BufferedResponse = ResponseHead & {readonly body: Buffer};

const statusesWithoutBody = new Set([204, 304]);

/** Whether a response to the method with this status has no body, whatever its headers say. */
export function isBodylessResponse(method: string, status: number): boolean {
	return method === 'HEAD' || statusesWithoutBody.has(status);
}

/** Sends the status and the headers of a response that is streamed. */
export function writeResponseHead(response: ServerResponse, head: ResponseHead, requestId: string, dialect = defaultDialect): void {
	response.writeHead(head.status, [...head.headers, ...dialect.getAddedHeaders(requestId, head.outcome ?? 'ran')]);
}

/** Sends a buffered response; does nothing if a response has begun already. */
export function sendBufferedResponse(response: ServerResponse, buffered: BufferedResponse, requestId: string, dialect = defaultDialect): void {
	if (response.destroyed || response.headersSent) {
		return;
	}

	const headers = [...buffered.headers];
	const needsLength = !isBodylessResponse(response.req.method ?? '', buffered.status) && !hasHeader(headers, 'content-length');
	if (needsLength) {
		headers.push('content-length', String(buffered.body.length));
	}

	writeResponseHead(response, {status: buffered.status, headers, outcome: buffered.outcome}, requestId, dialect);
	response.end(buffered.body);
}

/** Resets the connection of a streamed response that was cut short, so that the caller can't take it for complete. */
export function abortResponse(response: ServerResponse): void {
	const {socket} = response;
	if (socket) {
		socket.resetAndDestroy();
	} else {
		response.destroy();
	}
}

function hasHeader(headers: readonly string[], name: string): boolean {
	return headers.some((header, index) => index % 2 === 0 && header.toLowerCase() === name);
}
