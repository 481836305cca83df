/** Converts results to recorded outcomes, and recorded outcomes to the results that repetitions receive. */
import {Buffer} from 'node:buffer';
import type {TicketOutcome} from '@catkindale/policy';
import {headerNames} from './constants.js';
import {type ExchangeResult, createProblemResult} from './exchange-result.js';

const maximumRecordedBodyBytes = 16_384;
const replayedHeader = [headerNames.replayed, 'true'];

/** Returns undefined for a request that provably didn't run. */
export function toTicketOutcome(result: ExchangeResult): TicketOutcome | undefined {
	switch (result.kind) {
		case 'answered': {
			const {status, headers, body, outcome} = result.response;
			if (outcome !== undefined && outcome !== 'ran') {
				return outcome === 'unknown' ? {kind: 'unknown'} : undefined;
			}

			return {kind: 'ran', answer: {status, headers, body: body.length <= maximumRecordedBodyBytes ? body : undefined}};
		}

		case 'streamed': {
			return {kind: 'ran', answer: {status: result.status, headers: [], body: undefined}};
		}

		case 'cut': {
			return {kind: 'unknown'};
		}

		case 'problem': {
			return getProblemOutcome(result);
		}
	}
}

function getProblemOutcome({problem}: ExchangeResult & {readonly kind: 'problem'}): TicketOutcome | undefined {
	switch (problem.outcome) {
		case 'not-run': {
			return undefined;
		}

		case 'unknown': {
			return {kind: 'unknown'};
		}

		case 'ran': {
			return {kind: 'ran', answer: {status: problem.answerStatus ?? problem.status, headers: [], body: undefined}};
		}
	}
}

/** Creates the result that a repetition receives. */
export function createReplayResult(outcome: TicketOutcome): ExchangeResult {
	if (outcome.kind === 'unknown') {
		return createUnknownOutcomeResult();
	}

	const {status, headers, body} = outcome.answer;
	if (!body) {
		return createProblemResult({
			status: 409, outcome: 'ran', reason: 'answer-not-kept', detail: `the request ran and was answered with status ${status}; the answer was too large to keep`, answerStatus: status,
		});
	}

	return {kind: 'answered', response: {status, headers: [...headers, ...replayedHeader], body: Buffer.from(body)}};
}

export function createUnknownOutcomeResult(): ExchangeResult {
	return createProblemResult({
		status: 409, outcome: 'unknown', reason: 'outcome-unknown', detail: 'an earlier attempt may have run; it isn\'t run again',
	});
}

export function createMismatchResult(): ExchangeResult {
	return createProblemResult({
		status: 422, outcome: 'not-run', reason: 'key-of-another-request', detail: 'the Idempotency-Key belongs to another request or customer',
	});
}
