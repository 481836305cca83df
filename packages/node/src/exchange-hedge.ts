/**
 * Hedged attempts: when a route allows it and the first target is slower than
 * most answers of late, a second one is asked and the first good answer wins.
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

type SelectOther = (signal: AbortSignal) => Promise<Selection>;

/** Runs the attempt, and a second one where it pays; the record that counts comes last. */
export async function runHedgedAttempts(parts: EntryDependencies, exchange: Exchange, first: AttemptOptions, selectOther: SelectOther): Promise<AttemptRecord[]> {
	const delayMilliseconds = first.body.isFullyBuffered ? parts.hedgeDelays.getDelay(exchange.route) : undefined;
	if (delayMilliseconds === undefined) {
		return [await startAttempt(parts, exchange, first).done];
	}

	const others: RunningAttempt[] = [];
	const leading = startAttempt(parts, exchange, {
		...first,
		onResponseClaimed() {
			others[0]?.abort('superseded');
		},
	});
	const isEarly = await endsWithin(leading, delayMilliseconds);
	if (isEarly || exchange.response.headersSent || !parts.retryBudgets.takeRetry(exchange.route.service)) {
		return [await leading.done];
	}

	const selection = await selectWhileRunning(leading, first.signals.selection, selectOther);
	if (selection.kind === 'refused') {
		return [await leading.done];
	}

	const second = startAttempt(parts, exchange, {
		...first,
		selection,
		onResponseClaimed() {
			leading.abort('superseded');
		},
	});
	others.push(second);
	return settle(leading, second);
}

async function settle(leading: RunningAttempt, second: RunningAttempt): Promise<AttemptRecord[]> {
	const ended = await Promise.race([
		markEnd(leading, second),
		markEnd(second, leading),
	]);
	if (isGood(ended.record)) {
		ended.other.abort('superseded');
		return [await ended.other.done, ended.record];
	}

	return [ended.record, await ended.other.done];
}

async function markEnd(attempt: RunningAttempt, other: RunningAttempt): Promise<{readonly record: AttemptRecord; readonly other: RunningAttempt}> {
	return {record: await attempt.done, other};
}

function isGood({outcome}: AttemptRecord): boolean {
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

/** Looks for another target only as long as the first one hasn't answered. */
async function selectWhileRunning(leading: RunningAttempt, signal: AbortSignal, selectOther: SelectOther): Promise<Selection> {
	const search = new AbortController();
	void abortWhenDone(leading, search);
	return selectOther(AbortSignal.any([signal, search.signal]));
}

async function abortWhenDone(attempt: RunningAttempt, search: AbortController): Promise<void> {
	await attempt.done;
	search.abort();
}
