/**
 * Serves one admitted request of a gateway: chooses a target, forwards, and
 * retries at another target if the request provably didn't run or may run
 * twice, and the retry budget allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestOutcome} from '@catkindale/common';
import {
	type ServiceTimeKind, type TrafficCustomer, type TrafficRoute, type TrafficService, getAllowedRegions, isRetriable,
} from '@catkindale/policy';
import {
	minimumServerErrorStatus, getAttemptOutcome, getFailedResponse, getRequestOutcome,
} from './attempt-outcome.js';
import type {CallerBody} from './caller-body.js';
import {hasRequestBehind} from './caller-connections.js';
import type {ExchangeResult} from './exchange-result.js';
import {
	type Attempt, type ForwardOutcome, type AttemptFailureCause, forwardRequest,
} from './forward.js';
import type {GatewayAttemptResult, ChoiceRefusal, ChosenTarget} from './gateway-target-chooser.js';
import type {GatewayTarget} from './gateway-targets.js';
import type {GatewayDependencies} from './gateway-dependencies.js';
import {isUnconfirmedAfterPause, pauseRetryMilliseconds} from './gateway-check.js';
import {getGatewayHeaders} from './gateway-headers.js';
import {getAttemptFailureProblem} from './attempt-failure-problem.js';
import {type Problem, getBodyProblem} from './problem.js';
import {ownResponseSource} from './gateway-target-rates.js';
import type {TargetConnection} from './target-connections.js';
import type {ReportedLoad, TargetStatement} from './target-dialect.js';
import type {AttemptQuality} from './version-trials.js';

export type GatewayExchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Monotonic times in milliseconds. */
	readonly startedAt: number;
	readonly deadlineAt: number;
	readonly route: TrafficRoute;
	readonly service: TrafficService;
	readonly customer: TrafficCustomer | undefined;
	readonly object: string | undefined;
	/** Aborted when the caller disconnects before its response. */
	readonly callerSignal: AbortSignal;
};

type AttemptRecord = {readonly chosen: ChosenTarget; readonly outcome: ForwardOutcome};

export type GatewayExchangeEnd = {readonly result: ExchangeResult; readonly records: readonly AttemptRecord[]};

/** Limits all attempts of a request, because those that reached no target don't count towards the maximum of the route. */
const maximumTotalAttempts = 5;
/** With less time left, the response to another attempt would come too late for the caller. */
const minimumRemainingMilliseconds = 5;

export async function runGatewayExchange(dependencies: GatewayDependencies, exchange: GatewayExchange, body: CallerBody): Promise<GatewayExchangeEnd> {
	const {route, service, customer} = exchange;
	const regions = getAllowedRegions(route, customer);
	const tried = new Set<string>();
	const records: AttemptRecord[] = [];
	dependencies.retryBudgets.recordRequest(service.name);
	const {context} = dependencies;
	const {trials, clock} = context;
	const bodyBytes = Number(exchange.request.headers['content-length'] ?? body.prefix.length);
	let trialPlan = trials.planRequest(service.name, route.name, exchange.object);
	const chooseTarget = (): ChosenTarget | ChoiceRefusal => {
		// The pause may have been while the body was read or while an earlier attempt ran.
		if (isUnconfirmedAfterPause(context)) {
			return {
				kind: 'refused', reason: 'paused', detail: 'this VM was paused and reads again what is in force', retryAfterMilliseconds: pauseRetryMilliseconds,
			};
		}

		return dependencies.chooser.choose({
			route, service, object: exchange.object, regions, remainingMilliseconds: exchange.deadlineAt - clock.monotonic(), bodyBytes, tried, allowsVersion: trialPlan.allows,
		});
	};

	for (;;) {
		if (exchange.callerSignal.aborted) {
			return {result: {kind: 'problem', problem: getBodyProblem('caller-gone', getRequestOutcome(records))}, records};
		}

		let choice = chooseTarget();
		if (choice.kind === 'refused' && trialPlan.isTrial) {
			// The version on trial may have no target in the regions where the request may run.
			trialPlan = trials.planOutsideTrial(service.name);
			choice = chooseTarget();
		}

		if (choice.kind === 'refused') {
			return {result: getRefusalResult(choice, records), records};
		}

		const outcome = await runAttempt(dependencies, exchange, body, choice);
		tried.add(choice.target.registration.id);
		records.push({chosen: choice, outcome});
		trialPlan = trials.planOutsideTrial(service.name);
		if (!mayRetry(dependencies, exchange, body, records)) {
			return {result: getResult(records), records};
		}
	}
}

