/**
 * Decides which list of VMs to rely on when fencing members. The platform's
 * list lags and may be wrong. An incomplete list, which lacks many of the live
 * members at once, is accepted only after lists have been incomplete for some
 * time, and an empty list never. Until then the last accepted list is kept.
 */

export type MachineListView = {
	/** The identifiers of the accepted list; undefined until one is accepted. */
	readonly accepted: ReadonlySet<string> | undefined;
	/** Monotonic time since which every list read has been incomplete. */
	readonly incompleteSince: number | undefined;
	/** Monotonic time at which the latest list was read. */
	readonly readAt: number;
};

export type MachineListReading = {
	readonly listed: ReadonlySet<string>;
	/** The identifiers of the live members of the ledger. */
	readonly members: readonly string[];
	readonly now: number;
	/** How long the lists read must have been incomplete before one is accepted. */
	readonly incompleteListMilliseconds: number;
};

/** A list that lacks more than this fraction of the live members is incomplete. */
const maximumMissingFraction = 0.5;
/** A list may lack a single VM in a fleet of any size, also of one or two. */
const alwaysToleratedMissing = 1;
/** After a longer gap between two reads the time of incomplete lists starts again. */
const maximumGapMilliseconds = 5000;

export const emptyMachineListView: MachineListView = {accepted: undefined, incompleteSince: undefined, readAt: Number.NEGATIVE_INFINITY};

/** The view after a list has been read. */
export function updateMachineList(view: MachineListView, reading: MachineListReading): MachineListView {
	const {listed, now} = reading;
	if (!isIncomplete(reading)) {
		return {accepted: listed, incompleteSince: undefined, readAt: now};
	}

	const isContinued = view.incompleteSince !== undefined && now - view.readAt <= maximumGapMilliseconds;
	const incompleteSince = isContinued ? view.incompleteSince : now;
	const isAccepted = listed.size > 0 && now - incompleteSince >= reading.incompleteListMilliseconds;
	return {accepted: isAccepted ? listed : view.accepted, incompleteSince, readAt: now};
}

function isIncomplete({listed, members}: MachineListReading): boolean {
	if (listed.size === 0) {
		return true;
	}

	const missing = members.filter(id => !listed.has(id)).length;
	return missing > Math.max(alwaysToleratedMissing, members.length * maximumMissingFraction);
}
