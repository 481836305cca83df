/** Answers of targets: held whole while they are small, else passed on as they come. */
import {type Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RequestOutcome} from '@catkindale/common';
import {defaultDialect} from './target-dialect.js';

export type ResponseHead = {
	readonly status: number;
	/** A flat list of names and values, without those of the connection. */
	readonly headers: readonly string[];
	/** What another entry said of the request; a target's answer says that it ran. */
	readonly outcome?: RequestOutcome | undefined;
};

export type BufferedResponse = ResponseHead & {readonly body: Buffer};

const statusesWithoutBody = new Set([204, 304]);

/** Whether an answer to the method with this status carries no body, whatever its headers say. */
export function isBodylessResponse(method: string, status: number): boolean {
	return method === 'HEAD' || statusesWithoutBody.has(status);
}

/** Begins a streamed answer. */
export function writeResponseHead(response: ServerResponse, head: ResponseHead, requestId: string, dialect = defaultDialect): void {
	response.writeHead(head.status, [...head.headers, ...dialect.getAddedHeaders(requestId, head.outcome ?? 'ran')]);
}

/** Sends an answer that is held whole. */
export function sendBufferedResponse(response: ServerResponse, answer: BufferedResponse, requestId: string, dialect = defaultDialect): void {
	if (response.destroyed || response.headersSent) {
		return;
	}

	const headers = [...answer.headers];
	const needsLength = !isBodylessResponse(response.req.method ?? '', answer.status) && !hasHeader(headers, 'content-length');
	if (needsLength) {
		headers.push('content-length', String(answer.body.length));
	}

	writeResponseHead(response, {status: answer.status, headers, outcome: answer.outcome}, requestId, dialect);
	response.end(answer.body);
}

/** Ends a streamed answer that was cut, so that it can't look whole: the connection is reset. */
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