async function runAttempt(dependencies: GatewayDependencies, exchange: GatewayExchange, body: CallerBody, chosen: ChosenTarget): Promise<ForwardOutcome> {
	const {context} = dependencies;
	const {target} = chosen;
	const connection = target.connections.acquire();
	if (!connection) {
		dependencies.chooser.recordResult(chosen, {kind: 'ended'});
		return {kind: 'not-sent', cause: 'target', reason: 'all connections to the target are in use'};
	}

	const startedAt = context.clock.monotonic();
	const deadlineMilliseconds = exchange.deadlineAt - startedAt;
	let load: ReportedLoad | undefined;
	const attempt = forwardRequest({
		dispatcher: connection,
		method: exchange.request.method ?? 'GET',
		path: exchange.request.url ?? '/',
		headers: getGatewayHeaders(context.profile, exchange, {target: target.registration.id, deadlineMilliseconds: deadlineMilliseconds - (chosen.roundTripMilliseconds / 2)}),
		body: body.open() ?? null,
		requestId: exchange.requestId,
		deadlineMilliseconds,
		requiresRequestIdEcho: true,
		dialect: context.profile.dialect,
		isConnectionReset: connection.isReset,
		isConnectionFresh: connection.isFresh,
		watchReceivedBytes: connection.watchReceivedBytes,
		onLeaving() {
			context.logger.info('target_leaving', {target: target.registration.id, request: exchange.requestId});
			dependencies.targets.markLeaving(target);
		},
		onStatement(statement) {
			({load} = statement);
			recordLimit(dependencies, target, statement);
			recordPause(dependencies, target, statement);
		},
		claimResponse: () => exchange.response.headersSent || exchange.response.destroyed ? undefined : exchange.response,
		isHeldUntilComplete: () => hasRequestBehind(exchange.response),
	});
	const abortAttempt = (): void => {
		// A request that may not be repeated runs to its end once it is sent, so that its outcome doesn't depend on its caller.
		if (exchange.route.isIdempotent || !attempt.isSent()) {
			attempt.abort('caller-gone');
		}
	};

	exchange.callerSignal.addEventListener('abort', abortAttempt);
	const outcome = await attempt.outcome;
	exchange.callerSignal.removeEventListener('abort', abortAttempt);
	void releaseWhenFree(connection, attempt);
	recordAttempt(dependencies, {chosen, outcome}, exchange.route, {milliseconds: context.clock.monotonic() - startedAt, load});
	return outcome;
}

async function releaseWhenFree(connection: TargetConnection, attempt: Attempt): Promise<void> {
	connection.release({isReusable: await attempt.connectionFree});
}

function recordLimit({rates}: GatewayDependencies, target: GatewayTarget, {limit}: TargetStatement): void {
	switch (limit.kind) {
		case 'limited': {
			rates.recordLimit(target, limit.requestsPerSecond, ownResponseSource, true);
			break;
		}

		case 'unlimited': {
			rates.recordLimit(target, undefined, ownResponseSource, true);
			break;
		}

		case 'unknown': {
			break;
		}
	}
}

function recordPause({context}: GatewayDependencies, {registration, reported}: GatewayTarget, {pauseMilliseconds}: TargetStatement): void {
	if (pauseMilliseconds !== undefined) {
		reported.pausedUntil = Math.max(reported.pausedUntil, context.clock.monotonic() + pauseMilliseconds);
		context.logger.info('target_paused', {target: registration.id, milliseconds: Math.round(pauseMilliseconds)});
	}
}

type AttemptObservation = {readonly milliseconds: number; readonly load: ReportedLoad | undefined};

function recordAttempt(dependencies: GatewayDependencies, {chosen, outcome}: AttemptRecord, route: TrafficRoute, observation: AttemptObservation): void {
	if (outcome.kind === 'shed' && outcome.isOtherTarget) {
		dependencies.targets.markMisdirected(chosen.target);
	}

	if (outcome.kind === 'lost' && outcome.cause !== 'caller-gone') {
		// Other connections to the target may be unresponsive too.
		chosen.target.connections.retireAll();
	}

	const serviceTimeKind = dependencies.chooser.recordResult(chosen, getAttemptResult(outcome, observation));
	const kind = getAttemptQuality(outcome, serviceTimeKind);
	if (kind) {
		const {service, version} = chosen.target.registration;
		dependencies.context.trials.recordAttempt(service, route.name, version, kind);
	}
}

