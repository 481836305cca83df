/**
 * Randomised run of the fair queue: customers that wait throughout are served
 * in proportion to their weights, no request is lost or served twice, removed
 * ones leave no trace, and the bounds hold.
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
	/** Service per weight that each customer got since it began to wait without a gap. */
	readonly service: Map<string, {served: number; others: Map<string, number>}>;
	created: number;
	interactiveInSuccession: number;
};

const steps = 400;
const limits = {requestsPerCustomer: 12, requests: 48, bulkShare: 0.1};
const mostCustomers = 8;
const tolerance = 1e-6;

registerVerification({
	name: 'fairness',
	describe: 'the fair queue under random arrivals, aborts and services',
	run(seed) {
		const random = createRandom(seed);
		const weights = Array.from({length: random.integer(2, mostCustomers)}, () => random.integer(1, 4));
		const run: Run = {
			seed, random, weights, queue: createFairQueue(limits), waiting: new Map(), service: new Map(), created: 0, interactiveInSuccession: 0,
		};
		const busyness = random.integer(2, 8);
		for (let step = 0; step < steps; step++) {
			runStep(run, random.integer(0, 9), busyness);
		}

		while (run.queue.getLength() > 0) {
			serveNext(run);
		}

		assertInvariant(run.waiting.size === 0, 'no request is lost by the queue', {seed, lost: run.waiting.size});
		assertInvariant(run.queue.countCustomers() === 0, 'an empty queue remembers no customer', {seed});
	},
});

function runStep(run: Run, choice: number, busyness: number): void {
	if (choice < busyness) {
		addRequest(run);
	} else if (choice === 9) {
		abortRequest(run);
	} else {
		serveNext(run);
	}

	assertInvariant(run.queue.getLength() === run.waiting.size, 'the queue holds just the requests that wait', {seed: run.seed, length: run.queue.getLength(), waiting: run.waiting.size});
	assertInvariant(run.waiting.size <= limits.requests, 'the queue stays within its bound', {seed: run.seed});
}

function addRequest(run: Run): void {
	const {random, weights, queue} = run;
	// The first customer sends far more than the others.
	const index = random.integer(0, 1) === 0 ? 0 : random.integer(0, weights.length - 1);
	const request: Request = {
		id: run.created, customer: `customer-${index}`, weight: weights[index] ?? 1, class: random.integer(0, 4) === 0 ? 'bulk' : 'interactive', queuedAt: 0, deadlineAt: Infinity,
	};
	run.created += 1;
	const own = countWaiting(run, request.customer);
	const longest = Math.max(...weights.map((_, other) => countWaiting(run, `customer-${other}`)));
	const answer = queue.add(request);
	if (answer.kind === 'full') {
		const isOwnFault = own >= limits.requestsPerCustomer || own + 1 >= longest;
		assertInvariant(isOwnFault, 'a customer is refused only while no other has more requests waiting', {seed: run.seed, own, longest});
		return;
	}

	run.waiting.set(request.id, request);
	if (answer.displaced) {
		assertInvariant(answer.displaced.customer !== request.customer, 'a newcomer displaces only others', {seed: run.seed});
		forget(run, answer.displaced);
	}
}

function abortRequest(run: Run): void {
	const waiting = [...run.waiting.values()];
	const request = waiting[run.random.integer(0, Math.max(0, waiting.length - 1))];
	if (!request) {
		return;
	}

	assertInvariant(run.queue.remove(request), 'a waiting request can be removed', {seed: run.seed});
	assertInvariant(!run.queue.remove(request), 'a removed request is gone', {seed: run.seed});
	forget(run, request);
}

function serveNext(run: Run): void {
	const due = run.queue.peek();
	const request = run.queue.take();
	assertInvariant(due === request, 'the request that is due is the one taken', {seed: run.seed});
	if (!request) {
		return;
	}

	assertInvariant(run.waiting.has(request.id), 'each request is served once', {seed: run.seed, id: request.id});
	checkClasses(run, request);
	noteService(run, request);
	forget(run, request);
}

/** While both classes wait, bulk requests get their minimum and no more. */
function checkClasses(run: Run, request: Request): void {
	const isBulkWaiting = [...run.waiting.values()].some(waiting => waiting.class === 'bulk');
	run.interactiveInSuccession = request.class === 'interactive' && isBulkWaiting ? run.interactiveInSuccession + 1 : 0;
	assertInvariant(run.interactiveInSuccession < 1 / limits.bulkShare, 'bulk requests keep their minimum', {seed: run.seed, interactive: run.interactiveInSuccession});
}

/**
 * For two customers that wait throughout, the service per weight differs by at
 * most one request of each (Goyal, Vin and Cheng, theorem 1).
 */
function noteService(run: Run, request: Request): void {
	const key = getFlow(request);
	const flows = new Map([...run.waiting.values()].filter(waiting => waiting.class === request.class).map(waiting => [getFlow(waiting), waiting.weight]));
	const served = run.service.get(key) ?? {served: 0, others: new Map<string, number>()};
	run.service.set(key, served);
	served.served += 1 / request.weight;
	for (const [other, weight] of flows) {
		const rival = run.service.get(other) ?? {served: 0, others: new Map<string, number>()};
		run.service.set(other, rival);
		if (other === key) {
			continue;
		}

		const lead = (served.others.get(other) ?? 0) + (1 / request.weight);
		served.others.set(other, lead);
		rival.others.set(key, (rival.others.get(key) ?? 0) - (1 / request.weight));
		// The span may begin anywhere: a lead below nothing is forgotten.
		served.others.set(other, Math.max(0, lead));
		rival.others.set(key, Math.max(0, rival.others.get(key) ?? 0));
		const bound = (1 / request.weight) + (1 / weight);
		assertInvariant(lead <= bound + tolerance, 'no customer is served more than its share while another waits', {
			seed: run.seed, customer: key, other, lead, bound,
		});
	}
}

function forget(run: Run, request: Request): void {
	run.waiting.delete(request.id);
	const key = getFlow(request);
	const isStillWaiting = [...run.waiting.values()].some(waiting => getFlow(waiting) === key);
	if (isStillWaiting) {
		return;
	}

	// The span in which the customer waits without a gap is over.
	run.service.delete(key);
	for (const other of run.service.values()) {
		other.others.delete(key);
	}
}

function getFlow(request: Request): string {
	return `${request.customer} ${request.class}`;
}

function countWaiting(run: Run, customer: string): number {
	return [...run.waiting.values()].filter(request => request.customer === customer).length;
}
