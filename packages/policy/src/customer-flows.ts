/**
 * Start-time fair queueing over the customers of one class: the next request
 * is the one whose customer has the lowest start tag, so that each customer
 * with waiting requests is served in proportion to its weight.
 *
 * Source: Goyal, Vin and Cheng, "Start-time fair queuing: a scheduling
 * algorithm for integrated services packet switching networks", ACM SIGCOMM,
 * 1996. As many requests are in service at once, the variant for a server of
 * some depth: Jin, Chase and Kaur, "Interposed proportional sharing for a
 * storage service utility", ACM SIGMETRICS, 2004.
 */
import {type PrioritizedItem, createPriorityQueue} from './priority-queue.js';

export type WaitingRequest = {
	readonly customer: string;
	/** Service that the customer gets relative to others. */
	readonly weight: number;
};

export type CustomerFlows<Request extends WaitingRequest> = {
	readonly getLength: () => number;
	readonly add: (request: Request) => void;
	/** The request that is served next. */
	readonly peek: () => Request | undefined;
	/** Removes the request that is served next and charges its customer. */
	readonly take: () => Request | undefined;
	/** Removes a request that won't be served; its customer isn't charged. */
	readonly remove: (request: Request) => boolean;
	/** The customer's latest waiting request. */
	readonly getNewest: (customer: string) => Request | undefined;
	/** An estimate of how many waiting requests would be served before a new one. */
	readonly countAhead: (customer: string, weight: number) => number;
	/** Customers with a flow, with or without a waiting request. */
	readonly countCustomers: () => number;
};

type Flow<Request> = PrioritizedItem & {
	readonly customer: string;
	readonly requests: Request[];
	/** The start tag of the first waiting request, in virtual time; if none waits, the finish tag of the last one served. */
	tag: number;
	/** Sequence number of the tag's latest change; among equal tags the one set first goes first. */
	order: number;
	weight: number;
};

export function createCustomerFlows<Request extends WaitingRequest>(): CustomerFlows<Request> {
	const flows = new Map<string, Flow<Request>>();
	const backlogged = createPriorityQueue<Flow<Request>>(isBefore);
	const idle = createPriorityQueue<Flow<Request>>(isBefore);
	let virtualTime = 0;
	let changes = 0;
	let length = 0;
	let backloggedWeight = 0;

	const setTag = (flow: Flow<Request>, tag: number): void => {
		changes += 1;
		flow.tag = tag;
		flow.order = changes;
	};

	/** Removes idle flows whose next request would start at the current virtual time anyway. */
	const removeIdle = (): void => {
		for (let flow = idle.peek(); flow && flow.tag <= virtualTime; flow = idle.peek()) {
			idle.remove(flow);
			flows.delete(flow.customer);
		}
	};

	const setIdle = (flow: Flow<Request>): void => {
		backlogged.remove(flow);
		backloggedWeight -= flow.weight;
		idle.add(flow);
		if (length === 0) {
			virtualTime = Infinity;
			removeIdle();
			virtualTime = 0;
			backloggedWeight = 0;
		}
	};

	const getFlow = (customer: string): Flow<Request> => {
		const existing = flows.get(customer);
		if (existing) {
			return existing;
		}

		const flow: Flow<Request> = {
			customer, requests: [], tag: virtualTime, order: 0, weight: 1, heapPosition: -1,
		};
		flows.set(customer, flow);
		return flow;
	};

	const peek = (): Request | undefined => backlogged.peek()?.requests[0];

	return {
		getLength: () => length,
		add(request) {
			const flow = getFlow(request.customer);
			flow.requests.push(request);
			length += 1;
			if (flow.requests.length > 1) {
				return;
			}

			idle.remove(flow);
			setTag(flow, Math.max(flow.tag, virtualTime));
			flow.weight = request.weight;
			backloggedWeight += flow.weight;
			backlogged.add(flow);
		},
		peek,
		take() {
			const flow = backlogged.peek();
			const request = flow?.requests.shift();
			if (!flow || !request) {
				return undefined;
			}

			length -= 1;
			virtualTime = flow.tag;
			setTag(flow, flow.tag + (1 / request.weight));
			if (flow.requests.length === 0) {
				setIdle(flow);
			} else {
				backlogged.update(flow);
			}

			removeIdle();
			return request;
		},
		remove(request) {
			const flow = flows.get(request.customer);
			const position = flow?.requests.indexOf(request) ?? -1;
			if (!flow || position === -1) {
				return false;
			}

			flow.requests.splice(position, 1);
			length -= 1;
			if (flow.requests.length === 0) {
				setIdle(flow);
			}

			return true;
		},
		getNewest: customer => flows.get(customer)?.requests.at(-1),
		countAhead(customer, weight) {
			const own = flows.get(customer)?.requests.length ?? 0;
			const otherWeight = own > 0 ? backloggedWeight - weight : backloggedWeight;
			const othersAhead = Math.ceil((own + 1) * Math.max(0, otherWeight) / weight);
			return own + Math.min(length - own, othersAhead);
		},
		countCustomers: () => flows.size,
	};
}

function isBefore(left: Flow<unknown>, right: Flow<unknown>): boolean {
	return left.tag === right.tag ? left.order < right.order : left.tag < right.tag;
}
