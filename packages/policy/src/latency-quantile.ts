/**
 * A quantile of recent latencies in fixed memory: counts in buckets of equal
 * ratio, all halved after a number of records, so that old ones fade.
 */

export type LatencyCounts = {
	readonly counts: readonly number[];
	/** Records since the counts were last halved. */
	readonly records: number;
};

const bucketRatio = 1.2;
const smallestMilliseconds = 0.1;
const bucketCount = 80;
const recordsUntilHalving = 1000;
const fewestRecords = 50;

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

/** The upper bound of the quantile's bucket in milliseconds; undefined while too few are known. */
export function getLatencyQuantile({counts}: LatencyCounts, quantile: number): number | undefined {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	if (total < fewestRecords) {
		return undefined;
	}

	let seen = 0;
	const bucket = counts.findIndex(count => {
		seen += count;
		return seen >= total * quantile;
	});
	return smallestMilliseconds * (bucketRatio ** (bucket + 1));
}

function getBucket(milliseconds: number): number {
	const bucket = Math.floor(Math.log(Math.max(milliseconds, smallestMilliseconds) / smallestMilliseconds) / Math.log(bucketRatio));
	return Math.min(bucketCount - 1, bucket);
}
