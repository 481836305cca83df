/**
 * Serves one admitted request of a gateway: chooses a target, forwards, and
 * tries another target where the request provably didn't run or may run twice
 * and the budget allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestOutcome} from '@catkindale/common';
import {
	type ServiceTimeKind, type TrafficCustomer, type TrafficRoute, type TrafficService, getAllowedRegions, isRetriable,
} from '@catkindale/policy';
import {
	minimumServerErrorStatus, getAttemptEnd, getFailedResponse, getRequestOutcome,
} from './attempt-end.js';
import type {CallerBody} from './caller-body.js';
import type {ExchangeResult} from './exchange-result.js';
import {type ForwardOutcome, type AttemptFailureCause, forwardRequest} from './forward.js';
import type {GatewayAttemptResult, ChoiceRefusal, ChosenTarget} from './gateway-target-chooser.js';
import type {GatewayDependencies} from './gateway-dependencies.js';
import {getGatewayHeaders} from './gateway-headers.js';
import {getAttemptFailureProblem} from './attempt-failure-problem.js';
import {type Problem, getBodyProblem} from './problem.js';
import type {ReportedLoad} from './target-dialect.js';
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
	/** Aborted when the caller leaves before its answer. */
	readonly callerSignal: AbortSignal;
};

type AttemptRecord = {readonly chosen: ChosenTarget; readonly outcome: ForwardOutcome};

export type GatewayExchangeEnd = {readonly result: ExchangeResult; readonly records: readonly AttemptRecord[]};

/** Attempts that reached no target don't count against the route, but must end. */
const mostAttempts = 5;
/** A target that answers so late that nobody waits is of no use. */
const leastUsefulMilliseconds = 5;

export async function runGatewayExchange(parts: GatewayDependencies, exchange: GatewayExchange, body: CallerBody): Promise<GatewayExchangeEnd> {
	const {route, service, customer} = exchange;
	const regions = getAllowedRegions(route, customer);
	const tried = new Set<string>();
	const records: AttemptRecord[] = [];
	parts.retryBudgets.recordRequest(service.name);
	const {trials, clock} = parts.context;
	const bodyBytes = Number(exchange.request.headers['content-length'] ?? body.prefix.length);
	let plan = trials.planRequest(service.name, route.name, exchange.object);
	const choose = (): ChosenTarget | ChoiceRefusal => parts.chooser.choose({
		route, service, object: exchange.object, regions, remainingMilliseconds: exchange.deadlineAt - clock.monotonic(), bodyBytes, tried, allowsVersion: plan.allows,
	});
	for (;;) {
		if (exchange.callerSignal.aborted) {
			return {result: {kind: 'problem', problem: getBodyProblem('caller-gone', getRequestOutcome(records))}, records};
		}

		let choice = choose();
		if (choice.kind === 'refused' && plan.isTrial) {
			// The new version may have no target where the request may run.
			plan = trials.planOutsideTrial(service.name);
			choice = choose();
		}

		if (choice.kind === 'refused') {
			return {result: getRefusal(choice, records), records};
		}

		const outcome = await runAttempt(parts, exchange, body, choice);
		tried.add(choice.target.registration.id);
		records.push({chosen: choice, outcome});
		plan = trials.planOutsideTrial(service.name);
		if (!mayTryAgain(parts, exchange, body, records)) {
			return {result: getResult(records), records};
		}
	}
}

async function runAttempt(parts: GatewayDependencies, exchange: GatewayExchange, body: CallerBody, chosen: ChosenTarget): Promise<ForwardOutcome> {
	const {context} = parts;
	const {target: entry} = chosen;
	const connection = entry.connections.acquire();
	if (!connection) {
		parts.chooser.recordResult(chosen, {kind: 'ended'});
		return {kind: 'not-sent', cause: 'target', reason: 'all connections to the target are in use'};
	}

	const startedAt = context.clock.monotonic();
	const deadlineMilliseconds = exchange.deadlineAt - startedAt;
	let load: ReportedLoad | undefined;
	const attempt = forwardRequest({
		dispatcher: connection,
		method: exchange.request.method ?? 'GET',
		path: exchange.request.url ?? '/',
		headers: getGatewayHeaders(context.profile, exchange, {target: entry.registration.id, deadlineMilliseconds: deadlineMilliseconds - (chosen.roundTripMilliseconds / 2)}),
		body: body.open() ?? null,
		requestId: exchange.requestId,
		deadlineMilliseconds,
		requiresRequestIdEcho: true,
		dialect: context.profile.dialect,
		isConnectionReset: connection.isReset,
		onLeaving() {
			parts.targets.markLeaving(entry);
		},
		onReportedLoad(told) {
			load = told;
		},
		claimResponse: () => exchange.response.headersSent || exchange.response.destroyed ? undefined : exchange.response,
	});
	const cancel = (): void => {
		// What may not be repeated runs to its end once it is sent, so that its outcome doesn't depend on its caller.
		if (exchange.route.isIdempotent || !attempt.isSent()) {
			attempt.abort('caller-gone');
		}
	};

	exchange.callerSignal.addEventListener('abort', cancel);
	const outcome = await attempt.outcome;
	exchange.callerSignal.removeEventListener('abort', cancel);
	connection.release();
	learn(parts, {chosen, outcome}, exchange.route, {milliseconds: context.clock.monotonic() - startedAt, load});
	return outcome;
}

