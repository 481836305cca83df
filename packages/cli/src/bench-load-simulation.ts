/**
 * Discrete-event simulation of load. Requests arrive as Poisson processes, pass
 * an ideal token bucket per customer, and are served by targets with
 * exponentially distributed service times. The product's own code or a baseline
 * decides when and where they run.
 */
import {type Histogram, build} from 'hdr-histogram-js';
import {type Random, createRandom, millisecondsPerSecond} from '@catkindale/common';
import {
	type AdmissionRequest, type Attempt, type PrioritizedItem, createPriorityQueue, createTokenBucket, fillTokenBucket, takeToken,
} from '@catkindale/policy';
import {
	type RequestStart, type SimulatedTarget, type Steering, type SteeringKind, createSteering,
} from './bench-load-baselines.js';

export type SimulatedCustomer = {
	readonly name: string;
	/** Requests per second that the customer's callers send. */
	readonly arrivalRate: number;
	/** Requests per second that its token bucket admits; undefined without a bucket. */
	readonly rateLimit: number | undefined;
	/** Weight in the fair queue, relative to other customers. */
	readonly weight: number;
};

/** How a target serves a request, and for how long. */
export type ServiceOutcome = {readonly kind: Attempt['kind']; readonly milliseconds: number};

export type Scenario = {
	readonly seed: number;
	readonly seconds: number;
	readonly steering: SteeringKind;
	readonly region: string;
	readonly targets: readonly SimulatedTarget[];
	readonly customers: readonly SimulatedCustomer[];
	readonly deadlineMilliseconds: number;
	/** Draws how the target serves a request; `inFlight` counts the requests at all targets, including this one. */
	readonly serve: (target: string, now: number, random: Random, inFlight: number) => ServiceOutcome;
	/** A target that joins at the given time. */
	readonly join?: {readonly target: SimulatedTarget; readonly at: number};
	/** The loads that targets report every second, by name. */
	readonly reportedLoads?: ReadonlyMap<string, number>;
};

export type CustomerResult = {
	sent: number;
	/** Admitted by the token bucket. */
	admitted: number;
	/** Served within the deadline. */
	succeeded: number;
	/** Refused by the queue after admission. */
	refused: number;
	/** Started at a target but not served within the deadline. */
	failed: number;
	/** Latency of the successful requests in microseconds. */
	readonly latency: Histogram;
};

export type TargetResult = {readonly startedAt: number[]; failed: number};

export type SimulationResult = {
	readonly customers: Map<string, CustomerResult>;
	readonly targets: Map<string, TargetResult>;
	/** Mean number of slots in use. */
	readonly slotsInUse: number;
	readonly failed: number;
};

type Request = AdmissionRequest & {readonly id: number};
type Event = PrioritizedItem & {readonly at: number; readonly run: (now: number) => void};

const burstSeconds = 0.5;
const microsecondsPerMillisecond = 1000;
const maximumLatencyMicroseconds = 100_000_000;
const reportIntervalMilliseconds = 1000;
const noneExcluded: ReadonlySet<string> = new Set();

export function runSimulation(scenario: Scenario): SimulationResult {
	const simulation = createSimulation(scenario);
	simulation.run();
	return simulation.getResult();
}

/** Draws from an exponential distribution with the given mean. */
export function drawExponential(mean: number, random: Random): number {
	return -mean * Math.log(1 - random.fraction());
}

