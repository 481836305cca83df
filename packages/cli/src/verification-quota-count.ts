/**
 * The omniscient count of the quotas' randomised run: one ideal bucket for
 * each customer and each link over all nodes, and the requests in flight at
 * each target.
 */
import {assertInvariant} from '@catkindale/common';
import type {NodeQuotas} from '@catkindale/node';
import {
	type Configuration, type TokenAllocation, getLinkBurst, getLinkName,
} from '@catkindale/policy';
import {createIdealBuckets} from './verification-ideal-buckets.js';

export type QuotaCount = {
	/** Notes which versions are in force on some node now; the largest limits among them count. */
	setVersions: (versions: ReadonlySet<number>) => void;
	addVersion: (version: number, configuration: Configuration) => void;
	admit: (customer: string) => void;
	/** Bytes cross the link. */
	cross: (link: string, bytes: number) => void;
	start: (target: string) => void;
	finish: (target: string) => void;
	/** Checks what all nodes together could give out at this instant. */
	checkHeld: (held: readonly NodeQuotas[]) => void;
	readonly totals: {admitted: number; started: number; crossed: number};
};

/** A lowered limit counts once no node has had an older version in force for so long. */
const lowerRateMilliseconds = 3000;
const lowerSlotsMilliseconds = 20_000;
const roundingTolerance = 1e-6;

export function createQuotaCount(seed: number, now: () => number): QuotaCount {
	const configurations = new Map<number, Configuration>();
	const leftAt = new Map<number, number>();
	const inFlight = new Map<string, number>();
	let targets: ReadonlySet<string> = new Set();
	const totals = {admitted: 0, started: 0, crossed: 0};

	const getInForce = (lagMilliseconds: number): Configuration[] => [...configurations]
		.filter(([version]) => (leftAt.get(version) ?? now()) + lagMilliseconds >= now())
		.map(([, configuration]) => configuration);

	const getLimits = (): Map<string, TokenAllocation> => {
		const limits = new Map<string, TokenAllocation>();
		for (const {name, rate, burst} of getInForce(lowerRateMilliseconds).flatMap(configuration => configuration.customers)) {
			const known = limits.get(name) ?? {rate: 0, burst: 0};
			limits.set(name, {rate: Math.max(rate, known.rate), burst: Math.max(burst, known.burst)});
		}

		return limits;
	};

	const getSlots = (target: string): number => Math.max(0, ...getInForce(lowerSlotsMilliseconds)
		.flatMap(configuration => configuration.targets.filter(candidate => candidate.name === target).map(candidate => candidate.slots)));

	/** Bytes that were reserved under a higher limit still cross as long as a request may last. */
	const getLinkLimits = (): Map<string, TokenAllocation> => {
		const limits = new Map<string, TokenAllocation>();
		for (const link of getInForce(lowerSlotsMilliseconds).flatMap(configuration => configuration.links)) {
			const known = limits.get(getLinkName(link)) ?? {rate: 0, burst: 0};
			limits.set(getLinkName(link), {rate: Math.max(link.bytesPerSecond, known.rate), burst: Math.max(getLinkBurst(link), known.burst)});
		}

		return limits;
	};

	const buckets = createIdealBuckets(getLimits, now);
	const linkBuckets = createIdealBuckets(getLinkLimits, now);

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

			buckets.fillAll();
			linkBuckets.fillAll();
		},
		admit(name) {
			const left = buckets.take(name, 1);
			totals.admitted += 1;
			assertInvariant(left >= -roundingTolerance, 'requests admitted by all nodes <= burst + rate x window', {
				seed, customer: name, at: now(), excess: -left,
			});
		},
		cross(link, bytes) {
			const left = linkBuckets.take(link, bytes);
			totals.crossed += bytes;
			assertInvariant(left >= -roundingTolerance, 'bytes that cross a link <= burst + rate x window', {
				seed, link, at: now(), excess: -left,
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
				const usable = held.map(quotas => quotas.requests.getUsableQuota(name));
				const total = {rate: getSum(usable.map(part => part.rate)), burst: getSum(usable.map(part => part.burst))};
				assertInvariant(total.burst <= burst + roundingTolerance && total.rate <= rate + roundingTolerance, 'parts of a customer\'s quota add up to no more than the quota', {
					seed, customer: name, at: now(), burst: total.burst, burstLimit: burst, rate: total.rate, rateLimit: rate,
				});
			}

			for (const [name, {rate, burst}] of getLinkLimits()) {
				const usable = held.map(quotas => quotas.links.getUsableAllocation(name));
				const total = {rate: getSum(usable.map(part => part.rate)), burst: getSum(usable.map(part => part.burst))};
				assertInvariant(total.burst <= burst + roundingTolerance && total.rate <= rate + roundingTolerance, 'parts of a link\'s quota add up to no more than the quota', {
					seed, link: name, at: now(), burst: total.burst, burstLimit: burst, rate: total.rate, rateLimit: rate,
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
