/**
 * The order of the states of a traffic source. A source that comes back from a
 * copy of its rows gives revisions out again and raises its era, so that only both
 * together order its states.
 */
import * as z from 'zod';

export const sourceRevisionFields = {
	/** Rises each time the source comes back from a copy; 0 for a source, or a node of an older build, that names none. */
	era: z.int().min(0).default(0),
	/** Increases with each change within an era. */
	revision: z.int(),
};

export type SourceRevision = {readonly era: number; readonly revision: number};

export const noRevision: SourceRevision = {era: 0, revision: 0};

export function isLaterRevision(left: SourceRevision, right: SourceRevision): boolean {
	return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}

export function isSameRevision(left: SourceRevision, right: SourceRevision): boolean {
	return left.era === right.era && left.revision === right.revision;
}
