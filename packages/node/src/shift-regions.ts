/** The region whose entries a caller is given while shifts between regions are under way. */
import type {Clock} from '@catkindale/common';
import {
	type HeldShift, type ShiftRow, followShift, isCallerShifted,
} from '@catkindale/policy';

/** The row of a shift, the wall time in milliseconds at which it was last known to be current, and the share in use. */
export type KnownShift = {readonly row: ShiftRow; readonly confirmedAt: number; readonly held: HeldShift};

export type LookupQuestion = {
	readonly service: string;
	/** The region that would serve the caller without any shift. */
	readonly region: string;
	/** What tells callers apart, the same on every node: the caller's address or block. */
	readonly caller: string;
};

/** Pure: the same for the same shifts and time on every node. */
export function getRegionForCaller(shifts: readonly KnownShift[], question: LookupQuestion, clock: Clock): string {
	const now = clock.wall();
	const shift = shifts.find(({row, confirmedAt, held}) =>
		row.service === question.service && row.from === question.region
		&& isCallerShifted(row, question.caller, followShift(held, row, confirmedAt, now).share));
	return shift?.row.to ?? question.region;
}
