/**
 * Serves callers' requests at a gateway: finds the route by host and path,
 * checks the key and the customer's quota, and forwards the request to the
 * target that is expected to finish it first. Logs the decision on each request
 * in one line.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Counter, Histogram} from 'prom-client';
import {createIdentifier, millisecondsPerSecond} from '@catkindale/common';
import {
	type TrafficCustomer, type TrafficRoute, getPlace,
} from '@catkindale/policy';
import {getRequestOutcome} from './attempt-outcome.js';
import {readCallerBody} from './caller-body.js';
import {watchCallerDisconnect} from './caller-disconnect.js';
import {gatewayRole} from './constants.js';
import {type ExchangeResult, sendResult} from './exchange-result.js';
import {createGatewayRetryBudgets} from './gateway-retry-budgets.js';
import {checkGatewayRequest} from './gateway-check.js';
import {createGatewayTargetChooser} from './gateway-target-chooser.js';
import {createGatewayTargetRates} from './gateway-target-rates.js';
import {
	type GatewayExchangeEnd, type GatewayExchange, runGatewayExchange,
} from './gateway-exchange.js';
import type {FleetLinks} from './fleet-links.js';
import type {GatewayDependencies} from './gateway-dependencies.js';
import {createGatewayAdmissions} from './gateway-admissions.js';
import {createGatewayQuotas} from './gateway-quotas.js';
import {createGatewayTargets} from './gateway-targets.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import {createPlacementExchange} from './placement-exchange.js';
import {failRequest, getBodyProblem, sendProblem} from './problem.js';
import {type TrafficRouter, createTrafficRouter} from './traffic-router.js';

const startOrder = 40;
const latencyBucketsSeconds = [0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1, 2, 5];
/** If a request waited longer than this to be read, its caller may have disconnected already. */
const maximumReadDelayMilliseconds = 100;
/** The first `setImmediate` runs in the turn that read the request, the second after the next turn has read its connection again. */
const turnsToReadDisconnects = 2;
/** Bodies up to this size are buffered, so that a request that a target refused can be sent to another. */
const maximumRetriableBodyBytes = 524_288;

type GatewayState = GatewayDependencies & {
	router: TrafficRouter | undefined;
	readonly latency: Histogram<'customer' | 'route' | 'outcome'>;
	readonly attempts: Counter<'service' | 'outcome'>;
};

