/** One attempt of an exchange at a selected target, and what later choices learn from it. */
import type {Target, TrialRequestOutcome} from '@catkindale/policy';
import {minimumServerErrorStatus} from './attempt-end.js';
import {type TimedDispatcher, createTimedDispatcher} from './attempt-timing.js';
import type {CallerBody} from './caller-body.js';
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
	/** Runs when the answer begins to stream to the caller. */
	readonly onResponseClaimed?: () => void;
};

type TimedAttempt = Attempt & Pick<TimedDispatcher, 'getHeadMilliseconds'>;

export type AttemptRecord = {readonly target: Target; readonly outcome: ForwardOutcome};

export type RunningAttempt = {
	readonly done: Promise<AttemptRecord>;
	readonly abort: (cause: AttemptFailureCause) => void;
};

export function startAttempt(parts: EntryDependencies, exchange: Exchange, attemptParts: AttemptOptions): RunningAttempt {
	const attempt = attemptParts.signals.selection.aborted ? undefined : start(parts, exchange, attemptParts);
	return {
		done: finishAttempt(parts, exchange, attemptParts, attempt),
		abort(cause) {
			attempt?.abort(cause);
		},
	};
}

async function finishAttempt(parts: EntryDependencies, exchange: Exchange, {selection, signals}: AttemptOptions, attempt: TimedAttempt | undefined): Promise<AttemptRecord> {
	const {clock, bus} = parts.context;
	const {target} = selection;
	const startedAt = clock.monotonic();
	const cancel = (): void => {
		attempt?.abort('caller-gone');
	};

	signals.attempt.addEventListener('abort', cancel);
	const outcome: ForwardOutcome = await attempt?.outcome ?? {kind: 'not-sent', cause: 'caller-gone', reason: 'the caller went away'};
	signals.attempt.removeEventListener('abort', cancel);
	const headMilliseconds = attempt?.getHeadMilliseconds();
	const result: AttemptResult = {
		kind: getResultKind(outcome),
		milliseconds: clock.monotonic() - startedAt,
		...(headMilliseconds !== undefined && {timeToHeadMilliseconds: headMilliseconds}),
	};
	learn(parts, exchange, {target, outcome}, result);
	selection.finish(result);
	bus.publish({
		type: 'attempt-finished', route: exchange.route, target, result,
	});
	return {target, outcome};
}

function learn(parts: EntryDependencies, {route}: Exchange, {target, outcome}: AttemptRecord, result: AttemptResult): void {
	if ((outcome.kind === 'answered' || outcome.kind === 'streamed') && outcome.echoesRequestId) {
		parts.connectionPools.markEchoesRequestId(target);
	}

	if (result.kind === 'answered') {
		parts.retryBudgets.recordSuccess(route.service);
		parts.hedgeDelays.recordLatency(route, result.milliseconds);
	}
}

function start(parts: EntryDependencies, exchange: Exchange, {selection, body, signals, onResponseClaimed: onClaim}: AttemptOptions): TimedAttempt {
	const {request, response, requestId, customer, key} = exchange;
	const {target} = selection;
	const deadlineMilliseconds = exchange.deadlineAt - parts.context.clock.monotonic();
	const timed = createTimedDispatcher(parts.connectionPools.getPool(target), parts.context.clock);
	const attempt = forwardRequest({
		dispatcher: parts.linkMeter.getDispatcher(timed, {
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
		requiresRequestIdEcho: parts.connectionPools.echoesRequestId(target),
		onLeaving() {
			parts.context.bus.publish({type: 'target-leaving-reported', target: target.name});
		},
		claimResponse() {
			if (response.headersSent || response.destroyed) {
				return undefined;
			}

			onClaim?.();
			return response;
		},
	});
	return {...attempt, getHeadMilliseconds: timed.getHeadMilliseconds};
}

/** What a request showed of the version that it tried. */
export function getTrialEnd(records: readonly AttemptRecord[], version: string | undefined): TrialRequestOutcome {
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
			const isTargetsFault = outcome.cause === 'target' || outcome.cause === 'deadline';
			return isTargetsFault ? outcome.kind : 'cancelled';
		}
	}
}
