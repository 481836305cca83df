/** What the end of an attempt at a target allows next, and what it leaves known of the request. */
import type {RequestOutcome} from '@catkindale/common';
import {type AttemptOutcome, isRetriableStatus} from '@catkindale/policy';
import type {BufferedResponse} from './target-response.js';
import type {ForwardOutcome} from './forward.js';

/** Statuses from here on say that the target failed. */
export const minimumServerErrorStatus = 500;

/** Where another target may be without the fault, any failure of the target may be its own. */
export function getAttemptEnd(outcome: ForwardOutcome, mayBeTargetsOwn: boolean): AttemptOutcome {
	switch (outcome.kind) {
		case 'answered': {
			const {status} = outcome.response;
			const isFailed = isRetriableStatus(status) || (mayBeTargetsOwn && status >= minimumServerErrorStatus);
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

/** Whether any attempt may have run; an earlier attempt counts even if the last wasn't sent. */
export function getRequestOutcome(records: ReadonlyArray<{readonly outcome: ForwardOutcome}>): RequestOutcome {
	const mayHaveRun = records.some(({outcome}) => outcome.kind !== 'not-sent' && outcome.kind !== 'shed');
	return mayHaveRun ? 'unknown' : 'not-run';
}

/** A target's own failure goes to the caller when no other target could do better. */
export function getFailedResponse(records: ReadonlyArray<{readonly outcome: ForwardOutcome}>): BufferedResponse | undefined {
	const failed = records.findLast(({outcome}) => outcome.kind === 'answered');
	return failed?.outcome.kind === 'answered' ? failed.outcome.response : undefined;
}
