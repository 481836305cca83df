/**
 * What a node tells the others about a rollout, and the account of what the
 * others told. Reports carry the last known row and counts that only grow, so
 * that each one makes up for all that were lost before it.
 */
import * as z from 'zod';
import {
	type RouteEvidence, addEvidenceCounts, createEvidenceCounts, routeEvidenceSchema,
} from './evidence.js';
import {rolloutRowSchema} from './rollout-row.js';

export const rolloutHaltSchema = z.object({
	attempt: z.int(),
	/** Evidence takes the rollout back; an operator's halt may be resumed. */
	by: z.enum(['evidence', 'operator']),
	reason: z.string(),
});

export const rolloutReportSchema = z.object({
	rollout: z.string(),
	incarnation: z.string(),
	/** Rises with each report of the incarnation. */
	sequence: z.int(),
	row: rolloutRowSchema.optional(),
	/** The table's version of the row; 0 while none is known. */
	rowVersion: z.int(),
	/** The newest halt that the sender knows. */
	halt: rolloutHaltSchema.optional(),
	/** Counts since the incarnation began to follow the rollout. */
	evidence: z.array(routeEvidenceSchema),
});

export type RolloutHalt = z.infer<typeof rolloutHaltSchema>;
export type RolloutReport = z.infer<typeof rolloutReportSchema>;

/** The last report of a member and when it came, in monotonic milliseconds. */
export type ReceivedReport = {
	readonly report: RolloutReport;
	readonly receivedAt: number;
	/** Earlier incarnations, whose reports may still come late. */
	readonly retiredIncarnations: readonly string[];
};

/** Whether the report is news beside the last one of the same member. */
export function isNewerReport(report: RolloutReport, last: ReceivedReport | undefined): boolean {
	if (last?.retiredIncarnations.includes(report.incarnation)) {
		return false;
	}

	return last?.report.incarnation !== report.incarnation || report.sequence > last.report.sequence;
}

/** The evidence that the later counts add to the earlier ones. */
export function getEvidenceDifference(later: readonly RouteEvidence[], earlier: readonly RouteEvidence[]): RouteEvidence[] {
	const known = new Map(earlier.map(evidence => [evidence.route, evidence]));
	return later.map(evidence => {
		const before = known.get(evidence.route);
		return before
			? {
				route: evidence.route,
				from: addEvidenceCounts(evidence.from, before.from, -1),
				to: addEvidenceCounts(evidence.to, before.to, -1),
			}
			: evidence;
	});
}

/** Adds up evidence by route. */
export function mergeEvidence(left: readonly RouteEvidence[], right: readonly RouteEvidence[]): RouteEvidence[] {
	const merged = new Map(left.map(evidence => [evidence.route, evidence]));
	for (const evidence of right) {
		const known = merged.get(evidence.route);
		merged.set(evidence.route, known
			? {
				route: evidence.route,
				from: addEvidenceCounts(known.from, evidence.from),
				to: addEvidenceCounts(known.to, evidence.to),
			}
			: evidence);
	}

	return [...merged.values()];
}

/** The evidence of all routes together, under the given name. */
export function sumEvidence(route: string, evidence: readonly RouteEvidence[]): RouteEvidence {
	let sum: RouteEvidence = {route, from: createEvidenceCounts(), to: createEvidenceCounts()};
	for (const {from, to} of evidence) {
		sum = {route, from: addEvidenceCounts(sum.from, from), to: addEvidenceCounts(sum.to, to)};
	}

	return sum;
}
