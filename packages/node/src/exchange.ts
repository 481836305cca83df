/** Serves one admitted request: selects a target, forwards, answers the caller. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer, Route, Target} from '@catkindale/policy';
import {headerNames} from './constants.js';
import {type ForwardOutcome, forwardRequest} from './forward.js';
import type {NodeContext} from './node-context.js';
import {sendProblem} from './problem.js';
import {getForwardHeaders} from './request-headers.js';
import type {RoutingTable} from './routing-table.js';
import type {TargetPools} from './target-pools.js';
import type {AttemptResult, TargetSelector} from './target-selector.js';
import type {VersionChooser} from './version-chooser.js';

/** What the entry's task owns and each exchange uses. */
export type EntryParts = {
	readonly context: NodeContext;
	readonly routing: RoutingTable;
	readonly selector: TargetSelector;
	readonly pools: TargetPools;
	readonly versions: VersionChooser;
};

export type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	readonly route: Route;
	readonly customer: Customer | undefined;
};

export type ExchangeOutcome = ForwardOutcome['kind'] | 'refused';

const openCustomer = 'open';
const firstFailureStatus = 500;
const retryAfterMilliseconds = 1000;

export async function runExchange(parts: EntryParts, exchange: Exchange): Promise<ExchangeOutcome> {
	const {request, response, route, customer, requestId} = exchange;
	const version = parts.versions.choose(route.service) ?? '';
	const caller = new AbortController();
	response.once('close', () => {
		caller.abort();
	});
	const selection = await parts.selector.select({
		service: route.service,
		customer: customer?.name ?? openCustomer,
		class: route.class,
		deadlineAt: exchange.startedAt + getDeadline(request, route),
		candidates: parts.versions.filterTargets(route.service, parts.routing.getTargets(route.service, version)),
		excluded: new Set(),
		signal: caller.signal,
	});
	if (selection.kind === 'refused') {
		sendProblem(response, {
			status: 503, outcome: 'not-run', reason: selection.reason, detail: 'no target can take the request now', retryAfterMilliseconds: selection.retryAfterMilliseconds,
		}, requestId);
		return 'refused';
	}

	const outcome = await attempt(parts, exchange, selection.target);
	const milliseconds = parts.context.clock.monotonic() - exchange.startedAt;
	const result = {kind: getResultKind(outcome, response), milliseconds};
	selection.finish(result);
	parts.context.bus.publish({
		type: 'attempt-finished', route, target: selection.target, result,
	});
	answerOutcome(parts, exchange, outcome);
	return outcome.kind;
}

async function attempt(parts: EntryParts, exchange: Exchange, target: Target): Promise<ForwardOutcome> {
	const {request, response, requestId, route, customer} = exchange;
	const spent = parts.context.clock.monotonic() - exchange.startedAt;
	const deadlineMilliseconds = getDeadline(request, route) - spent;
	return forwardRequest({
		pool: parts.pools.getPool(target),
		request,
		response,
		requestId,
		deadlineMilliseconds,
		headers: getForwardHeaders(request, {requestId, customer: customer?.name, deadlineMilliseconds}),
	});
}

function getResultKind(outcome: ForwardOutcome, response: ServerResponse): AttemptResult['kind'] {
	if (outcome.kind === 'answered') {
		return outcome.status >= firstFailureStatus ? 'failed' : 'answered';
	}

	return response.destroyed && outcome.kind === 'lost' ? 'cancelled' : outcome.kind;
}

function getDeadline(request: IncomingMessage, route: Route): number {
	const wanted = Number(request.headers[headerNames.deadline] ?? Number.NaN);
	return wanted > 0 ? Math.min(wanted, route.deadlineMilliseconds) : route.deadlineMilliseconds;
}

function answerOutcome(parts: EntryParts, exchange: Exchange, outcome: ForwardOutcome): void {
	const {response, requestId} = exchange;
	switch (outcome.kind) {
		case 'answered': {
			return;
		}

		case 'not-sent':
		case 'shed': {
			sendProblem(response, {
				status: 503, outcome: 'not-run', reason: 'target-unavailable', detail: 'the target didn\'t take the request', retryAfterMilliseconds,
			}, requestId);
			return;
		}

		case 'lost': {
			parts.context.logger.warn('answer_lost', {request: requestId, reason: outcome.reason});
			// A cut answer must not look like a whole one.
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendProblem(response, {
				status: 502, outcome: 'unknown', reason: 'answer-lost', detail: 'the request may have run; its answer was lost',
			}, requestId);
		}
	}
}
