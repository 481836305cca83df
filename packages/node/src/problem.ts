/** Error answers as `application/problem+json` (RFC 9457) that name the outcome. */
import type {ServerResponse} from 'node:http';
import {type RequestOutcome, millisecondsPerSecond} from '@catkindale/common';
import {headerNames} from './constants.js';

export type Problem = {
	readonly status: number;
	readonly outcome: RequestOutcome;
	/** A stable word for programs, for example `rate-exceeded`. */
	readonly reason: string;
	readonly detail: string;
	readonly retryAfterMilliseconds?: number;
};

/** Sends the problem; does nothing if an answer has begun already. */
export function sendProblem(response: ServerResponse, problem: Problem, requestId?: string): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.statusCode = problem.status;
	response.setHeader('content-type', 'application/problem+json');
	response.setHeader('cache-control', 'no-store');
	response.setHeader(headerNames.outcome, problem.outcome);
	if (requestId) {
		response.setHeader(headerNames.requestId, requestId);
	}

	if (problem.retryAfterMilliseconds !== undefined) {
		response.setHeader('retry-after', String(Math.ceil(problem.retryAfterMilliseconds / millisecondsPerSecond)));
	}

	response.end(JSON.stringify({
		status: problem.status, outcome: problem.outcome, reason: problem.reason, detail: problem.detail,
	}));
}
