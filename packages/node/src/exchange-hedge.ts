/**
 * Hedged attempts: if the route allows it and the first target takes longer
 * than most recent responses, the request is also sent to a second target, and
 * the first good response is used.
 *
 * Source: Dean and Barroso, "The tail at scale", Communications of the ACM
 * 56(2), 2013.
 */
import {isRetriableStatus} from '@catkindale/policy';
import {
	type AttemptOptions, type AttemptRecord, type RunningAttempt, startAttempt,
} from './exchange-attempt.js';
import type {EntryDependencies, Exchange} from './exchange.js';
import type {Selection} from './target-selector.js';

type SelectOtherTarget = (signal: AbortSignal) => Promise<Selection>;

/** Runs the attempt, and a hedged one if the first is slow. The record that decides the result comes last. */
export async function runHedgedAttempts(dependencies: EntryDependencies, exchange: Exchange, firstOptions: AttemptOptions, selectOtherTarget: SelectOtherTarget): Promise<AttemptRecord[]> {
	const delayMilliseconds = firstOptions.body.isFullyBuffered ? dependencies.hedgeDelays.getDelay(exchange.route) : undefined;
	if (delayMilliseconds === undefined) {
		return [await startAttempt(dependencies, exchange, firstOptions).done];
	}

	const hedges: RunningAttempt[] = [];
	const first = startAttempt(dependencies, exchange, {
		...firstOptions,
		onResponseClaimed() {
			hedges[0]?.abort('superseded');
		},
	});
	const hasEnded = await endsWithin(first, delayMilliseconds);
	if (hasEnded || exchange.response.headersSent || !dependencies.retryBudgets.takeRetry(exchange.route.service)) {
		return [await first.done];
	}

	const selection = await selectWhileRunning(first, firstOptions.signals.selection, selectOtherTarget);
	if (selection.kind === 'refused') {
		return [await first.done];
	}

	const second = startAttempt(dependencies, exchange, {
		...firstOptions,
		selection,
		onResponseClaimed() {
			first.abort('superseded');
		},
	});
	hedges.push(second);
	return raceAttempts(first, second);
}

async function raceAttempts(first: RunningAttempt, second: RunningAttempt): Promise<AttemptRecord[]> {
	const ended = await Promise.race([
		awaitEnd(first, second),
		awaitEnd(second, first),
	]);
	if (isGoodResponse(ended.record)) {
		ended.other.abort('superseded');
		return [await ended.other.done, ended.record];
	}

	return [ended.record, await ended.other.done];
}

async function awaitEnd(attempt: RunningAttempt, other: RunningAttempt): Promise<{readonly record: AttemptRecord; readonly other: RunningAttempt}> {
	return {record: await attempt.done, other};
}

function isGoodResponse({outcome}: AttemptRecord): boolean {
	return outcome.kind === 'streamed' || (outcome.kind === 'answered' && !isRetriableStatus(outcome.response.status));
}

async function endsWithin(attempt: RunningAttempt, milliseconds: number): Promise<boolean> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, milliseconds);
	});
	const record = await Promise.race([attempt.done, timeout]);
	clearTimeout(timer);
	return record !== undefined;
}

/** Selects another target, but stops when the first attempt ends. */
async function selectWhileRunning(first: RunningAttempt, signal: AbortSignal, selectOtherTarget: SelectOtherTarget): Promise<Selection> {
	const selectionController = new AbortController();
	void abortWhenDone(first, selectionController);
	return selectOtherTarget(AbortSignal.any([signal, selectionController.signal]));
}

async function abortWhenDone(attempt: RunningAttempt, selectionController: AbortController): Promise<void> {
	await attempt.done;
	selectionController.abort();
}