nodePlugins.register({
	name: 'gateway',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const {
			bus, clock, logger, settings,
		} = context;
		const ownId = settings.node.name;
		const {region} = settings.node;
		const targetBytes = new Counter({
			name: 'catkindale_target_bytes_total',
			help: 'Bytes sent to and received from targets, by their place: the same zone, another zone of the region, or a remote region',
			labelNames: ['place', 'direction'],
			registers: [context.metrics],
		});
		const targets = createGatewayTargets({
			clock,
			region,
			connectionsPerTarget: settings.limits.connectionsPerTarget,
			onTraffic(registration, {sent, received}) {
				const place = getPlace(settings.node, registration);
				targetBytes.inc({place, direction: 'sent'}, sent);
				targetBytes.inc({place, direction: 'received'}, received);
			},
			onRemoved({id}) {
				chooser.removeTarget(id);
			},
		});
		const rates = createGatewayTargetRates({logger, ownId, region});
		const chooser = createGatewayTargetChooser({
			clock, targets, rates, location: settings.node,
		});
		const quotas = createGatewayQuotas({
			clock, ownId, configuredGateways: Math.max(1, settings.peers.length), getTolerance: () => settings.gateway.quotaTolerance,
		});
		let stopsAt: number | undefined;
		let links: FleetLinks = {kind: 'mesh'};
		const state: GatewayState = {
			getStopTime: () => stopsAt,
			context,
			targets,
			chooser,
			rates,
			admissions: createGatewayAdmissions({
				bus, clock, logger, metrics: context.metrics, ownId, quotas, findCustomer: name => state.router?.getCustomer(name),
			}),
			retryBudgets: createGatewayRetryBudgets(clock, () => {
				const {repeatRatio: ratio, repeatReserve: reserve, repeatWindowMilliseconds: windowMilliseconds} = settings.gateway;
				return {ratio, reserve, windowMilliseconds};
			}),
			router: undefined,
			latency: new Histogram({
				name: 'catkindale_gateway_request_seconds',
				help: 'Time from the request to the end of its answer',
				labelNames: ['customer', 'route', 'outcome'],
				buckets: latencyBucketsSeconds,
				registers: [context.metrics],
			}),
			attempts: new Counter({
				name: 'catkindale_gateway_attempts_total', help: 'Attempts at targets', labelNames: ['service', 'outcome'], registers: [context.metrics],
			}),
		};
		const placementExchange = createPlacementExchange({
			bus, clock, chooser, ownId,
		});
		const placementsWork = startPeriodicWork(async () => {
			placementExchange.send();
		}, placementExchange.getSendIntervalMilliseconds);
		const unsubscribers = [
			bus.subscribe('traffic-configuration-changed', ({configuration}) => {
				state.router = createTrafficRouter(configuration);
				const {unusedRoutes} = state.router;
				if (unusedRoutes.length > 0) {
					logger.warn('routes_unused', {version: configuration.version, count: unusedRoutes.length, first: unusedRoutes[0]?.name});
				}

				quotas.setCustomers(configuration.customers);
				context.callerHandlers.entry ??= (request, response) => {
					void serveSafely(state, request, response);
				};
			}),
			bus.subscribe('traffic-targets-changed', message => {
				targets.setTargets(message.targets.targets);
			}),
			bus.subscribe('traffic-orders-changed', ({orders}) => {
				chooser.setEvacuatedZones(orders.evacuatedZones);
			}),
			bus.subscribe('serving-gateways-changed', ({members}) => {
				const regionGateways = members.filter(member => member.region === region);
				placementExchange.setRegionGateways(regionGateways);
				rates.setGateways(members);
				state.admissions.setRegionGateways(regionGateways);
				state.retryBudgets.setGatewayCount(members.length);
			}),
			bus.subscribe('fleet-links-changed', message => {
				({links} = message);
				placementExchange.setLinks(links);
				state.admissions.setLinks(links);
			}),
			bus.subscribe('drain-started', () => {
				stopsAt = clock.monotonic() + settings.timing.lookupHoldMilliseconds + settings.timing.graceMilliseconds;
			}),
			bus.subscribe('process-paused', () => {
				quotas.clearTokens();
				for (const target of targets.getAll()) {
					target.rateBucket = {...target.rateBucket, tokens: 0, filledAt: clock.monotonic()};
				}
			}),
			bus.subscribe('heartbeat-sending', () => {
				bus.publish({type: 'own-demands-measured', demands: quotas.measureDemands(), requestRate: state.admissions.measureRequestRate()});
				bus.publish({type: 'target-limits-changed', limits: rates.takeChangedLimits()});
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'object-placements') {
					placementExchange.receive(message, from);
				} else if (message.type === 'gateway-report') {
					const isForwarded = links.kind === 'relay' && links.attachedIds.includes(from);
					for (const {target, limitPerSecond} of message.targetLimits ?? []) {
						const known = targets.getAll().find(({registration}) => registration.id === target);
						if (known) {
							rates.recordLimit(known, limitPerSecond, from, isForwarded);
						}
					}
				}
			}),
			bus.subscribe('customer-demands-changed', ({demands, requestRates, fleet}) => {
				quotas.setDemands(demands, fleet);
				rates.setDemands({requestRates, knownGateways: fleet.known});
			}),
		];
		return {
			async stop() {
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}

				state.admissions.stop();
				await placementsWork.stop();
				await targets.close();
			},
		};
	},
});

/** Answers a request whose handling failed with 502, which promises nothing: a target may have run it. */
async function serveSafely(state: GatewayState, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {profile, inputErrors} = state.context;
	const requestId = getHeader(request, profile.headers.requestId) ?? createIdentifier();
	try {
		await serve(state, requestId, request, response);
	} catch (error) {
		inputErrors.record('request', error, {request: requestId});
		failRequest(response, requestId);
	}
}

