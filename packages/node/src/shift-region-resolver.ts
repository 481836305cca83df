/** The region whose entries a caller is given while shifts between regions are under way. */
import type {Clock} from '@catkindale/common';
import {
	type ShiftRow, type AppliedShare, advanceAppliedShare, isCallerShifted,
} from '@catkindale/policy';

export type RegionLookup = {
	readonly service: string;
	/** The region that would serve the caller without any shift. */
	readonly region: string;
	/** What tells callers apart, the same on every node: the caller's address or block. */
	readonly caller: string;
};

export type ShiftRegionResolver = {
	/** Takes in the rows as the table gave them. */
	setShifts: (shifts: readonly ShiftRow[]) => void;
	getRegionForCaller: (question: RegionLookup) => string;
};

export function createShiftRegionResolver(clock: Clock): ShiftRegionResolver {
	const shownShares = new Map<string, AppliedShare>();
	let shifts: readonly ShiftRow[] = [];

	const getShare = (row: ShiftRow): number => {
		const move = `${row.name} ${row.service} ${row.from} ${row.to}`;
		const shown = advanceAppliedShare(row, shownShares.get(move), clock.wall());
		shownShares.set(move, shown);
		return shown.share;
	};

	return {
		setShifts(rows) {
			shifts = rows;
		},
		getRegionForCaller({service, region, caller}) {
			const shift = shifts.find(row =>
				row.service === service && row.from === region && isCallerShifted(row, caller, getShare(row)));
			return shift?.to ?? region;
		},
	};
}
