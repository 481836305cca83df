/** Selects the region whose entries a lookup returns during shifts between regions. */
import type {Clock} from '@catkindale/common';
import {
	type ShiftRow, type AppliedShare, advanceAppliedShare, isCallerShifted,
} from '@catkindale/policy';

export type RegionLookup = {
	readonly service: string;
	/** The region that would serve the caller without any shift. */
	readonly region: string;
	/** Identifies the caller, identically on every node: its address or block. */
	readonly caller: string;
};

export type ShiftRegionResolver = {
	/** Replaces the rows of the shifts. */
	setShifts: (shifts: readonly ShiftRow[]) => void;
	getRegionForCaller: (lookup: RegionLookup) => string;
};

export function createShiftRegionResolver(clock: Clock): ShiftRegionResolver {
	const appliedShares = new Map<string, AppliedShare>();
	let shifts: readonly ShiftRow[] = [];

	const getShare = (row: ShiftRow): number => {
		const shiftKey = `${row.name} ${row.service} ${row.from} ${row.to}`;
		const applied = advanceAppliedShare(row, appliedShares.get(shiftKey), clock.wall());
		appliedShares.set(shiftKey, applied);
		return applied.share;
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
