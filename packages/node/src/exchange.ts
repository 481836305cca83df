/**
 * Serves one admitted request: reads its body, selects a target, forwards, and
 * tries another target where that is safe and the retry budget allows.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestOutcome} from '@catkindale/common';
import {
	type AttemptEnd, type Customer, type Route, type Target, isRetriable, isRetriableStatus,
} from '@catkindale/policy';
import {sendWholeAnswer} from './answer.js';
import {type BodyFailureKind, type CallerBody, readCallerBody} from './caller-body.js';
import {headerNames} from './constants.js';
import type {ExchangeResult} from './exchange-result.js';
import {type Attempt, type ForwardOutcome, startAttempt} from './forward.js';
import type {NodeContext} from './node-context.js';
import {type Problem, sendProblem} from './problem.js';
import {getForwardHeaders} from './request-headers.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {RoutingTable} from './routing-table.js';
import type {TargetPools} from './target-pools.js';
import type {AttemptResult, Selection, TargetSelector} from './target-selector.js';
import type {VersionChooser} from './version-chooser.js';

/** What the entry's task owns and each exchange uses. */
export type EntryParts = {
	readonly context: NodeContext;
	readonly routing: RoutingTable;
	readonly selector: TargetSelector;
	readonly pools: TargetPools;
	readonly versions: VersionChooser;
	readonly retries: RetryBudgets;
};

export type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	/** Monotonic time in milliseconds after which no answer is of use. */
	readonly deadlineAt: number;
	readonly route: Route;
	readonly customer: Customer | undefined;
	/** The key that came with the request. */
	readonly key: string | undefined;
};

type AttemptRecord = {readonly target: Target; readonly outcome: ForwardOutcome};

const longestTrialWaitPart = 0.1;
const longestTrialWaitMilliseconds = 50;
const openCustomer = 'open';
const firstFailureStatus = 500;
const retryAfterMilliseconds = 1000;
const maximumAttempts = 3;

export function getDeadlineMilliseconds(request: IncomingMessage, route: Route): number {
	const wanted = Number(request.headers[headerNames.deadline] ?? Number.NaN);
	return wanted > 0 ? Math.min(wanted, route.deadlineMilliseconds) : route.deadlineMilliseconds;
}

/** Reads the body as far as it is kept; a failure is a problem that is surely not run. */
export async function readExchangeBody(parts: EntryParts, exchange: Exchange): Promise<CallerBody | Problem> {
	const {request, response, deadlineAt} = exchange;
	const {bodyBytes, idleTimeoutMilliseconds} = parts.context.settings.limits;
	const body = await readCallerBody(request, {
		bodyBytes, idleTimeoutMilliseconds, deadlineMilliseconds: deadlineAt - parts.context.clock.monotonic(),
	}, () => {
		if (request.headers.expect) {
			response.writeContinue();
		}
	});
	return body.ok ? body.value : getBodyProblem(body.error, 'not-run');
}

/** What ends a request early: before a target has it, and after. */
export type ExchangeSignals = {readonly selection: AbortSignal; readonly attempt: AbortSignal};

/** Runs the request at a target, and at others where that is safe. */
export async function runExchange(parts: EntryParts, exchange: Exchange, body: CallerBody, signals: ExchangeSignals): Promise<ExchangeResult> {
	const {route, customer} = exchange;
	let version = parts.versions.choose(route.service) ?? '';
	const excluded = new Set<string>();
	const records: AttemptRecord[] = [];
	for (;;) {
		const settled = parts.versions.chooseForRetry(route.service) ?? '';
		const isOnTrial = version !== settled;
		const selection = await parts.selector.select({
			service: route.service,
			customer: customer?.name ?? openCustomer,
			class: route.class,
			deadlineAt: isOnTrial ? getTrialDeadline(parts, exchange) : exchange.deadlineAt,
			candidates: parts.versions.filterTargets(route.service, parts.routing.getTargets(route.service, version)),
			excluded,
			signal: signals.selection,
		});
		if (selection.kind === 'refused' && isOnTrial && selection.reason !== 'cancelled') {
			// Nothing was sent, so that any request may go to the settled version instead.
			version = settled;
			continue;
		}

		if (selection.kind === 'refused') {
			return getRefusal(selection, records);
		}

		const outcome = await runAttempt(parts, exchange, {selection, body, signals});
		records.push({target: selection.target, outcome});
		excluded.add(selection.target.name);
		if (!mayRetry(parts, exchange, body, records)) {
			return getResult(parts, exchange, records);
		}

		version = parts.versions.chooseForRetry(route.service) ?? '';
	}
}

