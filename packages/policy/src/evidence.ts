/**
 * Evidence on a new version beside the old one: counts per route that only
 * grow, so that a lost, repeated or late report does no harm.
 */
import * as z from 'zod';

const firstBoundMilliseconds = 1;
const boundFactor = 1.4;
const boundCount = 32;

/** Upper bounds of the latency buckets in milliseconds; a last bucket has no bound. */
export const latencyBounds: readonly number[] = Array.from({length: boundCount}, (_, index) => firstBoundMilliseconds * (boundFactor ** index));

export const evidenceCountsSchema = z.object({
	requests: z.number(),
	/** Failed, shed, lost and not sent. */
	failures: z.number(),
	/** Answers by latency bucket, from instances that aren't cold. */
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

/** Adds `factor` times the second counts to the first. */
export function addEvidenceCounts(left: EvidenceCounts, right: EvidenceCounts, factor = 1): EvidenceCounts {
	return {
		requests: left.requests + (factor * right.requests),
		failures: left.failures + (factor * right.failures),
		latencies: left.latencies.map((count, bucket) => count + (factor * (right.latencies[bucket] ?? 0))),
	};
}

/** Multiplies all counts, so that old ones weigh less. */
export function scaleEvidenceCounts(counts: EvidenceCounts, factor: number): EvidenceCounts {
	return {requests: counts.requests * factor, failures: counts.failures * factor, latencies: counts.latencies.map(count => count * factor)};
}

/** How many of the answers took longer than the bound of the bucket. */
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
