/**
 * Which list of VMs is believed when members are to be fenced. The platform's
 * list lags and may be wrong: one that leaves out many of the live members at
 * once is believed only after it has said so for a time, and an empty one
 * never. Until then the last list that was believed stands.
 */

export type MachineListView = {
	/** The identifiers of the list that is believed; undefined before the first. */
	readonly accepted: ReadonlySet<string> | undefined;
	/** Since when each list read has left out many members. */
	readonly incompleteSince: number | undefined;
	/** When the latest list was read. */
	readonly readAt: number;
};

export type MachineListReading = {
	readonly listed: ReadonlySet<string>;
	/** The identifiers of the live members of the ledger. */
	readonly members: readonly string[];
	readonly now: number;
	/** How long a short list must be read again and again before it is believed. */
	readonly incompleteListMilliseconds: number;
};

/** A list that leaves out more than this share of the live members is short. */
const mostMissingShare = 0.5;
/** A single VM may always be left out, also in a fleet of one or two. */
const mostMissingAlone = 1;
/** A gap between two readings beyond this starts the time anew. */
const mostGapMilliseconds = 5000;

export const emptyMachineListView: MachineListView = {accepted: undefined, incompleteSince: undefined, readAt: Number.NEGATIVE_INFINITY};

/** Takes a list that was read now. */
export function updateMachineList(view: MachineListView, reading: MachineListReading): MachineListView {
	const {listed, now} = reading;
	if (!isShort(reading)) {
		return {accepted: listed, incompleteSince: undefined, readAt: now};
	}

	const isContinued = view.incompleteSince !== undefined && now - view.readAt <= mostGapMilliseconds;
	const shortSince = isContinued ? view.incompleteSince : now;
	const isBelieved = listed.size > 0 && now - shortSince >= reading.incompleteListMilliseconds;
	return {accepted: isBelieved ? listed : view.accepted, incompleteSince: shortSince, readAt: now};
}

function isShort({listed, members}: MachineListReading): boolean {
	if (listed.size === 0) {
		return true;
	}

	const missing = members.filter(id => !listed.has(id)).length;
	return missing > Math.max(mostMissingAlone, members.length * mostMissingShare);
}
