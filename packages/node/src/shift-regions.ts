/** The region whose entries a caller is given while shifts between regions are under way. */
import type {Clock} from '@catkindale/common';
import {type ShiftRow, getShiftedShare, isCallerShifted} from '@catkindale/policy';

export type LookupQuestion = {
	readonly service: string;
	/** The region that would serve the caller without any shift. */
	readonly region: string;
	/** What tells callers apart, the same on every node: the caller's address or block. */
	readonly caller: string;
};

/** Pure: the same for the same shifts and time on every node. */
export function getRegionForCaller(shifts: readonly ShiftRow[], question: LookupQuestion, clock: Clock): string {
	const now = clock.wall();
	const shift = shifts.find(row =>
		row.service === question.service && row.from === question.region
		&& isCallerShifted(row, question.caller, getShiftedShare(row, now)));
	return shift?.to ?? question.region;
}
