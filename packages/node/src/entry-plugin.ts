/**
 * Serves callers' requests at an entry: finds the route, checks the key, admits
 * within the quotas of this node, and forwards the request to a target.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Histogram} from 'prom-client';
import {createIdentifier, millisecondsPerSecond} from '@catkindale/common';
import {createCustomerWeights} from '@catkindale/policy';
import {
	type EntryDependencies, type Exchange, getTimeoutMilliseconds, readExchangeBody, runExchange,
} from './exchange.js';
import {type ExchangeResult, createProblemResult, sendResult} from './exchange-result.js';
import type {CallerBody} from './caller-body.js';
import {headerNames} from './constants.js';
import {createHedgeDelays} from './hedge-delays.js';
import {getIdempotencyKey, isSignedHop} from './idempotency-hop.js';
import {type Idempotency, createIdempotency} from './idempotency.js';
import {type KnowledgeExpiry, createKnowledgeExpiry} from './knowledge-expiry.js';
import {createLinkMeter} from './link-meter.js';
import {registerLinkMetrics} from './link-metrics.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {getNodeQuotas} from './node-quotas.js';
import {failRequest, sendProblem} from './problem.js';
import {checkRequest, outOfDateProblem} from './request-check.js';
import {getRequestKey} from './request-headers.js';
import type {RequestQuotas} from './request-quotas.js';
import {createRetryBudgets} from './retry-budgets.js';
import {type RoutingTable, getRoutingTable} from './routing-table.js';
import {createTargetConnectionPools} from './target-connection-pools.js';
import {createTargetSelector} from './target-selector.js';
import {createVersionChooser} from './version-chooser.js';

const startOrder = 40;
const latencyBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

type EntryState = Omit<EntryDependencies, 'routing'> & {
	routing: RoutingTable | undefined;
	readonly knowledge: KnowledgeExpiry;
	readonly idempotency: Idempotency;
	readonly quotas: RequestQuotas;
	readonly latency: Histogram<'customer' | 'class' | 'outcome'>;
};

nodePlugins.register({
	name: 'entry',
	roles: ['entry'],
	order: startOrder,
	async start(context) {
		const {bus, settings} = context;
		const {requests, slots, links} = getNodeQuotas(context);
		const linkMeter = createLinkMeter(links, settings.node.region);
		registerLinkMetrics(context.metrics, links.getStates);
		let customerWeights = createCustomerWeights([]);
		const state: EntryState = {
			context,
			routing: undefined,
			knowledge: createKnowledgeExpiry(context.clock),
			idempotency: createIdempotency(context),
			quotas: requests,
			selector: createTargetSelector({
				quota: slots,
				region: settings.node.region,
				clock: context.clock,
				registry: context.metrics,
				hasCapacityTo: linkMeter.hasCapacityTo,
				getWeight: customer => customerWeights.getWeight(customer),
			}),
			linkMeter,
			connectionPools: createTargetConnectionPools(settings.limits.connectionsPerTarget),
			versionChooser: createVersionChooser(),
			retryBudgets: createRetryBudgets(),
			hedgeDelays: createHedgeDelays(),
			latency: createLatencyHistogram(context),
		};
		const unsubscribers = [
			bus.subscribe('configuration-changed', ({configuration}) => {
				state.routing = getRoutingTable(configuration);
				customerWeights = createCustomerWeights(configuration.customers);
				state.versionChooser.setConfiguration(configuration);
				state.connectionPools.setTargets(configuration.targets);
			}),
			bus.subscribe('freshness-changed', ({validity}) => {
				state.knowledge.setValidity(validity);
			}),
			bus.subscribe('slots-gained', ({target}) => {
				state.selector.refreshSlots(target);
			}),
			bus.subscribe('target-reported', ({target, report}) => {
				state.selector.recordReport(target, report);
			}),
			bus.subscribe('version-share-changed', ({share}) => {
				state.versionChooser.setShare(share);
			}),
		];
		context.callerHandlers.entry = (request, response) => {
			void serveSafely(state, request, response);
		};

		return {
			async stop() {
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}

				state.knowledge.stop();
				await state.idempotency.stop();
				await state.connectionPools.close();
			},
		};
	},
});

async function serveSafely(state: EntryState, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await serve(state, request, response);
	} catch (error) {
		state.context.inputErrors.record('request', error);
		failRequest(response);
	}
}

async function serve(state: EntryState, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const startedAt = state.context.clock.monotonic();
	const isForwarded = isSignedHop(state.context.settings.secrets.peer, request);
	const requestId = isForwarded ? String(request.headers[headerNames.requestId]) : createIdentifier();
	const checked = await checkRequest(request, {
		routing: state.routing,
		quotas: state.quotas,
		isCurrent: state.knowledge.isCurrent,
		onExpiry: state.knowledge.onExpiry,
		isForwarded,
		getTokenDeadline: route => startedAt + getTimeoutMilliseconds(request, route) - state.selector.getLatencyBound(route.service),
	});
	const {routing: routingAtAdmission} = state;
	if (checked.kind === 'refused' || !routingAtAdmission) {
		if (checked.kind === 'refused') {
			sendProblem(response, state.idempotency.adjustProblemOutcome(request, checked.problem), requestId);
		}

		return;
	}

	const {route, customer} = checked;
	const exchange: Exchange = {
		request,
		response,
		requestId,
		startedAt,
		deadlineAt: startedAt + getTimeoutMilliseconds(request, route),
		route,
		customer,
		key: getRequestKey(request),
	};
	const dependencies = {
		...state,
		/** The configuration may change before the target is selected. */
		get routing() {
			return state.routing ?? routingAtAdmission;
		},
	};
	const result = await runForCaller(dependencies, exchange, isForwarded);
	sendResult(exchange, result);
	observeLatency(state, exchange, result);
}

