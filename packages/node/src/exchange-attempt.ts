/** Runs one attempt of an exchange at a selected target and records its result for later selections. */
import type {Target, TrialRequestOutcome} from '@catkindale/policy';
import {minimumServerErrorStatus} from './attempt-outcome.js';
import {type TimedDispatcher, createTimedDispatcher} from './attempt-timing.js';
import type {CallerBody} from './caller-body.js';
import {hasRequestBehind} from './caller-connections.js';
import type {EntryDependencies, Exchange, ExchangeSignals} from './exchange.js';
import {
	type Attempt, type ForwardOutcome, type AttemptFailureCause, forwardRequest,
} from './forward.js';
import {getForwardHeaders} from './request-headers.js';
import type {AttemptResult, Selection} from './target-selector.js';

export type AttemptOptions = {
	readonly selection: Selection & {readonly kind: 'selected'};
	readonly body: CallerBody;
	readonly signals: ExchangeSignals;
	/** Called when the response begins to stream to the caller. */
	readonly onResponseClaimed?: () => void;
};

type TimedAttempt
	= | Attempt & Pick<TimedDispatcher, 'getTimeToHeadMilliseconds'> & {readonly kind: 'running'}
		| {readonly kind: 'not-begun'; readonly outcome: ForwardOutcome};

const callerGone: TimedAttempt = {kind: 'not-begun', outcome: {kind: 'not-sent', cause: 'caller-gone', reason: 'the caller disconnected'}};
/** The configuration may change while the request waits for its body or for a slot. */
const targetRemoved: TimedAttempt = {kind: 'not-begun', outcome: {kind: 'not-sent', cause: 'target', reason: 'the configuration no longer has the target'}};

export type AttemptRecord = {readonly target: Target; readonly outcome: ForwardOutcome};

export type RunningAttempt = {
	readonly done: Promise<AttemptRecord>;
	readonly abort: (cause: AttemptFailureCause) => void;
};

export function startAttempt(dependencies: EntryDependencies, exchange: Exchange, options: AttemptOptions): RunningAttempt {
	const attempt = options.signals.selection.aborted ? callerGone : forwardToTarget(dependencies, exchange, options);
	return {
		done: finishAttempt(dependencies, exchange, options, attempt),
		abort(cause) {
			if (attempt.kind === 'running') {
				attempt.abort(cause);
			}
		},
	};
}

async function finishAttempt(dependencies: EntryDependencies, exchange: Exchange, {selection, signals}: AttemptOptions, attempt: TimedAttempt): Promise<AttemptRecord> {
	const {clock, bus} = dependencies.context;
	const {target} = selection;
	const startedAt = clock.monotonic();
	const abortAttempt = (): void => {
		if (attempt.kind === 'running') {
			attempt.abort('caller-gone');
		}
	};

	signals.attempt.addEventListener('abort', abortAttempt);
	const outcome = await attempt.outcome;
	signals.attempt.removeEventListener('abort', abortAttempt);
	const timeToHeadMilliseconds = attempt.kind === 'running' ? attempt.getTimeToHeadMilliseconds() : undefined;
	const result: AttemptResult = {
		kind: getResultKind(outcome),
		milliseconds: clock.monotonic() - startedAt,
		...(timeToHeadMilliseconds !== undefined && {timeToHeadMilliseconds}),
	};
	recordAttempt(dependencies, exchange, {target, outcome}, result);
	selection.finish(result);
	bus.publish({
		type: 'attempt-finished', route: exchange.route, target, result,
	});
	return {target, outcome};
}

function recordAttempt(dependencies: EntryDependencies, {route}: Exchange, {target, outcome}: AttemptRecord, result: AttemptResult): void {
	if ((outcome.kind === 'answered' || outcome.kind === 'streamed') && outcome.echoesRequestId) {
		dependencies.connectionPools.markEchoesRequestId(target);
	}

	if (result.kind === 'answered') {
		dependencies.retryBudgets.recordSuccess(route.service);
		dependencies.hedgeDelays.recordLatency(route, result.milliseconds);
	}
}

function forwardToTarget(dependencies: EntryDependencies, exchange: Exchange, {selection, body, signals, onResponseClaimed}: AttemptOptions): TimedAttempt {
	const {request, response, requestId, customer, key} = exchange;
	const {target} = selection;
	const deadlineMilliseconds = exchange.deadlineAt - dependencies.context.clock.monotonic();
	const pool = dependencies.connectionPools.getPool(target);
	if (!pool) {
		return targetRemoved;
	}

	const timedDispatcher = createTimedDispatcher(pool, dependencies.context.clock);
	const attempt = forwardRequest({
		dispatcher: dependencies.linkMeter.getDispatcher(timedDispatcher, {
			region: target.region, class: exchange.route.class, deadlineMilliseconds, signal: signals.attempt,
		}),
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: getForwardHeaders(request, {
			key, requestId, customer: customer?.name, deadlineMilliseconds,
		}),
		body: body.open() ?? null,
		requestId,
		deadlineMilliseconds,
		requiresRequestIdEcho: dependencies.connectionPools.echoesRequestId(target),
		onLeaving() {
			dependencies.context.bus.publish({type: 'target-leaving-reported', target: target.name});
		},
		claimResponse() {
			if (response.headersSent || response.destroyed) {
				return undefined;
			}

			onResponseClaimed?.();
			return response;
		},
		isHeldUntilComplete: () => hasRequestBehind(response),
	});
	return {...attempt, kind: 'running', getTimeToHeadMilliseconds: timedDispatcher.getTimeToHeadMilliseconds};
}

/** Returns the result of a request for the trial of the version, from its attempt at that version. */
export function getTrialRequestOutcome(records: readonly AttemptRecord[], version: string | undefined): TrialRequestOutcome {
	const record = records.find(({target}) => target.version === version);
	const kind = record ? getResultKind(record.outcome) : 'cancelled';
	if (kind === 'cancelled') {
		return 'not-sent';
	}

	return kind === 'answered' ? 'good' : 'failed';
}

function getResultKind(outcome: ForwardOutcome): AttemptResult['kind'] {
	switch (outcome.kind) {
		case 'answered': {
			return outcome.response.status >= minimumServerErrorStatus ? 'failed' : 'answered';
		}

		case 'streamed': {
			return outcome.status >= minimumServerErrorStatus ? 'failed' : 'answered';
		}

		case 'shed': {
			return 'shed';
		}

		case 'not-sent':
		case 'lost': {
			const isTargetFault = outcome.cause === 'target' || outcome.cause === 'deadline';
			return isTargetFault ? outcome.kind : 'cancelled';
		}
	}
}
