/**
 * Randomised verification of the fair queue: continuously backlogged customers
 * are served in proportion to their weights, no request is lost or served
 * twice, removed requests leave no state behind, and the queue's limits hold.
 */
import {type Random, assertInvariant, createRandom} from '@catkindale/common';
import {type FairQueue, type QueuedRequest, createFairQueue} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

type Request = QueuedRequest & {readonly id: number};

type Run = {
	readonly seed: number;
	readonly random: Random;
	readonly queue: FairQueue<Request>;
	readonly weights: readonly number[];
	readonly waiting: Map<number, Request>;
	/**
	 * Service of each flow, a customer's requests of one class, while it is continuously backlogged: requests
	 * served per weight, and its lead over each other backlogged flow.
	 */
	readonly serviceByFlow: Map<string, {served: number; leads: Map<string, number>}>;
	created: number;
	consecutiveInteractive: number;
};

const steps = 400;
const limits = {requestsPerCustomer: 12, requests: 48, bulkShare: 0.1};
const maximumCustomers = 8;
const tolerance = 1e-6;

registerVerification({
	name: 'fairness',
	describe: 'the fair queue under random arrivals, aborts and dispatches',
	run(seed) {
		const random = createRandom(seed);
		const weights = Array.from({length: random.integer(2, maximumCustomers)}, () => random.integer(1, 4));
		const run: Run = {
			seed, random, weights, queue: createFairQueue(limits), waiting: new Map(), serviceByFlow: new Map(), created: 0, consecutiveInteractive: 0,
		};
		const arrivalChoices = random.integer(2, 8);
		for (let step = 0; step < steps; step++) {
			runStep(run, random.integer(0, 9), arrivalChoices);
		}

		while (run.queue.getLength() > 0) {
			serveNext(run);
		}

		assertInvariant(run.waiting.size === 0, 'the queue loses no request', {seed, lost: run.waiting.size});
		assertInvariant(run.queue.countCustomers() === 0, 'an empty queue keeps no customer state', {seed});
	},
});

function runStep(run: Run, choice: number, arrivalChoices: number): void {
	if (choice < arrivalChoices) {
		addRequest(run);
	} else if (choice === 9) {
		abortRequest(run);
	} else {
		serveNext(run);
	}

	assertInvariant(run.queue.getLength() === run.waiting.size, 'the queue holds exactly the waiting requests', {seed: run.seed, length: run.queue.getLength(), waiting: run.waiting.size});
	assertInvariant(run.waiting.size <= limits.requests, 'the queue length stays within its limit', {seed: run.seed});
}

function addRequest(run: Run): void {
	const {random, weights, queue} = run;
	// The first customer sends at least half of the requests.
	const index = random.integer(0, 1) === 0 ? 0 : random.integer(0, weights.length - 1);
	const request: Request = {
		id: run.created, customer: `customer-${index}`, weight: weights[index] ?? 1, class: random.integer(0, 4) === 0 ? 'bulk' : 'interactive', queuedAt: 0, deadlineAt: Infinity,
	};
	run.created += 1;
	const ownCount = countWaiting(run, request.customer);
	const largestCount = Math.max(...weights.map((_, other) => countWaiting(run, `customer-${other}`)));
	const result = queue.add(request);
	if (result.kind === 'full') {
		const isRefusalAllowed = ownCount >= limits.requestsPerCustomer || ownCount + 1 >= largestCount;
		assertInvariant(isRefusalAllowed, 'a customer is refused only at its own limit or while no other customer has more requests waiting', {seed: run.seed, ownCount, largestCount});
		return;
	}

	run.waiting.set(request.id, request);
	if (result.displaced) {
		assertInvariant(result.displaced.customer !== request.customer, 'a new request displaces only requests of other customers', {seed: run.seed});
		removeWaiting(run, result.displaced);
	}
}