async function serve(state: GatewayState, requestId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {context, router} = state;
	const {profile, clock} = context;
	const startedAt = clock.monotonic();
	if (!router) {
		return;
	}

	const callerController = new AbortController();
	const handleDisconnect = (): void => {
		if (!response.writableFinished) {
			callerController.abort();
		}
	};

	const stopWatching = watchCallerDisconnect(request, handleDisconnect);
	response.once('close', () => {
		stopWatching();
		handleDisconnect();
	});
	const check = await checkGatewayRequest(state, router, request);
	if (check.kind === 'refused') {
		sendProblem(response, check.problem, requestId, profile.hasFractionalRetryAfter);
		reportResult(state, {
			requestId, startedAt, callerSignal: callerController.signal, ...check,
		}, {result: {kind: 'problem', problem: check.problem}, records: []});
		return;
	}

	const {route, service, customer, timeoutMilliseconds} = check;
	const exchange: GatewayExchange = {
		request,
		response,
		requestId,
		startedAt,
		deadlineAt: startedAt + timeoutMilliseconds,
		route,
		service,
		customer,
		object: getHeader(request, profile.headers.object),
		callerSignal: callerController.signal,
	};
	if (context.eventLoopMonitor.getDelayMilliseconds() > maximumReadDelayMilliseconds) {
		await yieldToEventLoop();
	}

	const exchangeEnd = await readBodyAndRun(state, exchange, router);
	if (customer && getRequestOutcome(exchangeEnd.records) === 'not-run') {
		state.admissions.refund(customer);
	}

	sendResult(exchange, exchangeEnd.result, profile);
	reportResult(state, exchange, exchangeEnd);
}

/** Lets the event loop read pending socket events, which include disconnects of callers. */
async function yieldToEventLoop(): Promise<void> {
	for (let turn = 0; turn < turnsToReadDisconnects; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

async function readBodyAndRun(state: GatewayState, exchange: GatewayExchange, router: TrafficRouter): Promise<GatewayExchangeEnd> {
	const {request, response, deadlineAt} = exchange;
	const {bodyBytes, idleTimeoutMilliseconds} = router.configuration.limits;
	const body = await readCallerBody(request, {
		maximumBytes: bodyBytes, maximumBufferedBytes: maximumRetriableBodyBytes, idleTimeoutMilliseconds, prefixTimeoutMilliseconds: deadlineAt - state.context.clock.monotonic(),
	}, response);
	return body.ok ? runGatewayExchange(state, exchange, body.value) : {result: {kind: 'problem', problem: getBodyProblem(body.error, 'not-run')}, records: []};
}

type ReportedRequest = {
	readonly requestId: string;
	readonly startedAt: number;
	readonly route: TrafficRoute | undefined;
	readonly customer: TrafficCustomer | undefined;
	readonly object?: string | undefined;
	/** Aborted if the caller disconnected before its response was complete. */
	readonly callerSignal: AbortSignal;
};

/** Updates the metrics and logs the line that shows operators the result of a request and its cause. */
function reportResult(state: GatewayState, {requestId, startedAt, route, customer, object, callerSignal}: ReportedRequest, {result, records}: GatewayExchangeEnd): void {
	const {context, router} = state;
	const milliseconds = context.clock.monotonic() - startedAt;
	const outcome = result.kind === 'problem' ? result.problem.reason : result.kind;
	state.latency.observe({customer: customer?.name ?? 'none', route: route?.name ?? 'none', outcome}, milliseconds / millisecondsPerSecond);
	for (const record of records) {
		state.attempts.inc({service: record.chosen.target.registration.service, outcome: record.outcome.kind});
	}

	context.logger.info('request_finished', {
		request: requestId,
		route: route?.name,
		customer: customer?.name,
		version: router?.configuration.version,
		object,
		outcome,
		...(result.kind === 'problem' && {detail: result.problem.detail}),
		status: getStatus(result),
		ran: getRequestOutcome(records),
		milliseconds: Math.round(milliseconds),
		caller: callerSignal.aborted ? 'gone' : undefined,
		attempts: records.map(({chosen, outcome: attemptOutcome}) => [
			chosen.target.registration.id,
			chosen.target.registration.region,
			attemptOutcome.kind,
			`expected=${Math.round(chosen.expectedMilliseconds)}`,
			`running=${chosen.expectedRunning.toFixed(1)}`,
			chosen.isWarm ? 'cached' : 'uncached',
			...('reason' in attemptOutcome ? [attemptOutcome.reason] : []),
		].join(':')).join(','),
	});
}

function getStatus(result: ExchangeResult): number | undefined {
	switch (result.kind) {
		case 'answered': {
			return result.response.status;
		}

		case 'streamed': {
			return result.status;
		}

		case 'problem': {
			return result.problem.status;
		}

		case 'cut': {
			return undefined;
		}
	}
}

function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' && value !== '' ? value : undefined;
}
