/**
 * The bounded queue of requests that wait for a slot of one pool of targets.
 * Each class is served fairly over its customers. Interactive requests go
 * first, but bulk requests keep a minimum share of the dispatches. When the
 * queue is full, a request of the customer with the most waiting requests is
 * displaced, so that a flood from one customer never keeps out the others. The
 * state is changed in place: each operation is logarithmic in the number of
 * customers.
 */
import {assertInvariant} from '@catkindale/common';
import type {RequestClass} from './configuration.js';
import {type WaitingRequest, createCustomerFlows} from './customer-flows.js';
import {createCustomerQueueLengths} from './customer-queue-lengths.js';

export type QueuedRequest = WaitingRequest & {
	readonly class: RequestClass;
	/** Monotonic time in milliseconds. */
	readonly queuedAt: number;
	/** Monotonic time in milliseconds by which the request must have ended. */
	readonly deadlineAt: number;
};

export type FairQueueLimits = {
	readonly requestsPerCustomer: number;
	readonly requests: number;
	/** The share of dispatches that bulk requests keep while both classes wait. */
	readonly bulkShare: number;
};

export type EnqueueResult<Request>
	/** `displaced` is the request removed to make room; it won't be served. */
	= | {readonly kind: 'queued'; readonly displaced: Request | undefined}
		| {readonly kind: 'full'};

export type FairQueue<Request extends QueuedRequest> = {
	readonly getLength: () => number;
	readonly add: (request: Request) => EnqueueResult<Request>;
	/** The request that is served next. */
	readonly peek: () => Request | undefined;
	/** Removes the request that is served next, as it is dispatched now. */
	readonly take: () => Request | undefined;
	/** Removes a request that won't be served; false if it isn't in the queue. */
	readonly remove: (request: Request) => boolean;
	/** An estimate of how many waiting requests are served before a new one. */
	readonly countAhead: (request: QueuedRequest) => number;
	/** Customers with state in the queue, counted once for each class. */
	readonly countCustomers: () => number;
};

export const defaultFairQueueLimits: FairQueueLimits = {requestsPerCustomer: 64, requests: 1024, bulkShare: 0.1};

export function createFairQueue<Request extends QueuedRequest>(limits: FairQueueLimits = defaultFairQueueLimits): FairQueue<Request> {
	const flows = {interactive: createCustomerFlows<Request>(), bulk: createCustomerFlows<Request>()};
	const queueLengths = createCustomerQueueLengths();
	const maximumInSuccession = Math.ceil(1 / limits.bulkShare) - 1;
	/** Interactive requests served in succession while a bulk request waited. */
	let interactiveInSuccession = 0;

	const getLength = (): number => flows.interactive.getLength() + flows.bulk.getLength();

	const getNextClass = (): RequestClass => {
		if (flows.interactive.getLength() === 0) {
			return 'bulk';
		}

		return flows.bulk.getLength() > 0 && interactiveInSuccession >= maximumInSuccession ? 'bulk' : 'interactive';
	};

	const remove = (request: Request): boolean => {
		const isRemoved = flows[request.class].remove(request);
		if (isRemoved) {
			queueLengths.decrease(request.customer);
		}

		return isRemoved;
	};

	const displace = (incoming: Request): Request | undefined => {
		const customer = queueLengths.getLongest();
		if (customer === undefined || queueLengths.getLength(customer) <= queueLengths.getLength(incoming.customer) + 1) {
			return undefined;
		}

		const request = flows.bulk.getNewest(customer) ?? flows.interactive.getNewest(customer);
		assertInvariant(request !== undefined, 'the customer with the longest queue has a waiting request', {customer});
		remove(request);
		return request;
	};

	return {
		getLength,
		add(request) {
			if (queueLengths.getLength(request.customer) >= limits.requestsPerCustomer) {
				return {kind: 'full'};
			}

			const isFull = getLength() >= limits.requests;
			const displaced = isFull ? displace(request) : undefined;
			if (isFull && !displaced) {
				return {kind: 'full'};
			}

			flows[request.class].add(request);
			queueLengths.increase(request.customer);
			return {kind: 'queued', displaced};
		},
		peek: () => flows[getNextClass()].peek(),
		take() {
			const nextClass = getNextClass();
			const request = flows[nextClass].take();
			if (!request) {
				return undefined;
			}

			queueLengths.decrease(request.customer);
			interactiveInSuccession = nextClass === 'interactive' && flows.bulk.getLength() > 0 ? interactiveInSuccession + 1 : 0;
			return request;
		},
		remove,
		countAhead(request) {
			const aheadInClass = flows[request.class].countAhead(request.customer, request.weight);
			if (request.class === 'interactive') {
				const bulk = flows.bulk.getLength();
				return aheadInClass + Math.min(bulk, Math.floor(aheadInClass * limits.bulkShare));
			}

			const interactive = flows.interactive.getLength();
			return aheadInClass + Math.min(interactive, Math.ceil((aheadInClass + 1) / limits.bulkShare));
		},
		countCustomers: () => flows.interactive.countCustomers() + flows.bulk.countCustomers(),
	};
}