/** A request waits for the version on trial only so long that it can still go elsewhere. */
function getTrialDeadline(parts: EntryParts, exchange: Exchange): number {
	const now = parts.context.clock.monotonic();
	return now + Math.min(longestTrialWaitMilliseconds, (exchange.deadlineAt - now) * longestTrialWaitPart);
}

/** Tells the caller what became of the request; a streamed answer is told already. */
export function tellResult(exchange: Exchange, result: ExchangeResult): void {
	switch (result.kind) {
		case 'answered': {
			sendWholeAnswer(exchange.response, result.answer, exchange.requestId);
			break;
		}

		case 'problem': {
			sendProblem(exchange.response, result.problem, exchange.requestId);
			break;
		}

		case 'streamed':
		case 'cut': {
			break;
		}
	}
}

type AttemptParts = {
	readonly selection: Selection & {readonly kind: 'selected'};
	readonly body: CallerBody;
	readonly signals: ExchangeSignals;
};

async function runAttempt(parts: EntryParts, exchange: Exchange, {selection, body, signals}: AttemptParts): Promise<ForwardOutcome> {
	const {clock, bus} = parts.context;
	const {target} = selection;
	const startedAt = clock.monotonic();
	const attempt = signals.selection.aborted ? undefined : start(parts, exchange, target, body);
	const cancel = (): void => {
		attempt?.abort('caller-gone');
	};

	signals.attempt.addEventListener('abort', cancel);
	const outcome: ForwardOutcome = await attempt?.outcome ?? {kind: 'not-sent', cause: 'caller-gone', reason: 'the caller went away'};
	signals.attempt.removeEventListener('abort', cancel);
	if ((outcome.kind === 'answered' || outcome.kind === 'streamed') && outcome.isEchoed) {
		parts.pools.setEchoing(target);
	}

	const result: AttemptResult = {kind: getResultKind(outcome), milliseconds: clock.monotonic() - startedAt};
	if (result.kind === 'answered') {
		parts.retries.recordSuccess(exchange.route.service);
	}

	selection.finish(result);
	bus.publish({
		type: 'attempt-finished', route: exchange.route, target, result,
	});
	return outcome;
}

function start(parts: EntryParts, exchange: Exchange, target: Target, body: CallerBody): Attempt {
	const {request, response, requestId, customer, key} = exchange;
	const deadlineMilliseconds = exchange.deadlineAt - parts.context.clock.monotonic();
	return startAttempt({
		pool: parts.pools.getPool(target),
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: getForwardHeaders(request, {
			key, requestId, customer: customer?.name, deadlineMilliseconds,
		}),
		body: body.open() ?? null,
		requestId,
		deadlineMilliseconds,
		requiresEcho: parts.pools.isEchoing(target),
		claimResponse: () => response.headersSent || response.destroyed ? undefined : response,
	});
}

function mayRetry(parts: EntryParts, exchange: Exchange, body: CallerBody, records: readonly AttemptRecord[]): boolean {
	const last = records.at(-1)!;
	const isOnTrial = last.target.version !== parts.versions.chooseForRetry(exchange.route.service);
	const end = getAttemptEnd(last.outcome, isOnTrial);
	return isRetriable(end, exchange.route.idempotent)
		&& records.length < maximumAttempts
		&& body.canOpen()
		&& parts.context.clock.monotonic() < exchange.deadlineAt
		&& parts.retries.take(exchange.route.service);
}

