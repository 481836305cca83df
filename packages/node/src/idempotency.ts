/** Creates and connects the components with which an entry runs requests at most once. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Member, createTicketStore} from '@catkindale/policy';
import {type CallerBody, maximumBufferedBodyBytes} from './caller-body.js';
import type {ExchangeResult} from './exchange-result.js';
import type {Exchange} from './exchange.js';
import {createIdempotencyClaims} from './idempotency-claims.js';
import {createIdempotencyGuard, createTicketClock} from './idempotency-guard.js';
import {createEntryForwarder, getIdempotencyKey} from './idempotency-hop.js';
import type {NodeContext} from './node-context.js';
import type {Problem} from './problem.js';
import {startTicketHandover} from './ticket-handover.js';
import {createTicketSuccessors} from './ticket-successors.js';

export type AtMostOnceExchange = {
	readonly exchange: Exchange;
	readonly body: CallerBody;
	readonly isForwarded: boolean;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
	readonly run: () => Promise<ExchangeResult>;
};

export type Idempotency = {
	runAtMostOnce: (atMostOnceExchange: AtMostOnceExchange) => Promise<ExchangeResult>;
	/** Adjusts the problem of a request that was refused before it ran: `unknown` if an earlier attempt may have run. */
	adjustProblemOutcome: (request: IncomingMessage, problem: Problem) => Problem;
	/** Waits for requests that run without their caller and for pending rows, then hands the recorded outcomes over. */
	stop: () => Promise<void>;
};

/** The customer under which requests of open routes, which need no key, are recorded. */
const openRouteCustomer = 'open';

export function createIdempotency(context: NodeContext): Idempotency {
	const {bus, clock, incarnation, logger, settings} = context;
	const {name: node, region} = settings.node;
	let members: readonly Member[] = [];
	/** When the planned stop cuts off the requests that still run. */
	let stopsAt: number | undefined;
	const unsubscribers = [
		bus.subscribe('membership-changed', message => {
			members = message.members;
		}),
		bus.subscribe('drain-started', () => {
			stopsAt = clock.monotonic() + settings.timing.lookupHoldMilliseconds + settings.timing.graceMilliseconds;
		}),
	];
	const ticketClock = createTicketClock(clock);
	const ticketStore = createTicketStore();
	const successors = createTicketSuccessors(clock);
	const entryForwarder = createEntryForwarder(settings.secrets.peer);
	const claims = createIdempotencyClaims({
		table: context.platform.table, node, incarnation, getTime: () => new Date(clock.wall()).toISOString(),
	});
	const guard = createIdempotencyGuard({
		node, incarnation, secret: settings.secrets.peer, clock, ticketStore, claims, successors,
	}, ticketClock);
	const handover = startTicketHandover({
		bus, node, region, incarnation, ticketStore, successors, ticketClock, getMembers: () => members,
	});

	const forwardToEntry = async ({exchange, body, signal}: AtMostOnceExchange, id: string, requiredIncarnation: string | undefined): Promise<ExchangeResult | undefined> => {
		const member = members.find(candidate => candidate.id === id && (requiredIncarnation === undefined || candidate.incarnation === requiredIncarnation));
		if (!member || id === node) {
			return undefined;
		}

		const {request, response, requestId, key} = exchange;
		return entryForwarder.forward({
			address: member.callerAddress, request, response, requestId, key, body, signal, deadlineMilliseconds: exchange.deadlineAt - clock.monotonic(),
		});
	};

	return {
		async runAtMostOnce(atMostOnceExchange) {
			const {exchange, body, isForwarded, run} = atMostOnceExchange;
			return guard.runAtMostOnce({
				key: getIdempotencyKey(exchange.request),
				customer: exchange.customer?.name ?? openRouteCustomer,
				fingerprint: getFingerprint(exchange, body),
				maximumWaitMilliseconds: exchange.deadlineAt - clock.monotonic(),
				isForwarded,
				run,
				forwardToEntry: async (id, requiredIncarnation) => forwardToEntry(atMostOnceExchange, id, requiredIncarnation),
			});
		},
		adjustProblemOutcome(request, problem) {
			const key = getIdempotencyKey(request);
			return key === '' ? problem : guard.adjustProblemOutcome(key, problem);
		},
		async stop() {
			const remainingMilliseconds = Math.max(0, (stopsAt ?? clock.monotonic()) - clock.monotonic());
			await Promise.race([guard.waitForRunning(), delay(remainingMilliseconds, undefined, {ref: false})]);
			await claims.stop();
			const successor = await handover.handOver();
			logger.info('tickets_handed_over', {heir: successor ?? 'none', remembered: ticketStore.getSize()});
			handover.end();
			for (const unsubscribe of unsubscribers) {
				unsubscribe();
			}

			await entryForwarder.close();
		},
	};
}

/** Hashes the request; a large body is represented by its beginning and its declared length. */
function getFingerprint({request}: Exchange, body: CallerBody): string {
	const hash = createHash('sha256');
	const {method, url, headers} = request;
	hash.update(JSON.stringify([method, url, headers['content-type'], headers['content-length'], body.isFullyBuffered]));
	hash.update(Buffer.from(body.prefix.subarray(0, maximumBufferedBodyBytes)));
	return hash.digest('base64url');
}
