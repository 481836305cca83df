/** The problem that a caller gets for a request without a response, by the cause of the failure. */
import type {RequestOutcome} from '@catkindale/common';
import type {AttemptFailureCause} from './forward.js';
import {type Problem, getBodyProblem} from './problem.js';

/** After a failure of the target, `retryAfterMilliseconds` is sent only if the request didn't run. */
export function getAttemptFailureProblem(cause: AttemptFailureCause, outcome: RequestOutcome, retryAfterMilliseconds: number): Problem {
	switch (cause) {
		case 'link': {
			return {
				status: 503, outcome, reason: 'link-used-up', detail: 'the link to the target\'s region had no room in time', retryAfterMilliseconds,
			};
		}

		case 'deadline': {
			return {
				status: 504, outcome, reason: 'deadline', detail: 'the deadline has passed',
			};
		}

		case 'body-too-large': {
			return getBodyProblem('too-large', outcome);
		}

		case 'body-too-slow': {
			return getBodyProblem('too-slow', outcome);
		}

		case 'caller-gone': {
			return getBodyProblem('caller-gone', outcome);
		}

		case 'superseded':
		case 'target': {
			return getTargetFailureProblem(outcome, retryAfterMilliseconds);
		}
	}
}

/** Returns the problem for a target that failed without a response. */
export function getTargetFailureProblem(outcome: RequestOutcome, retryAfterMilliseconds: number): Problem {
	if (outcome === 'not-run') {
		return {
			status: 503, outcome, reason: 'target-unavailable', detail: 'the target didn\'t take the request', retryAfterMilliseconds,
		};
	}

	return {
		status: 502, outcome, reason: 'answer-lost', detail: 'the request may have run; its answer was lost',
	};
}