/** Classifies the attempt for the trial of its target's version; undefined if it shows nothing about the version. */
function getAttemptQuality(outcome: ForwardOutcome, serviceTimeKind: ServiceTimeKind | undefined): AttemptQuality | undefined {
	switch (outcome.kind) {
		case 'answered': {
			if (outcome.response.status >= minimumServerErrorStatus) {
				return 'failed';
			}

			return serviceTimeKind === 'slow' ? 'slow' : 'good';
		}

		case 'streamed': {
			return outcome.status >= minimumServerErrorStatus ? 'failed' : 'good';
		}

		case 'lost': {
			return outcome.cause === 'target' ? 'failed' : (outcome.cause === 'deadline' ? 'slow' : undefined);
		}

		case 'shed':
		case 'not-sent': {
			return undefined;
		}
	}
}

function getAttemptResult(outcome: ForwardOutcome, {milliseconds, load}: AttemptObservation): GatewayAttemptResult {
	switch (outcome.kind) {
		case 'answered': {
			return {
				kind: 'answered', status: outcome.response.status, milliseconds, load,
			};
		}

		case 'streamed': {
			return {
				kind: 'answered', status: outcome.status, milliseconds, load,
			};
		}

		case 'shed': {
			return {kind: 'shed', load};
		}

		case 'not-sent': {
			return outcome.cause === 'target' ? {kind: 'unreachable'} : {kind: 'ended'};
		}

		case 'lost': {
			return outcome.cause === 'target' ? {kind: 'failed'} : {kind: 'unanswered', milliseconds};
		}
	}
}

function mayRetry(dependencies: GatewayDependencies, exchange: GatewayExchange, body: CallerBody, records: readonly AttemptRecord[]): boolean {
	const {outcome} = records.at(-1)!;
	const remainingMilliseconds = exchange.deadlineAt - dependencies.context.clock.monotonic();
	const reachedAttempts = records.filter(record => record.outcome.kind !== 'not-sent').length;
	if (exchange.callerSignal.aborted || remainingMilliseconds < minimumRemainingMilliseconds || !body.canOpen()
		|| records.length >= maximumTotalAttempts || reachedAttempts >= exchange.route.maximumAttempts) {
		return false;
	}

	const isRetriableOutcome = isRetriable(getAttemptOutcome(outcome, true), exchange.route.isIdempotent);
	// An attempt that reached no target puts no load on targets, so that its retry isn't taken from the budget.
	return isRetriableOutcome && (outcome.kind === 'not-sent' || dependencies.retryBudgets.takeRetry(exchange.service.name));
}

function getRefusalResult(refusal: Omit<ChoiceRefusal, 'kind'>, records: readonly AttemptRecord[]): ExchangeResult {
	const failedResponse = getFailedResponse(records);
	if (failedResponse) {
		return {kind: 'answered', response: failedResponse};
	}

	const outcome = getRequestOutcome(records);
	const problem: Problem = {
		status: outcome === 'not-run' ? 503 : 502, outcome, reason: refusal.reason, detail: refusal.detail,
	};
	return {kind: 'problem', problem: outcome === 'not-run' ? {...problem, retryAfterMilliseconds: refusal.retryAfterMilliseconds} : problem};
}

/** Retry delay for a caller whose request was refused by the targets. */
const shedRetryMilliseconds = 150;

function getResult(records: readonly AttemptRecord[]): ExchangeResult {
	const {outcome} = records.at(-1)!;
	switch (outcome.kind) {
		case 'answered': {
			return {kind: 'answered', response: outcome.response};
		}

		case 'streamed': {
			return {kind: 'streamed', status: outcome.status};
		}

		case 'shed': {
			return getRefusalResult({reason: 'no-target', detail: 'each target that was tried refused the request', retryAfterMilliseconds: shedRetryMilliseconds}, records);
		}

		case 'not-sent':
		case 'lost': {
			if (outcome.kind === 'lost' && outcome.isStreaming) {
				return {kind: 'cut'};
			}

			const failedResponse = getFailedResponse(records);
			return failedResponse ? {kind: 'answered', response: failedResponse} : {kind: 'problem', problem: getFailureProblem(outcome.cause, getRequestOutcome(records))};
		}
	}
}

function getFailureProblem(cause: AttemptFailureCause, outcome: RequestOutcome): Problem {
	const problem = getAttemptFailureProblem(cause, outcome, shedRetryMilliseconds);
	// Status 408 would state that the request didn't run.
	return cause === 'body-too-slow' && outcome !== 'not-run' ? {...problem, status: 502} : problem;
}
