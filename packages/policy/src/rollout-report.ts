/**
 * Reports on a rollout that nodes send to each other, and the state of those
 * received. A report contains the newest row and cumulative counts, so that each
 * one makes up for all lost reports before it.
 */
import * as z from 'zod';
import {
	type RouteEvidence, addEvidenceCounts, createEvidenceCounts, routeEvidenceSchema,
} from './evidence.js';
import {rolloutRowSchema} from './rollout-row.js';

export const rolloutHaltSchema = z.object({
	attempt: z.int(),
	/** A halt by evidence reverts the rollout; a halt by an operator may be resumed. */
	by: z.enum(['evidence', 'operator']),
	reason: z.string(),
});

export const rolloutReportSchema = z.object({
	rollout: z.string(),
	incarnation: z.string(),
	/** Increases with each report of the incarnation. */
	sequence: z.int(),
	row: rolloutRowSchema.optional(),
	/** Version of the row in the table; 0 while no row is known. */
	rowVersion: z.int(),
	/** The newest halt known to the sender. */
	halt: rolloutHaltSchema.optional(),
	/** Cumulative counts since the incarnation began to follow the rollout. */
	evidence: z.array(routeEvidenceSchema),
});

export type RolloutHalt = z.infer<typeof rolloutHaltSchema>;
export type RolloutReport = z.infer<typeof rolloutReportSchema>;

/** The last report of a member; `receivedAt` is in monotonic milliseconds. */
export type ReceivedReport = {
	readonly report: RolloutReport;
	readonly receivedAt: number;
	/** Earlier incarnations, whose reports may still arrive late. */
	readonly retiredIncarnations: readonly string[];
};

/** Returns whether the report is newer than the last one of the same member. */
export function isNewerReport(report: RolloutReport, last: ReceivedReport | undefined): boolean {
	if (last?.retiredIncarnations.includes(report.incarnation)) {
		return false;
	}

	return last?.report.incarnation !== report.incarnation || report.sequence > last.report.sequence;
}

/** Returns the evidence by which the later counts exceed the earlier ones. */
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

/** Returns the sum of both lists, by route. */
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

/** Returns the sum of the evidence of all routes, with the given route name. */
export function sumEvidence(route: string, evidence: readonly RouteEvidence[]): RouteEvidence {
	let sum: RouteEvidence = {route, from: createEvidenceCounts(), to: createEvidenceCounts()};
	for (const {from, to} of evidence) {
		sum = {route, from: addEvidenceCounts(sum.from, from), to: addEvidenceCounts(sum.to, to)};
	}

	return sum;
}