type Learnt = {readonly milliseconds: number; readonly load: ReportedLoad | undefined};

function learn(parts: GatewayDependencies, {chosen, outcome}: AttemptRecord, route: TrafficRoute, learnt: Learnt): void {
	if (outcome.kind === 'shed' && outcome.isOtherTarget) {
		parts.targets.markLeaving(chosen.target);
	}

	if (outcome.kind === 'lost' && outcome.cause !== 'caller-gone') {
		// Other connections may have fallen silent too.
		chosen.target.connections.retireAll();
	}

	const run = parts.chooser.recordResult(chosen, getEnding(outcome, learnt));
	const kind = getAttemptKind(outcome, run);
	if (kind) {
		const {service, version} = chosen.target.registration;
		parts.context.trials.recordAttempt(service, route.name, version, kind);
	}
}

/** What the attempt says of its target's version; undefined if it says nothing. */
function getAttemptKind(outcome: ForwardOutcome, run: ServiceTimeKind | undefined): AttemptQuality | undefined {
	switch (outcome.kind) {
		case 'answered': {
			if (outcome.response.status >= minimumServerErrorStatus) {
				return 'failed';
			}

			return run === 'slow' ? 'slow' : 'good';
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

function getEnding(outcome: ForwardOutcome, {milliseconds, load}: Learnt): GatewayAttemptResult {
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

function mayTryAgain(parts: GatewayDependencies, exchange: GatewayExchange, body: CallerBody, records: readonly AttemptRecord[]): boolean {
	const {outcome} = records.at(-1)!;
	const left = exchange.deadlineAt - parts.context.clock.monotonic();
	const reached = records.filter(record => record.outcome.kind !== 'not-sent').length;
	if (exchange.callerSignal.aborted || left < leastUsefulMilliseconds || !body.canOpen() || records.length >= mostAttempts || reached >= exchange.route.maximumAttempts) {
		return false;
	}

	const isRetriableEnd = isRetriable(getAttemptEnd(outcome, true), exchange.route.isIdempotent);
	// What reached no target costs targets nothing.
	return isRetriableEnd && (outcome.kind === 'not-sent' || parts.retryBudgets.takeRetry(exchange.service.name));
}

function getRefusal(refusal: Omit<ChoiceRefusal, 'kind'>, records: readonly AttemptRecord[]): ExchangeResult {
	const answer = getFailedResponse(records);
	if (answer) {
		return {kind: 'answered', response: answer};
	}

	const outcome = getRequestOutcome(records);
	const problem: Problem = {
		status: outcome === 'not-run' ? 503 : 502, outcome, reason: refusal.reason, detail: 'no target can take the request in time',
	};
	return {kind: 'problem', problem: outcome === 'not-run' ? {...problem, retryAfterMilliseconds: refusal.retryAfterMilliseconds} : problem};
}

/** What a caller waits before it asks again after its targets refused it. */
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
			return getRefusal({reason: 'no-target', retryAfterMilliseconds: shedRetryMilliseconds}, records);
		}

		case 'not-sent':
		case 'lost': {
			if (outcome.kind === 'lost' && outcome.isStreaming) {
				return {kind: 'cut'};
			}

			const answer = getFailedResponse(records);
			return answer ? {kind: 'answered', response: answer} : {kind: 'problem', problem: getEndProblem(outcome.cause, getRequestOutcome(records))};
		}
	}
}

function getEndProblem(cause: AttemptFailureCause, outcome: RequestOutcome): Problem {
	const problem = getAttemptFailureProblem(cause, outcome, shedRetryMilliseconds);
	// A status 408 would promise that nothing ran.
	return cause === 'body-too-slow' && outcome !== 'not-run' ? {...problem, status: 502} : problem;
}
