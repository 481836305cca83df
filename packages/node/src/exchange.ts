/**
 * Serves one admitted request: reads its body, selects a target, forwards, and
 * retries at another target where that is safe and the retry budget allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {maximumTimerMilliseconds} from '@catkindale/common';
import {
	type Customer, type Route, isRetriable,
} from '@catkindale/policy';
import {getAttemptOutcome, getFailedResponse, getRequestOutcome} from './attempt-outcome.js';
import {type CallerBody, readCallerBody} from './caller-body.js';
import {headerNames} from './constants.js';
import type {ExchangeResult} from './exchange-result.js';
import {type AttemptRecord, getTrialRequestOutcome} from './exchange-attempt.js';
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

/** The collaborators of an entry that each exchange uses. */
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
	/** Monotonic time in milliseconds after which a response is useless. */
	readonly deadlineAt: number;
	readonly route: Route;
	readonly customer: Customer | undefined;
	/** The key sent with the request. */
	readonly key: string | undefined;
};

const maximumTrialWaitFraction = 0.1;
const maximumTrialWaitMilliseconds = 50;
const openRouteCustomer = 'open';
const retryAfterMilliseconds = 1000;
const maximumAttempts = 3;

export function getTimeoutMilliseconds(request: IncomingMessage, route: Route): number {
	const requestedMilliseconds = Number(request.headers[headerNames.deadline] ?? Number.NaN);
	return Math.min(maximumTimerMilliseconds, route.deadlineMilliseconds, requestedMilliseconds > 0 ? requestedMilliseconds : Number.POSITIVE_INFINITY);
}

/** Reads the body or its prefix. A failure is returned as a problem with the outcome `not-run`, since no target has the request. */
export async function readExchangeBody(dependencies: EntryDependencies, exchange: Exchange): Promise<CallerBody | Problem> {
	const {request, response, deadlineAt} = exchange;
	const {bodyBytes, idleTimeoutMilliseconds} = dependencies.context.settings.limits;
	const body = await readCallerBody(request, {
		maximumBytes: bodyBytes, idleTimeoutMilliseconds, prefixTimeoutMilliseconds: deadlineAt - dependencies.context.clock.monotonic(),
	}, response);
	return body.ok ? body.value : getBodyProblem(body.error, 'not-run');
}

/** The signals that end a request early: during the selection of a target, and during an attempt. */
export type ExchangeSignals = {readonly selection: AbortSignal; readonly attempt: AbortSignal};

/** Runs the request at a target, and retries it at others where that is safe. */
export async function runExchange(dependencies: EntryDependencies, exchange: Exchange, body: CallerBody, signals: ExchangeSignals): Promise<ExchangeResult> {
	const {route, customer} = exchange;
	const versionChoice = dependencies.versionChooser.chooseForRoute(route);
	let version = versionChoice.version ?? '';
	const excluded = new Set<string>();
	const records: AttemptRecord[] = [];
	const selectTarget = async (signal: AbortSignal, deadlineAt = exchange.deadlineAt): Promise<Selection> => dependencies.selector.select({
		service: route.service,
		customer: customer?.name ?? openRouteCustomer,
		class: route.class,
		deadlineAt,
		candidates: dependencies.versionChooser.filterTargets(route.service, dependencies.routing.getTargets(route.service, version)),
		excluded,
		signal,
	});
	for (;;) {
		const settledVersion = dependencies.versionChooser.chooseForRetry(route.service) ?? '';
		const isOnTrial = version !== settledVersion;
		const selection = await selectTarget(signals.selection, isOnTrial ? getTrialDeadline(dependencies, exchange) : exchange.deadlineAt);
		if (selection.kind === 'refused' && isOnTrial && selection.reason !== 'cancelled') {
			// Nothing was sent, so any request may go to the settled version instead.
			versionChoice.recordOutcome('not-sent');
			version = settledVersion;
			continue;
		}

		if (selection.kind === 'refused') {
			versionChoice.recordOutcome('not-sent');
			return getRefusalResult(selection, records);
		}

		excluded.add(selection.target.name);
		version = dependencies.versionChooser.chooseForRetry(route.service) ?? '';
		const attempts = await runHedgedAttempts(dependencies, exchange, {selection, body, signals}, selectTarget);
		versionChoice.recordOutcome(getTrialRequestOutcome(attempts, versionChoice.version));
		for (const record of attempts) {
			records.push(record);
			excluded.add(record.target.name);
		}

		if (!mayRetry(dependencies, exchange, body, records)) {
			return getResult(dependencies, exchange, records);
		}
	}
}

/** Limits the wait for the version on trial, so that the request can still go to the settled version. */
function getTrialDeadline(dependencies: EntryDependencies, exchange: Exchange): number {
	const now = dependencies.context.clock.monotonic();
	return now + Math.min(maximumTrialWaitMilliseconds, (exchange.deadlineAt - now) * maximumTrialWaitFraction);
}

function mayRetry(dependencies: EntryDependencies, exchange: Exchange, body: CallerBody, records: readonly AttemptRecord[]): boolean {
	const last = records.at(-1)!;
	const isOnTrial = last.target.version !== dependencies.versionChooser.chooseForRetry(exchange.route.service);
	// Any failure of a version on trial may be caused by the version, so the settled one may succeed.
	const attemptOutcome = getAttemptOutcome(last.outcome, isOnTrial);
	return isRetriable(attemptOutcome, exchange.route.idempotent)
		&& records.length < maximumAttempts
		&& body.canOpen()
		&& dependencies.context.clock.monotonic() < exchange.deadlineAt
		&& dependencies.retryBudgets.takeRetry(exchange.route.service);
}

function getRefusalResult(selection: Selection & {readonly kind: 'refused'}, records: readonly AttemptRecord[]): ExchangeResult {
	const failedResponse = getFailedResponse(records);
	if (failedResponse) {
		return {kind: 'answered', response: failedResponse};
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

function getResult(dependencies: EntryDependencies, exchange: Exchange, records: readonly AttemptRecord[]): ExchangeResult {
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
			dependencies.context.logger.warn('answer_lost', {request: exchange.requestId, cause: outcome.cause, reason: outcome.reason});
			if (outcome.kind === 'lost' && outcome.isStreaming) {
				return {kind: 'cut'};
			}

			return {kind: 'problem', problem: getAttemptFailureProblem(outcome.cause, getRequestOutcome(records), retryAfterMilliseconds)};
		}
	}
}
