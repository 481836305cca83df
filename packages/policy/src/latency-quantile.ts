/**
 * Estimates quantiles of recent latencies in constant memory. The latencies are
 * counted in logarithmic buckets, and all counts are halved after a number of
 * records, so that old ones lose weight.
 */

export type LatencyCounts = {
	readonly counts: readonly number[];
	/** Number of latencies recorded since the counts were last halved. */
	readonly records: number;
};

const bucketRatio = 1.2;
const minimumMilliseconds = 0.1;
const bucketCount = 80;
const recordsUntilHalving = 1000;
const minimumRecords = 50;

export function createLatencyCounts(): LatencyCounts {
	return {counts: Array.from({length: bucketCount}, () => 0), records: 0};
}

export function updateLatencyCounts({counts, records}: LatencyCounts, milliseconds: number): LatencyCounts {
	const isFull = records + 1 >= recordsUntilHalving;
	const bucket = getBucket(milliseconds);
	const next = isFull ? counts.map(count => count / 2) : [...counts];
	next[bucket] = (next[bucket] ?? 0) + 1;
	return {counts: next, records: isFull ? 0 : records + 1};
}

/** Returns the upper bound in milliseconds of the bucket that contains the quantile, or undefined with too few records. */
export function getLatencyQuantile({counts}: LatencyCounts, quantile: number): number | undefined {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	if (total < minimumRecords) {
		return undefined;
	}

	let cumulative = 0;
	const bucket = counts.findIndex(count => {
		cumulative += count;
		return cumulative >= total * quantile;
	});
	return minimumMilliseconds * (bucketRatio ** (bucket + 1));
}

function getBucket(milliseconds: number): number {
	const bucket = Math.floor(Math.log(Math.max(milliseconds, minimumMilliseconds) / minimumMilliseconds) / Math.log(bucketRatio));
	return Math.min(bucketCount - 1, bucket);
}
