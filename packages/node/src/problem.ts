/** Error responses as `application/problem+json` (RFC 9457) that state the outcome of the request. */
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {type RequestOutcome, millisecondsPerSecond} from '@catkindale/common';
import {type BodyFailureKind, hasBody} from './caller-body.js';
import {headerNames} from './constants.js';
import {abortResponse} from './target-response.js';

export type Problem = {
	readonly status: number;
	readonly outcome: RequestOutcome;
	/** A stable identifier for programs, for example `rate-exceeded`. */
	readonly reason: string;
	readonly detail: string;
	readonly retryAfterMilliseconds?: number;
	/** The status of the earlier response, for a repeated request. */
	readonly answerStatus?: number;
};

const retryAfterFractionDigits = 3;

/** How long the rest of an unread body is read before the connection is closed. */
const unreadBodyTimeoutMilliseconds = 1000;

/**
 * Sends the problem; does nothing if a response has begun already. `Retry-After`
 * has fractions of a second only for callers that understand them.
 */
export function sendProblem(response: ServerResponse, problem: Problem, requestId?: string, hasFractionalRetryAfter = false): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = JSON.stringify({
		status: problem.status, outcome: problem.outcome, reason: problem.reason, detail: problem.detail, answerStatus: problem.answerStatus,
	});
	const headers: OutgoingHttpHeaders = {
		'content-type': 'application/problem+json',
		'cache-control': 'no-store',
		[headerNames.outcome]: problem.outcome,
		'content-length': Buffer.byteLength(body),
	};
	if (requestId) {
		headers[headerNames.requestId] = requestId;
	}

	if (problem.retryAfterMilliseconds !== undefined) {
		const seconds = problem.retryAfterMilliseconds / millisecondsPerSecond;
		headers['retry-after'] = hasFractionalRetryAfter ? seconds.toFixed(retryAfterFractionDigits) : String(Math.ceil(seconds));
	}

	if (response.req.complete || !hasBody(response.req)) {
		response.writeHead(problem.status, headers);
		// A string is sent together with the head, in one write.
		response.end(body);
	} else {
		// Unlike headers that are given with the status, this one can be read again when a further request comes.
		response.setHeader('connection', 'close');
		response.writeHead(problem.status, headers);
		endAfterBody(response, body);
	}
}

/** Ends a request whose handling failed: with status 502 if no response has begun, otherwise with a reset. */
export function failRequest(response: ServerResponse, requestId?: string): void {
	if (response.writableEnded) {
		return;
	}

	if (response.headersSent) {
		abortResponse(response);
		return;
	}

	sendProblem(response, {
		status: 502, outcome: 'unknown', reason: 'internal-error', detail: 'this VM failed to handle the request',
	}, requestId);
}

/** Reads the rest of the body first: a close with unread data would reset the connection before the caller has the response. */
function endAfterBody(response: ServerResponse, body: string): void {
	const {req: request} = response;
	response.write(body);
	const end = (): void => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, unreadBodyTimeoutMilliseconds);
	request.once('end', end);
	request.once('close', end);
	request.resume();
}

/** Returns the problem for a request whose body couldn't be read to its end. */
export function getBodyProblem(kind: BodyFailureKind, outcome: RequestOutcome): Problem {
	switch (kind) {
		case 'too-large': {
			return {
				status: 413, outcome, reason: 'body-too-large', detail: 'the body is above the limit',
			};
		}

		case 'too-slow': {
			return {
				status: 408, outcome, reason: 'body-too-slow', detail: 'the body came too slowly',
			};
		}

		case 'caller-gone': {
			return {
				status: 499, outcome, reason: 'caller-gone', detail: 'the caller went away',
			};
		}
	}
}
