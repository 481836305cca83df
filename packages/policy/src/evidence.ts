/**
 * Evidence that compares a new version with the old one: cumulative counts per
 * route. Since the counts only grow, a lost, repeated or late report does no
 * harm.
 */
import * as z from 'zod';

const firstBoundMilliseconds = 1;
const boundFactor = 1.4;
const boundCount = 32;

/** Upper bounds of the latency buckets in milliseconds; one more bucket, the last, has no bound. */
export const latencyBounds: readonly number[] = Array.from({length: boundCount}, (_, index) => firstBoundMilliseconds * (boundFactor ** index));

export const evidenceCountsSchema = z.object({
	requests: z.number(),
	/** Requests that failed, were shed, were lost or were not sent. */
	failures: z.number(),
	/** Responses per latency bucket, without those of cold instances. */
	latencies: z.array(z.number()).length(boundCount + 1),
});

export const routeEvidenceSchema = z.object({
	route: z.string(),
	from: evidenceCountsSchema,
	to: evidenceCountsSchema,
});

export type EvidenceCounts = z.infer<typeof evidenceCountsSchema>;
export type RouteEvidence = z.infer<typeof routeEvidenceSchema>;

export function createEvidenceCounts(): EvidenceCounts {
	return {requests: 0, failures: 0, latencies: [...latencyBounds.map(() => 0), 0]};
}

export function getLatencyBucket(milliseconds: number): number {
	if (milliseconds <= firstBoundMilliseconds) {
		return 0;
	}

	return Math.min(boundCount, Math.ceil(Math.log(milliseconds / firstBoundMilliseconds) / Math.log(boundFactor)));
}

/** Returns `left + factor * right`. */
export function addEvidenceCounts(left: EvidenceCounts, right: EvidenceCounts, factor = 1): EvidenceCounts {
	return {
		requests: left.requests + (factor * right.requests),
		failures: left.failures + (factor * right.failures),
		latencies: left.latencies.map((count, bucket) => count + (factor * (right.latencies[bucket] ?? 0))),
	};
}

/** Multiplies all counts by a factor, so that old ones weigh less. */
export function scaleEvidenceCounts(counts: EvidenceCounts, factor: number): EvidenceCounts {
	return {requests: counts.requests * factor, failures: counts.failures * factor, latencies: counts.latencies.map(count => count * factor)};
}

/** Counts the responses that took longer than the upper bound of the bucket. */
export function countSlower(counts: EvidenceCounts, bucket: number): number {
	let slower = 0;
	for (let index = bucket + 1; index < counts.latencies.length; index++) {
		slower += counts.latencies[index] ?? 0;
	}

	return slower;
}

export function countResponses(counts: EvidenceCounts): number {
	return countSlower(counts, -1);
}
