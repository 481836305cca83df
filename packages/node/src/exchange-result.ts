/** The result of a caller's request. Unless it was streamed, it has yet to be sent. */
import type {ServerResponse} from 'node:http';
import {type BufferedResponse, sendBufferedResponse} from './target-response.js';
import {type CallerProfile, defaultCallerProfile} from './caller-profile.js';
import {type Problem, sendProblem} from './problem.js';

export type ExchangeResult
	= | {readonly kind: 'answered'; readonly response: BufferedResponse}
		| {readonly kind: 'streamed'; readonly status: number}
	/** The caller got the beginning of a response and the rest is lost; the connection is reset. */
		| {readonly kind: 'cut'}
		| {readonly kind: 'problem'; readonly problem: Problem};

export function createProblemResult(problem: Problem): ExchangeResult {
	return {kind: 'problem', problem};
}

type ResultDestination = {readonly response: ServerResponse; readonly requestId: string};

/** Sends the result to the caller, unless it was streamed. */
export function sendResult({response, requestId}: ResultDestination, result: ExchangeResult, {dialect, hasFractionalRetryAfter}: CallerProfile = defaultCallerProfile): void {
	switch (result.kind) {
		case 'answered': {
			sendBufferedResponse(response, result.response, requestId, dialect);
			break;
		}

		case 'problem': {
			sendProblem(response, result.problem, requestId, hasFractionalRetryAfter);
			break;
		}

		case 'streamed':
		case 'cut': {
			break;
		}
	}
}
