/** What became of a caller's request, before it is told unless it was streamed. */
import type {ServerResponse} from 'node:http';
import {type BufferedResponse, sendBufferedResponse} from './target-response.js';
import {type CallerProfile, defaultCallerProfile} from './caller-profile.js';
import {type Problem, sendProblem} from './problem.js';

export type ExchangeResult
	= | {readonly kind: 'answered'; readonly response: BufferedResponse}
		| {readonly kind: 'streamed'; readonly status: number}
	/** The beginning of an answer is with the caller, the rest is lost; the connection is reset. */
		| {readonly kind: 'cut'}
		| {readonly kind: 'problem'; readonly problem: Problem};

export function createProblemResult(problem: Problem): ExchangeResult {
	return {kind: 'problem', problem};
}

type ToldExchange = {readonly response: ServerResponse; readonly requestId: string};

/** Tells the caller what became of the request; a streamed answer is told already. */
export function sendResult({response, requestId}: ToldExchange, result: ExchangeResult, {dialect, hasFractionalRetryAfter}: CallerProfile = defaultCallerProfile): void {
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
