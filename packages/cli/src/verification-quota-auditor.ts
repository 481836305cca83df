/**
 * Checks the simulated fleet against its limits, with a view of all nodes at
 * once: a reference token bucket for each customer and each link, and the
 * requests in flight at each target.
 */
import {assertInvariant} from '@catkindale/common';
import type {NodeQuotas} from '@catkindale/node';
import {
	type Configuration, type TokenAllocation, getLinkBurst, getLinkName,
} from '@catkindale/policy';
import {createIdealBuckets} from './verification-ideal-buckets.js';

export type QuotaAuditor = {
	/** Sets the versions that are active on at least one node; the largest limits among them apply. */
	setActiveVersions: (versions: ReadonlySet<number>) => void;
	addVersion: (version: number, configuration: Configuration) => void;
	recordAdmission: (customer: string) => void;
	/** Counts bytes that crossed the link. */
	recordTransfer: (link: string, bytes: number) => void;
	recordStart: (target: string) => void;
	recordFinish: (target: string) => void;
	/** Checks that what all nodes together could admit at this instant is within the limits. */
	checkQuotas: (nodeQuotas: readonly NodeQuotas[]) => void;
	readonly totals: {admitted: number; started: number; crossed: number};
};

/** A reduced limit applies once no node has used an older version of the configuration for this time. */
const rateReductionMilliseconds = 3000;
const slotReductionMilliseconds = 20_000;
const roundingTolerance = 1e-6;

export function createQuotaAuditor(seed: number, now: () => number): QuotaAuditor {
	const configurations = new Map<number, Configuration>();
	const inactiveSince = new Map<number, number>();
	const inFlight = new Map<string, number>();
	let targets: ReadonlySet<string> = new Set();
	const totals = {admitted: 0, started: 0, crossed: 0};

	const getActiveConfigurations = (lagMilliseconds: number): Configuration[] => [...configurations]
		.filter(([version]) => (inactiveSince.get(version) ?? now()) + lagMilliseconds >= now())
		.map(([, configuration]) => configuration);

	const getLimits = (): Map<string, TokenAllocation> => {
		const limits = new Map<string, TokenAllocation>();
		for (const {name, rate, burst} of getActiveConfigurations(rateReductionMilliseconds).flatMap(configuration => configuration.customers)) {
			const limit = limits.get(name) ?? {rate: 0, burst: 0};
			limits.set(name, {rate: Math.max(rate, limit.rate), burst: Math.max(burst, limit.burst)});
		}

		return limits;
	};

	const getSlots = (target: string): number => Math.max(0, ...getActiveConfigurations(slotReductionMilliseconds)
		.flatMap(configuration => configuration.targets.filter(candidate => candidate.name === target).map(candidate => candidate.slots)));

	/** Bytes reserved under a higher limit may still cross for the maximum duration of a request. */
	const getLinkLimits = (): Map<string, TokenAllocation> => {
		const limits = new Map<string, TokenAllocation>();
		for (const link of getActiveConfigurations(slotReductionMilliseconds).flatMap(configuration => configuration.links)) {
			const limit = limits.get(getLinkName(link)) ?? {rate: 0, burst: 0};
			limits.set(getLinkName(link), {rate: Math.max(link.bytesPerSecond, limit.rate), burst: Math.max(getLinkBurst(link), limit.burst)});
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
		setActiveVersions(versions) {
			for (const version of configurations.keys()) {
				if (versions.has(version)) {
					inactiveSince.delete(version);
				} else if (!inactiveSince.has(version)) {
					inactiveSince.set(version, now());
				}
			}

			buckets.fillAll();
			linkBuckets.fillAll();
		},
		recordAdmission(name) {
			const remaining = buckets.take(name, 1);
			totals.admitted += 1;
			assertInvariant(remaining >= -roundingTolerance, 'requests admitted by all nodes <= burst + rate x window', {
				seed, customer: name, at: now(), excess: -remaining,
			});
		},
		recordTransfer(link, bytes) {
			const remaining = linkBuckets.take(link, bytes);
			totals.crossed += bytes;
			assertInvariant(remaining >= -roundingTolerance, 'bytes that cross a link <= burst + rate x window', {
				seed, link, at: now(), excess: -remaining,
			});
		},
		recordStart(target) {
			const count = (inFlight.get(target) ?? 0) + 1;
			const slots = getSlots(target);
			inFlight.set(target, count);
			totals.started += 1;
			assertInvariant(count <= slots, 'requests in flight at a target <= its slots', {
				seed, target, at: now(), count, slots,
			});
		},
		checkQuotas(nodeQuotas) {
			for (const [name, {rate, burst}] of getLimits()) {
				const usable = nodeQuotas.map(quotas => quotas.requests.getUsableQuota(name));
				const total = {rate: getSum(usable.map(allocation => allocation.rate)), burst: getSum(usable.map(allocation => allocation.burst))};
				assertInvariant(total.burst <= burst + roundingTolerance && total.rate <= rate + roundingTolerance, 'allocations of a customer\'s quota add up to no more than the quota', {
					seed, customer: name, at: now(), burst: total.burst, burstLimit: burst, rate: total.rate, rateLimit: rate,
				});
			}

			for (const [name, {rate, burst}] of getLinkLimits()) {
				const usable = nodeQuotas.map(quotas => quotas.links.getUsableAllocation(name));
				const total = {rate: getSum(usable.map(allocation => allocation.rate)), burst: getSum(usable.map(allocation => allocation.burst))};
				assertInvariant(total.burst <= burst + roundingTolerance && total.rate <= rate + roundingTolerance, 'allocations of a link\'s quota add up to no more than the quota', {
					seed, link: name, at: now(), burst: total.burst, burstLimit: burst, rate: total.rate, rateLimit: rate,
				});
			}

			for (const target of targets) {
				const free = getSum(nodeQuotas.map(quotas => quotas.slots.getFree(target)));
				const inUse = inFlight.get(target) ?? 0;
				assertInvariant(free === 0 || free + inUse <= getSlots(target), 'free slots and requests in flight <= slots', {
					seed, target, at: now(), free, inUse, slots: getSlots(target),
				});
			}
		},
		recordFinish(target) {
			inFlight.set(target, (inFlight.get(target) ?? 0) - 1);
		},
	};
}

function getSum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