function createSimulation(scenario: Scenario): {run: () => void; getResult: () => SimulationResult} {
	const random = createRandom(scenario.seed);
	const steering: Steering<Request> = createSteering(scenario.steering, scenario.targets, scenario.region, createRandom(scenario.seed + 1));
	const events = createPriorityQueue<Event>((left, right) => left.at < right.at);
	const endsAt = scenario.seconds * millisecondsPerSecond;
	const customers = new Map(scenario.customers.map(customer => [customer.name, createCustomerResult()]));
	const targets = new Map<string, TargetResult>();
	let createdRequests = 0;
	let failed = 0;
	let busySlotMilliseconds = 0;
	let lastEventAt = 0;

	const schedule = (at: number, run: Event['run']): void => {
		events.add({at, run, heapPosition: -1});
	};

	const getTarget = (name: string): TargetResult => {
		const target = targets.get(name) ?? {startedAt: [], failed: 0};
		targets.set(name, target);
		return target;
	};

	const finish = ({request, target}: RequestStart<Request>, outcome: ServiceOutcome, now: number): void => {
		steering.finish(target, outcome, now);
		const customer = customers.get(request.customer);
		const isSuccess = outcome.kind === 'answered' && now <= request.deadlineAt;
		if (customer && isSuccess) {
			customer.succeeded += 1;
			customer.latency.recordValue(Math.round((now - request.queuedAt) * microsecondsPerMillisecond));
		} else if (customer) {
			customer.failed += 1;
			failed += 1;
			getTarget(target).failed += 1;
		}

		dispatch(now);
	};

	const dispatch = (now: number): void => {
		const {started, refused} = steering.next(now);
		countRefused(refused);
		for (const requestStart of started) {
			const target = getTarget(requestStart.target);
			target.startedAt.push(now);
			const outcome = scenario.serve(requestStart.target, now, random, steering.getInUse());
			schedule(now + outcome.milliseconds, at => {
				finish(requestStart, outcome, at);
			});
		}
	};

	const countRefused = (refused: readonly Request[]): void => {
		for (const {customer} of refused) {
			const result = customers.get(customer);
			if (result) {
				result.refused += 1;
			}
		}
	};

	const startCustomer = (customer: SimulatedCustomer): void => {
		const {rateLimit} = customer;
		const burst = rateLimit === undefined ? Infinity : Math.max(5, rateLimit * burstSeconds);
		let bucket = createTokenBucket(rateLimit ?? Infinity, burst, burst, 0);
		const result = customers.get(customer.name);
		const arrive = (now: number): void => {
			schedule(now + drawExponential(millisecondsPerSecond / customer.arrivalRate, random), arrive);
			const bucketAfterTake = rateLimit === undefined ? bucket : takeToken(fillTokenBucket(bucket, now));
			bucket = bucketAfterTake ?? fillTokenBucket(bucket, now);
			if (!result) {
				return;
			}

			result.sent += 1;
			if (!bucketAfterTake) {
				return;
			}

			result.admitted += 1;
			createdRequests += 1;
			countRefused(steering.offer({
				id: createdRequests, customer: customer.name, weight: customer.weight, class: 'interactive', queuedAt: now, deadlineAt: now + scenario.deadlineMilliseconds, excluded: noneExcluded,
			}, now));
			dispatch(now);
		};

		schedule(drawExponential(millisecondsPerSecond / customer.arrivalRate, random), arrive);
	};

	const startReports = (): void => {
		const report = (now: number): void => {
			for (const [target, load] of scenario.reportedLoads ?? []) {
				steering.recordReport(target, load, now);
			}

			schedule(now + reportIntervalMilliseconds, report);
		};

		schedule(0, report);
	};

	return {
		run() {
			for (const customer of scenario.customers) {
				startCustomer(customer);
			}

			startReports();
			const {join} = scenario;
			if (join) {
				schedule(join.at, now => {
					steering.addTarget(join.target, now);
				});
			}

			for (let event = events.peek(); event && event.at <= endsAt; event = events.peek()) {
				events.remove(event);
				busySlotMilliseconds += steering.getInUse() * (event.at - lastEventAt);
				lastEventAt = event.at;
				event.run(event.at);
			}
		},
		getResult: () => ({
			customers, targets, failed, slotsInUse: busySlotMilliseconds / Math.max(1, lastEventAt),
		}),
	};
}

function createCustomerResult(): CustomerResult {
	return {
		sent: 0,
		admitted: 0,
		succeeded: 0,
		refused: 0,
		failed: 0,
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: maximumLatencyMicroseconds, numberOfSignificantValueDigits: 3}),
	};
}
