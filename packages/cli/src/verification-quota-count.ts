/**
 * The omniscient count of the quotas' randomised run: one ideal bucket for
 * each customer over all nodes, and the requests in flight at each target.
 */
import {assertInvariant, millisecondsPerSecond} from '@catkindale/common';
import type {NodeQuotas} from '@catkindale/node';
import type {Configuration, RequestFloor} from '@catkindale/policy';

export type QuotaCount = {
	/** Notes which versions are in force on some node now; the largest limits among them count. */
	setVersions: (versions: ReadonlySet<number>) => void;
	addVersion: (version: number, configuration: Configuration) => void;
	admit: (customer: string) => void;
	start: (target: string) => void;
	finish: (target: string) => void;
	/** Checks what all nodes together could give out at this instant. */
	checkHeld: (held: readonly NodeQuotas[]) => void;
	readonly totals: {admitted: number; started: number};
};

type Bucket = {tokens: number; filledAt: number; rate: number; burst: number};

/** A lowered limit counts once no node has had an older version in force for so long. */
const lowerRateMilliseconds = 3000;
const lowerSlotsMilliseconds = 20_000;
/** Node clocks run up to 0.1 % fast. */
const clockTolerance = 1.001;
const roundingTolerance = 1e-6;

export function createQuotaCount(seed: number, now: () => number): QuotaCount {
	const configurations = new Map<number, Configuration>();
	const leftAt = new Map<number, number>();
	const buckets = new Map<string, Bucket>();
	const inFlight = new Map<string, number>();
	let targets: ReadonlySet<string> = new Set();
	const totals = {admitted: 0, started: 0};

	const getInForce = (lagMilliseconds: number): Configuration[] => [...configurations]
		.filter(([version]) => (leftAt.get(version) ?? now()) + lagMilliseconds >= now())
		.map(([, configuration]) => configuration);

	const getLimits = (): Map<string, RequestFloor> => {
		const limits = new Map<string, RequestFloor>();
		for (const {name, rate, burst} of getInForce(lowerRateMilliseconds).flatMap(configuration => configuration.customers)) {
			const known = limits.get(name) ?? {rate: 0, burst: 0};
			limits.set(name, {rate: Math.max(rate, known.rate), burst: Math.max(burst, known.burst)});
		}

		return limits;
	};

	const getSlots = (target: string): number => Math.max(0, ...getInForce(lowerSlotsMilliseconds)
		.flatMap(configuration => configuration.targets.filter(candidate => candidate.name === target).map(candidate => candidate.slots)));

	const fill = (name: string): Bucket => {
		const {rate, burst} = getLimits().get(name) ?? {rate: 0, burst: 0};
		const bucket = buckets.get(name) ?? {
			tokens: burst, filledAt: now(), rate, burst,
		};
		const grown = Math.max(rate, bucket.rate) * clockTolerance * (now() - bucket.filledAt) / millisecondsPerSecond;
		const raised = Math.max(0, burst - bucket.burst);
		const tokens = Math.min(burst, bucket.tokens + grown + raised);
		const filled = {
			tokens, filledAt: now(), rate, burst,
		};
		buckets.set(name, filled);
		return filled;
	};

	return {
		totals,
		addVersion(version, configuration) {
			configurations.set(version, configuration);
			targets = new Set(configuration.targets.map(target => target.name));
		},
		setVersions(versions) {
			for (const version of configurations.keys()) {
				if (versions.has(version)) {
					leftAt.delete(version);
				} else if (!leftAt.has(version)) {
					leftAt.set(version, now());
				}
			}

			for (const name of buckets.keys()) {
				fill(name);
			}
		},
		admit(name) {
			const bucket = fill(name);
			bucket.tokens -= 1;
			totals.admitted += 1;
			assertInvariant(bucket.tokens >= -roundingTolerance, 'requests admitted by all nodes <= burst + rate x window', {
				seed, customer: name, at: now(), excess: -bucket.tokens,
			});
		},
		start(target) {
			const count = (inFlight.get(target) ?? 0) + 1;
			const slots = getSlots(target);
			inFlight.set(target, count);
			totals.started += 1;
			assertInvariant(count <= slots, 'requests in flight at a target <= its slots', {
				seed, target, at: now(), count, slots,
			});
		},
		checkHeld(held) {
			for (const [name, {rate, burst}] of getLimits()) {
				const usable = held.map(quotas => quotas.requests.getUsable(name));
				const total = {rate: getSum(usable.map(part => part.rate)), burst: getSum(usable.map(part => part.burst))};
				assertInvariant(total.burst <= burst + roundingTolerance && total.rate <= rate + roundingTolerance, 'parts of a customer\'s quota add up to no more than the quota', {
					seed, customer: name, at: now(), burst: total.burst, burstLimit: burst, rate: total.rate, rateLimit: rate,
				});
			}

			for (const target of targets) {
				const free = getSum(held.map(quotas => quotas.slots.getFree(target)));
				const used = inFlight.get(target) ?? 0;
				assertInvariant(free === 0 || free + used <= getSlots(target), 'free slots and requests in flight <= slots', {
					seed, target, at: now(), free, used, slots: getSlots(target),
				});
			}
		},
		finish(target) {
			inFlight.set(target, (inFlight.get(target) ?? 0) - 1);
		},
	};
}

function getSum(parts: readonly number[]): number {
	return parts.reduce((total, part) => total + part, 0);
}