/** Any failure of a version on trial may be the version's own, which the settled one doesn't share. */
function getAttemptEnd(outcome: ForwardOutcome, isOnTrial: boolean): AttemptEnd {
	switch (outcome.kind) {
		case 'answered': {
			const {status} = outcome.answer;
			const isFailed = isRetriableStatus(status) || (isOnTrial && status >= firstFailureStatus);
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

function getResultKind(outcome: ForwardOutcome): AttemptResult['kind'] {
	switch (outcome.kind) {
		case 'answered': {
			return outcome.answer.status >= firstFailureStatus ? 'failed' : 'answered';
		}

		case 'streamed': {
			return outcome.status >= firstFailureStatus ? 'failed' : 'answered';
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

/** Whether any attempt may have run; an earlier attempt counts even if the last wasn't sent. */
function getOutcome(records: readonly AttemptRecord[]): RequestOutcome {
	const mayHaveRun = records.some(({outcome}) => outcome.kind !== 'not-sent' && outcome.kind !== 'shed');
	return mayHaveRun ? 'unknown' : 'not-run';
}

function getRefusal(selection: Selection & {readonly kind: 'refused'}, records: readonly AttemptRecord[]): ExchangeResult {
	const failed = records.findLast(({outcome}) => outcome.kind === 'answered');
	if (failed?.outcome.kind === 'answered') {
		return {kind: 'answered', answer: failed.outcome.answer};
	}

	return {
		kind: 'problem', problem: {
			status: selection.reason === 'deadline' ? 504 : 503,
			outcome: getOutcome(records),
			reason: selection.reason,
			detail: 'no target can take the request now',
			retryAfterMilliseconds: selection.retryAfterMilliseconds,
		},
	};
}

function getResult(parts: EntryParts, exchange: Exchange, records: readonly AttemptRecord[]): ExchangeResult {
	const {outcome} = records.at(-1)!;
	switch (outcome.kind) {
		case 'answered': {
			return {kind: 'answered', answer: outcome.answer};
		}

		case 'streamed': {
			return {kind: 'streamed', status: outcome.status};
		}

		case 'shed': {
			return {kind: 'problem', problem: getTargetProblem(getOutcome(records))};
		}

		case 'not-sent':
		case 'lost': {
			parts.context.logger.warn('answer_lost', {request: exchange.requestId, cause: outcome.cause, reason: outcome.reason});
			if (outcome.kind === 'lost' && outcome.isStreaming) {
				return {kind: 'cut'};
			}

			return {kind: 'problem', problem: getLossProblem(outcome, getOutcome(records))};
		}
	}
}

function getLossProblem({cause}: ForwardOutcome & {readonly kind: 'not-sent' | 'lost'}, outcome: RequestOutcome): Problem {
	switch (cause) {
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
			return getTargetProblem(outcome);
		}
	}
}

function getTargetProblem(outcome: RequestOutcome): Problem {
	if (outcome === 'not-run') {
		return {
			status: 503, outcome, reason: 'target-unavailable', detail: 'the target didn\'t take the request', retryAfterMilliseconds,
		};
	}

	return {
		status: 502, outcome, reason: 'answer-lost', detail: 'the request may have run; its answer was lost',
	};
}

function getBodyProblem(kind: BodyFailureKind, outcome: RequestOutcome): Problem {
	switch (kind) {
		case 'too-large': {
			return {
				status: 413, outcome, reason: 'body-too-large', detail: 'the body is above the limit',
			};
		}

		case 'too-slow': {
			return {
				status: 408, outcome, reason: 'body-too-slow', detail: 'the body came too slowly',
			};
		}

		case 'caller-gone': {
			return {
				status: 499, outcome, reason: 'caller-gone', detail: 'the caller went away',
			};
		}
	}
}