async function runForCaller(dependencies: EntryDependencies & Pick<EntryState, 'idempotency' | 'knowledge'>, exchange: Exchange, isForwarded: boolean): Promise<ExchangeResult> {
	const body = await readExchangeBody(dependencies, exchange);
	if ('status' in body) {
		return {kind: 'problem', problem: body};
	}

	const callerController = new AbortController();
	const selectionController = new AbortController();
	exchange.response.once('close', () => {
		// An abort is costly because it creates an exception with a stack trace, so it is used only for callers that disconnect early.
		if (!exchange.response.writableFinished) {
			callerController.abort();
			selectionController.abort();
		}
	});
	// Beyond the validity, the customer's key may be withdrawn: the request mustn't wait on.
	const stopWatching = exchange.customer && dependencies.knowledge.onExpiry(() => {
		selectionController.abort();
	});
	const result = await runAdmitted(dependencies, {exchange, body, isForwarded}, {caller: callerController.signal, selection: selectionController.signal});
	stopWatching?.();
	const isOutOfDate = result.kind === 'problem' && result.problem.reason === 'cancelled' && !callerController.signal.aborted;
	return isOutOfDate ? createProblemResult({...outOfDateProblem, outcome: result.problem.outcome}) : result;
}

type AdmittedRequest = {readonly exchange: Exchange; readonly body: CallerBody; readonly isForwarded: boolean};

async function runAdmitted(
	dependencies: EntryDependencies & Pick<EntryState, 'idempotency'>,
	{exchange, body, isForwarded}: AdmittedRequest,
	{caller, selection}: {readonly caller: AbortSignal; readonly selection: AbortSignal},
): Promise<ExchangeResult> {
	if (exchange.route.idempotent || getIdempotencyKey(exchange.request) === '') {
		return runExchange(dependencies, exchange, body, {selection, attempt: caller});
	}

	// A request whose outcome is remembered continues at its target after the caller disconnects, since the caller may repeat it. A request with a streamed body is aborted, because the rest of its body is lost.
	const attemptSignal = body.isFullyBuffered ? new AbortController().signal : caller;
	return dependencies.idempotency.runAtMostOnce({
		exchange, body, isForwarded, signal: caller, run: async () => runExchange(dependencies, exchange, body, {selection, attempt: attemptSignal}),
	});
}

function observeLatency(state: EntryState, {customer, route, startedAt}: Exchange, result: ExchangeResult): void {
	const seconds = (state.context.clock.monotonic() - startedAt) / millisecondsPerSecond;
	const outcome = result.kind === 'problem' ? result.problem.outcome : result.kind;
	state.latency.observe({customer: customer?.name ?? 'open', class: route.class, outcome}, seconds);
}

function createLatencyHistogram(context: NodeContext): EntryState['latency'] {
	return new Histogram({
		name: 'catkindale_request_seconds',
		help: 'Time from the request to the end of its answer',
		labelNames: ['customer', 'class', 'outcome'],
		buckets: latencyBucketsSeconds,
		registers: [context.metrics],
	});
}
