/**
 * Serves one admitted request: reads its body, selects a target, forwards, and
 * tries another target where that is safe and the retry budget allows.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type Customer, type Route, isRetriable,
} from '@catkindale/policy';
import {getAttemptEnd, getFailedResponse, getRequestOutcome} from './attempt-end.js';
import {type CallerBody, readCallerBody} from './caller-body.js';
import {headerNames} from './constants.js';
import type {ExchangeResult} from './exchange-result.js';
import {type AttemptRecord, getTrialEnd} from './exchange-attempt.js';
import {runHedgedAttempts} from './exchange-hedge.js';
import type {HedgeDelays} from './hedge-delays.js';
import type {LinkMeter} from './link-meter.js';
import {getAttemptFailureProblem, getTargetFailureProblem} from './attempt-failure-problem.js';
import type {NodeContext} from './node-context.js';
import {type Problem, getBodyProblem} from './problem.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {RoutingTable} from './routing-table.js';
import type {TargetConnectionPools} from './target-connection-pools.js';
import type {Selection, TargetSelector} from './target-selector.js';
import type {VersionChooser} from './version-chooser.js';

/** What the entry's task owns and each exchange uses. */
export type EntryDependencies = {
	readonly context: NodeContext;
	readonly routing: RoutingTable;
	readonly selector: TargetSelector;
	readonly connectionPools: TargetConnectionPools;
	readonly linkMeter: LinkMeter;
	readonly versionChooser: VersionChooser;
	readonly retryBudgets: RetryBudgets;
	readonly hedgeDelays: HedgeDelays;
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

const longestTrialWaitPart = 0.1;
const longestTrialWaitMilliseconds = 50;
const openCustomer = 'open';
const retryAfterMilliseconds = 1000;
const maximumAttempts = 3;

export function getTimeoutMilliseconds(request: IncomingMessage, route: Route): number {
	const wanted = Number(request.headers[headerNames.deadline] ?? Number.NaN);
	return wanted > 0 ? Math.min(wanted, route.deadlineMilliseconds) : route.deadlineMilliseconds;
}

/** Reads the body as far as it is kept; a failure is a problem that is surely not run. */
export async function readExchangeBody(parts: EntryDependencies, exchange: Exchange): Promise<CallerBody | Problem> {
	const {request, response, deadlineAt} = exchange;
	const {bodyBytes, idleTimeoutMilliseconds} = parts.context.settings.limits;
	const body = await readCallerBody(request, {
		maximumBytes: bodyBytes, idleTimeoutMilliseconds, prefixTimeoutMilliseconds: deadlineAt - parts.context.clock.monotonic(),
	}, response);
	return body.ok ? body.value : getBodyProblem(body.error, 'not-run');
}

/** What ends a request early: before a target has it, and after. */
export type ExchangeSignals = {readonly selection: AbortSignal; readonly attempt: AbortSignal};

/** Runs the request at a target, and at others where that is safe. */
export async function runExchange(parts: EntryDependencies, exchange: Exchange, body: CallerBody, signals: ExchangeSignals): Promise<ExchangeResult> {
	const {route, customer} = exchange;
	const choice = parts.versionChooser.chooseForRoute(route);
	let version = choice.version ?? '';
	const excluded = new Set<string>();
	const records: AttemptRecord[] = [];
	const select = async (signal: AbortSignal, deadlineAt = exchange.deadlineAt): Promise<Selection> => parts.selector.select({
		service: route.service,
		customer: customer?.name ?? openCustomer,
		class: route.class,
		deadlineAt,
		candidates: parts.versionChooser.filterTargets(route.service, parts.routing.getTargets(route.service, version)),
		excluded,
		signal,
	});
	for (;;) {
		const settled = parts.versionChooser.chooseForRetry(route.service) ?? '';
		const isOnTrial = version !== settled;
		const selection = await select(signals.selection, isOnTrial ? getTrialDeadline(parts, exchange) : exchange.deadlineAt);
		if (selection.kind === 'refused' && isOnTrial && selection.reason !== 'cancelled') {
			// Nothing was sent, so that any request may go to the settled version instead.
			choice.end('not-sent');
			version = settled;
			continue;
		}

		if (selection.kind === 'refused') {
			choice.end('not-sent');
			return getRefusal(selection, records);
		}

		excluded.add(selection.target.name);
		version = parts.versionChooser.chooseForRetry(route.service) ?? '';
		const ended = await runHedgedAttempts(parts, exchange, {selection, body, signals}, select);
		choice.end(getTrialEnd(ended, choice.version));
		for (const record of ended) {
			records.push(record);
			excluded.add(record.target.name);
		}

		if (!mayRetry(parts, exchange, body, records)) {
			return getResult(parts, exchange, records);
		}
	}
}

/** A request waits for the version on trial only so long that it can still go elsewhere. */
function getTrialDeadline(parts: EntryDependencies, exchange: Exchange): number {
	const now = parts.context.clock.monotonic();
	return now + Math.min(longestTrialWaitMilliseconds, (exchange.deadlineAt - now) * longestTrialWaitPart);
}

function mayRetry(parts: EntryDependencies, exchange: Exchange, body: CallerBody, records: readonly AttemptRecord[]): boolean {
	const last = records.at(-1)!;
	const isOnTrial = last.target.version !== parts.versionChooser.chooseForRetry(exchange.route.service);
	// Any failure of a version on trial may be the version's own, which the settled one doesn't share.
	const end = getAttemptEnd(last.outcome, isOnTrial);
	return isRetriable(end, exchange.route.idempotent)
		&& records.length < maximumAttempts
		&& body.canOpen()
		&& parts.context.clock.monotonic() < exchange.deadlineAt
		&& parts.retryBudgets.takeRetry(exchange.route.service);
}

function getRefusal(selection: Selection & {readonly kind: 'refused'}, records: readonly AttemptRecord[]): ExchangeResult {
	const answer = getFailedResponse(records);
	if (answer) {
		return {kind: 'answered', response: answer};
	}

	return {
		kind: 'problem', problem: {
			status: selection.reason === 'deadline' ? 504 : 503,
			outcome: getRequestOutcome(records),
			reason: selection.reason,
			detail: 'no target can take the request now',
			retryAfterMilliseconds: selection.retryAfterMilliseconds,
		},
	};
}

function getResult(parts: EntryDependencies, exchange: Exchange, records: readonly AttemptRecord[]): ExchangeResult {
	const {outcome} = records.at(-1)!;
	switch (outcome.kind) {
		case 'answered': {
			return {kind: 'answered', response: outcome.response};
		}

		case 'streamed': {
			return {kind: 'streamed', status: outcome.status};
		}

		case 'shed': {
			return {kind: 'problem', problem: getTargetFailureProblem(getRequestOutcome(records), retryAfterMilliseconds)};
		}

		case 'not-sent':
		case 'lost': {
			parts.context.logger.warn('answer_lost', {request: exchange.requestId, cause: outcome.cause, reason: outcome.reason});
			if (outcome.kind === 'lost' && outcome.isStreaming) {
				return {kind: 'cut'};
			}

			return {kind: 'problem', problem: getAttemptFailureProblem(outcome.cause, getRequestOutcome(records), retryAfterMilliseconds)};
		}
	}
}
