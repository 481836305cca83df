/**
 * Load in simulated time: callers' requests arrive as Poisson processes, pass
 * an ideal token bucket per customer, and are served by targets whose service
 * times are exponential around a mean. The deciding code is the product's own.
 */
import {type Histogram, build} from 'hdr-histogram-js';
import {type Random, createRandom, millisecondsPerSecond} from '@catkindale/common';
import {
	type AdmissionRequest, type Attempt, type PrioritizedItem, createPriorityQueue, createTokenBucket, fillTokenBucket, takeToken,
} from '@catkindale/policy';
import {
	type SimulatedTarget, type Start, type Steering, type SteeringKind, createSteering,
} from './bench-load-baselines.js';

export type SimulatedCustomer = {
	readonly name: string;
	/** Requests per second that its callers send. */
	readonly sent: number;
	/** Requests per second that its token bucket lets in; undefined without a bucket. */
	readonly rate: number | undefined;
	/** Share of the customer in the fair queue relative to that of others. */
	readonly weight: number;
};

/** What a request meets at a target. */
export type Service = {readonly kind: Attempt['kind']; readonly milliseconds: number};

export type Scenario = {
	readonly seed: number;
	readonly seconds: number;
	readonly steering: SteeringKind;
	readonly region: string;
	readonly targets: readonly SimulatedTarget[];
	readonly customers: readonly SimulatedCustomer[];
	readonly deadlineMilliseconds: number;
	/** Draws what a request meets; `inFlight` counts the request itself. */
	readonly serve: (target: string, now: number, random: Random, inFlight: number) => Service;
	/** A target that joins at the time. */
	readonly joining?: {readonly target: SimulatedTarget; readonly at: number};
	/** What targets report of their load, every second. */
	readonly reports?: ReadonlyMap<string, number>;
};

export type CustomerResult = {
	sent: number;
	/** Let in by the bucket. */
	admitted: number;
	answered: number;
	refused: number;
	failed: number;
	readonly latency: Histogram;
};

export type TargetResult = {readonly startedAt: number[]; harmed: number};

export type SimulationResult = {
	readonly customers: Map<string, CustomerResult>;
	readonly targets: Map<string, TargetResult>;
	/** Mean slots in use. */
	readonly slotsInUse: number;
	readonly harmed: number;
};

type Request = AdmissionRequest & {readonly id: number};
type Event = PrioritizedItem & {readonly at: number; readonly run: (now: number) => void};

const secondsOfBurst = 0.5;
const microsecondsPerMillisecond = 1000;
const longestMicroseconds = 100_000_000;
const reportMilliseconds = 1000;
const noneExcluded: ReadonlySet<string> = new Set();

export function runSimulation(scenario: Scenario): SimulationResult {
	const simulation = createSimulation(scenario);
	simulation.run();
	return simulation.getResult();
}

/** Draws from an exponential distribution. */
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
	let created = 0;
	let harmed = 0;
	let busySlotMilliseconds = 0;
	let lastAt = 0;

	const schedule = (at: number, run: Event['run']): void => {
		events.add({at, run, heapPosition: -1});
	};

	const getTarget = (name: string): TargetResult => {
		const target = targets.get(name) ?? {startedAt: [], harmed: 0};
		targets.set(name, target);
		return target;
	};

	const finish = ({request, target}: Start<Request>, service: Service, now: number): void => {
		steering.finish(target, service, now);
		const customer = customers.get(request.customer);
		const isUseful = service.kind === 'answered' && now <= request.deadlineAt;
		if (customer && isUseful) {
			customer.answered += 1;
			customer.latency.recordValue(Math.round((now - request.queuedAt) * microsecondsPerMillisecond));
		} else if (customer) {
			customer.failed += 1;
			harmed += 1;
			getTarget(target).harmed += 1;
		}

		dispatch(now);
	};

	const dispatch = (now: number): void => {
		const {started, refused} = steering.next(now);
		refuse(refused);
		for (const start of started) {
			const target = getTarget(start.target);
			target.startedAt.push(now);
			const service = scenario.serve(start.target, now, random, steering.getInUse());
			schedule(now + service.milliseconds, at => {
				finish(start, service, at);
			});
		}
	};

	const refuse = (refused: readonly Request[]): void => {
		for (const {customer} of refused) {
			const result = customers.get(customer);
			if (result) {
				result.refused += 1;
			}
		}
	};

	const startCustomer = (customer: SimulatedCustomer): void => {
		const {rate} = customer;
		const burst = rate === undefined ? Infinity : Math.max(5, rate * secondsOfBurst);
		let bucket = createTokenBucket(rate ?? Infinity, burst, burst, 0);
		const result = customers.get(customer.name);
		const arrive = (now: number): void => {
			schedule(now + drawExponential(millisecondsPerSecond / customer.sent, random), arrive);
			const taken = rate === undefined ? bucket : takeToken(fillTokenBucket(bucket, now));
			bucket = taken ?? fillTokenBucket(bucket, now);
			if (!result) {
				return;
			}

			result.sent += 1;
			if (!taken) {
				return;
			}

			result.admitted += 1;
			created += 1;
			refuse(steering.offer({
				id: created, customer: customer.name, weight: customer.weight, class: 'interactive', queuedAt: now, deadlineAt: now + scenario.deadlineMilliseconds, excluded: noneExcluded,
			}, now));
			dispatch(now);
		};

		schedule(drawExponential(millisecondsPerSecond / customer.sent, random), arrive);
	};

	const startReports = (): void => {
		const report = (now: number): void => {
			for (const [target, load] of scenario.reports ?? []) {
				steering.report(target, load, now);
			}

			schedule(now + reportMilliseconds, report);
		};

		schedule(0, report);
	};

	return {
		run() {
			for (const customer of scenario.customers) {
				startCustomer(customer);
			}

			startReports();
			const {joining} = scenario;
			if (joining) {
				schedule(joining.at, now => {
					steering.add(joining.target, now);
				});
			}

			for (let event = events.peek(); event && event.at <= endsAt; event = events.peek()) {
				events.remove(event);
				busySlotMilliseconds += steering.getInUse() * (event.at - lastAt);
				lastAt = event.at;
				event.run(event.at);
			}
		},
		getResult: () => ({
			customers, targets, harmed, slotsInUse: busySlotMilliseconds / Math.max(1, lastAt),
		}),
	};
}

function createCustomerResult(): CustomerResult {
	return {
		sent: 0,
		admitted: 0,
		answered: 0,
		refused: 0,
		failed: 0,
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: longestMicroseconds, numberOfSignificantValueDigits: 3}),
	};
}
