/** Decides whether an entry admits a request, by its path, its route, its key and its customer's tokens. */
import type {IncomingMessage} from 'node:http';
import type {Customer, Route} from '@catkindale/policy';
import {isUnambiguousPath} from './path-check.js';
import type {Problem} from './problem.js';
import {getRequestKey, hasMultipleIdempotencyKeys, hasMultipleKeys} from './request-headers.js';
import type {RequestQuotas} from './request-quotas.js';
import type {RoutingTable} from './routing-table.js';

/** Refuses a request that needs a key while this node's keys may be out of date. */
export const outOfDateProblem: Problem = {
	status: 503,
	outcome: 'not-run',
	reason: 'knowledge-out-of-date',
	detail: 'this VM can\'t tell whether keys and rates are current; use another entry',
	retryAfterMilliseconds: 1000,
};

export type CheckedRequest
	/** The customer is undefined on a route that needs no key. */
	= | {readonly kind: 'admitted'; readonly route: Route; readonly customer: Customer | undefined}
		| {readonly kind: 'refused'; readonly problem: Problem};

export type RequestCheckDependencies = {
	readonly routing: RoutingTable | undefined;
	readonly quotas: RequestQuotas;
	/** Whether this node's keys and rates are current. */
	readonly isCurrent: () => boolean;
	/** Calls the function once, when the keys and rates are no longer current; returns a function that no longer waits for it. */
	readonly onExpiry: (run: () => void) => () => void;
	/** Whether the request comes from another entry, which has taken its token already. */
	readonly isForwarded: boolean;
	/** Monotonic time in milliseconds by which a request of the route must have its token. */
	readonly getTokenDeadline: (route: Route) => number;
};

export async function checkRequest(request: IncomingMessage, dependencies: RequestCheckDependencies): Promise<CheckedRequest> {
	const {routing, quotas, isCurrent, isForwarded} = dependencies;
	if (!routing) {
		return refuse(503, 'not-configured', 'this VM has no configuration yet');
	}

	if (!isUnambiguousPath(request.url ?? '/')) {
		return refuse(400, 'ambiguous-path', 'the path has dot segments, empty segments or encoded separators');
	}

	if (hasMultipleKeys(request)) {
		return refuse(400, 'several-keys', 'a key may come once, in one header');
	}

	if (hasMultipleIdempotencyKeys(request)) {
		return refuse(400, 'several-idempotency-keys', 'an Idempotency-Key may come once');
	}

	const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
	const route = routing.findRoute(request.method ?? 'GET', path);
	if (!route) {
		return refuse(404, 'unknown-route', `no route matches ${request.method} ${path}`);
	}

	if (route.open) {
		return {kind: 'admitted', route, customer: undefined};
	}

	if (!isCurrent()) {
		return {kind: 'refused', problem: outOfDateProblem};
	}

	const key = getRequestKey(request);
	const customer = key === undefined ? undefined : routing.findCustomer(key);
	if (!customer) {
		return refuse(401, 'unknown-key', 'the route needs the key of a customer');
	}

	if (isForwarded) {
		return {kind: 'admitted', route, customer};
	}

	const stopWatching = dependencies.onExpiry(() => {
		quotas.refuseWaiters();
	});
	const admission = await quotas.admitOrWait(customer.name, dependencies.getTokenDeadline(route));
	stopWatching();
	// The validity may have ended while the request waited for its token.
	if (!isCurrent()) {
		return {kind: 'refused', problem: outOfDateProblem};
	}

	return admission.kind === 'admitted'
		? {kind: 'admitted', route, customer}
		: refuse(429, 'rate-exceeded', `customer ${customer.name} has used its rate and burst`, admission.retryAfterMilliseconds);
}

function refuse(status: number, reason: string, detail: string, retryAfterMilliseconds?: number): CheckedRequest {
	return {
		kind: 'refused', problem: {
			status, outcome: 'not-run', reason, detail, ...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
		},
	};
}
