/** Reference token buckets, one for each name, as if a single process admitted for all nodes. */
import {millisecondsPerSecond} from '@catkindale/common';
import type {TokenAllocation} from '@catkindale/policy';

export type IdealBuckets = {
	/** Takes tokens and returns the remaining ones; a negative result means that the nodes together exceeded the limit. */
	take: (name: string, tokens: number) => number;
	/** Fills all buckets up to now; called when the limits change. */
	fillAll: () => void;
};

type Bucket = {tokens: number; filledAt: number; rate: number; burst: number};

/** The simulated node clocks run up to 0.1 % fast. */
const clockTolerance = 1.001;

export function createIdealBuckets(getLimits: () => ReadonlyMap<string, TokenAllocation>, now: () => number): IdealBuckets {
	const buckets = new Map<string, Bucket>();

	const fill = (name: string): Bucket => {
		const {rate, burst} = getLimits().get(name) ?? {rate: 0, burst: 0};
		const bucket = buckets.get(name) ?? {
			tokens: burst, filledAt: now(), rate, burst,
		};
		const refilled = Math.max(rate, bucket.rate) * clockTolerance * (now() - bucket.filledAt) / millisecondsPerSecond;
		const burstIncrease = Math.max(0, burst - bucket.burst);
		const tokens = Math.min(burst, bucket.tokens + refilled + burstIncrease);
		const filled = {
			tokens, filledAt: now(), rate, burst,
		};
		buckets.set(name, filled);
		return filled;
	};

	return {
		take(name, tokens) {
			const bucket = fill(name);
			bucket.tokens -= tokens;
			return bucket.tokens;
		},
		fillAll() {
			for (const name of buckets.keys()) {
				fill(name);
			}
		},
	};
}
