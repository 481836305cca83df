/** What became of a caller's request, before it is told unless it was streamed. */
import type {WholeAnswer} from './answer.js';
import type {Problem} from './problem.js';

export type ExchangeResult
	= | {readonly kind: 'answered'; readonly answer: WholeAnswer}
		| {readonly kind: 'streamed'; readonly status: number}
	/** The beginning of an answer is with the caller, the rest is lost; the connection is reset. */
		| {readonly kind: 'cut'}
		| {readonly kind: 'problem'; readonly problem: Problem};

export function createProblemResult(problem: Problem): ExchangeResult {
	return {kind: 'problem', problem};
}
