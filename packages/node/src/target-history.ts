/**
 * The removals of targets in the last revisions, so that a peer with an earlier
 * revision of the registrations can be sent the changes alone.
 */
import type {SourceRevision} from '@catkindale/policy';
import type {RegisteredTargets, TargetChanges} from '@catkindale/protocol';

export type TargetHistory = {
	/** Records the change from one revision to the next one. */
	record: (previous: RegisteredTargets | undefined, next: RegisteredTargets) => void;
	/** Returns the changes after the revision; undefined if the history doesn't reach back to it. */
	getChanges: (current: RegisteredTargets, after: SourceRevision) => TargetChanges | undefined;
};

const maximumRemovals = 1000;

export function createTargetHistory(): TargetHistory {
	/** Identifiers with the revision by which they were removed, oldest first. */
	let removals: Array<{readonly id: string; readonly revision: number}> = [];
	/** The first revision after which all removals are known. */
	let completeSince = Number.POSITIVE_INFINITY;

	return {
		record(previous, next) {
			if (previous?.era !== next.era) {
				removals = [];
				completeSince = next.revision;
				return;
			}

			const present = new Set(next.targets.map(({id}) => id));
			for (const {id} of previous.targets) {
				if (!present.has(id)) {
					removals.push({id, revision: next.revision});
				}
			}

			const dropped = removals.slice(0, -maximumRemovals);
			completeSince = Math.max(completeSince, dropped.at(-1)?.revision ?? completeSince);
			removals = removals.slice(-maximumRemovals);
		},
		getChanges({era, revision, targets}, {era: afterEra, revision: after}) {
			return afterEra !== era || after < completeSince
				? undefined
				: {
					era, after, revision, changed: targets.filter(target => target.revision > after), removed: removals.filter(removal => removal.revision > after).map(({id}) => id),
				};
		},
	};
}