function abortRequest(run: Run): void {
	const waiting = [...run.waiting.values()];
	const request = waiting[run.random.integer(0, Math.max(0, waiting.length - 1))];
	if (!request) {
		return;
	}

	assertInvariant(run.queue.remove(request), 'a waiting request can be removed', {seed: run.seed});
	assertInvariant(!run.queue.remove(request), 'a removed request can\'t be removed again', {seed: run.seed});
	removeWaiting(run, request);
}

function serveNext(run: Run): void {
	const next = run.queue.peek();
	const request = run.queue.take();
	assertInvariant(next === request, 'take returns the request that peek returned', {seed: run.seed});
	if (!request) {
		return;
	}

	assertInvariant(run.waiting.has(request.id), 'each request is served once', {seed: run.seed, id: request.id});
	checkClasses(run, request);
	recordService(run, request);
	removeWaiting(run, request);
}

/** Asserts that bulk requests get their minimum fraction of the service while both classes wait. */
function checkClasses(run: Run, request: Request): void {
	const isBulkWaiting = [...run.waiting.values()].some(waiting => waiting.class === 'bulk');
	run.consecutiveInteractive = request.class === 'interactive' && isBulkWaiting ? run.consecutiveInteractive + 1 : 0;
	assertInvariant(run.consecutiveInteractive < 1 / limits.bulkShare, 'bulk requests get their minimum fraction of the service', {seed: run.seed, interactive: run.consecutiveInteractive});
}

/**
 * Counts the served request and asserts fairness: for two continuously
 * backlogged flows, the service per weight differs by at most one request of
 * each (Goyal, Vin and Cheng, Start-time Fair Queuing, theorem 1).
 */
function recordService(run: Run, request: Request): void {
	const flow = getFlowKey(request);
	const flows = new Map([...run.waiting.values()].filter(waiting => waiting.class === request.class).map(waiting => [getFlowKey(waiting), waiting.weight]));
	const ownService = run.serviceByFlow.get(flow) ?? {served: 0, leads: new Map<string, number>()};
	run.serviceByFlow.set(flow, ownService);
	ownService.served += 1 / request.weight;
	for (const [otherFlow, weight] of flows) {
		const otherService = run.serviceByFlow.get(otherFlow) ?? {served: 0, leads: new Map<string, number>()};
		run.serviceByFlow.set(otherFlow, otherService);
		if (otherFlow === flow) {
			continue;
		}

		const lead = (ownService.leads.get(otherFlow) ?? 0) + (1 / request.weight);
		ownService.leads.set(otherFlow, lead);
		otherService.leads.set(flow, (otherService.leads.get(flow) ?? 0) - (1 / request.weight));
		// The bound holds for every interval, so the start of the interval moves up to now when a lead would fall below 0.
		ownService.leads.set(otherFlow, Math.max(0, lead));
		otherService.leads.set(flow, Math.max(0, otherService.leads.get(flow) ?? 0));
		const bound = (1 / request.weight) + (1 / weight);
		assertInvariant(lead <= bound + tolerance, 'the lead of a customer over another waiting customer stays within the fairness bound', {
			seed: run.seed, customer: flow, other: otherFlow, lead, bound,
		});
	}
}

function removeWaiting(run: Run, request: Request): void {
	run.waiting.delete(request.id);
	const flow = getFlowKey(request);
	const isStillWaiting = [...run.waiting.values()].some(waiting => getFlowKey(waiting) === flow);
	if (isStillWaiting) {
		return;
	}

	// The flow is no longer backlogged, so its service is counted anew when it waits again.
	run.serviceByFlow.delete(flow);
	for (const other of run.serviceByFlow.values()) {
		other.leads.delete(flow);
	}
}

function getFlowKey(request: Request): string {
	return `${request.customer} ${request.class}`;
}

function countWaiting(run: Run, customer: string): number {
	return [...run.waiting.values()].filter(request => request.customer === customer).length;
}
