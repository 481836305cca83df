/** Classifies the end of attempts: whether a retry is allowed, and whether the request may have run. */
import type {RequestOutcome} from '@catkindale/common';
import {type AttemptOutcome, isRetriableStatus} from '@catkindale/policy';
import type {BufferedResponse} from './target-response.js';
import type {ForwardOutcome} from './forward.js';

/** Lowest status that counts as a failure of the target. */
export const minimumServerErrorStatus = 500;

/** With `mayBeTargetFault` every status from 500 on is a failure, because another target may not have the fault. */
export function getAttemptOutcome(outcome: ForwardOutcome, mayBeTargetFault: boolean): AttemptOutcome {
	switch (outcome.kind) {
		case 'answered': {
			const {status} = outcome.response;
			const isFailed = isRetriableStatus(status) || (mayBeTargetFault && status >= minimumServerErrorStatus);
			return isFailed ? {kind: 'failed', status} : {kind: 'final'};
		}

		case 'streamed': {
			return {kind: 'final'};
		}

		case 'not-sent': {
			return outcome.cause === 'target' ? {kind: 'not-run'} : {kind: 'final'};
		}

		case 'shed': {
			return {kind: 'not-run'};
		}

		case 'lost': {
			return outcome.cause === 'target' && !outcome.isStreaming ? {kind: 'unknown'} : {kind: 'final'};
		}
	}
}

/** Returns `unknown` if any attempt may have run, even if a later one wasn't sent. */
export function getRequestOutcome(records: ReadonlyArray<{readonly outcome: ForwardOutcome}>): RequestOutcome {
	const mayHaveRun = records.some(({outcome}) => outcome.kind !== 'not-sent' && outcome.kind !== 'shed');
	return mayHaveRun ? 'unknown' : 'not-run';
}

/** Returns the latest response of a target, which the caller gets if no other target can serve the request. */
export function getFailedResponse(records: ReadonlyArray<{readonly outcome: ForwardOutcome}>): BufferedResponse | undefined {
	const failed = records.findLast(({outcome}) => outcome.kind === 'answered');
	return failed?.outcome.kind === 'answered' ? failed.outcome.response : undefined;
}
