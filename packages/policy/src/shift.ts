/**
 * Shifts of callers between regions. Callers cache the answer of a look-up,
 * so what has been handed out can't be called back: in any window, the share
 * of callers whose answer changes stays within the cap. A caller's place in
 * the shift is a hash, the same on every node, so that nothing is agreed but
 * the row that says when the share began to move and from where.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {millisecondsPerSecond} from '@catkindale/common';
import type {Shift} from './configuration.js';

const fractionBytes = 6;
const fractionRange = 2 ** (8 * fractionBytes);
/** How far the clocks of nodes and their knowledge of the row may be apart. */
export const shiftSkewMilliseconds = 5 * millisecondsPerSecond;

export const shiftRowSchema = z.object({
	name: z.string(),
	service: z.string(),
	from: z.string(),
	to: z.string(),
	cap: z.number(),
	windowSeconds: z.number(),
	/** The longest time for which callers keep a look-up. */
	timeToLiveMilliseconds: z.number(),
	/** The shifted share at `movedAt`, from where it moves to `wantedShare`. */
	baseShare: z.number(),
	wantedShare: z.number(),
	/** Wall time in milliseconds. */
	movedAt: z.number(),
});

export type ShiftRow = z.infer<typeof shiftRowSchema>;

/** The first row of a shift. */
export function startShift(shift: Shift, timeToLiveMilliseconds: number, now: number): ShiftRow {
	const {name, service, from, to, cap, windowSeconds} = shift;
	return {
		name, service, from, to, cap, windowSeconds, timeToLiveMilliseconds, baseShare: 0, wantedShare: shift.share, movedAt: now,
	};
}

/**
 * The row for a changed wish; undefined if nothing changes. A withdrawn shift
 * (`undefined`) goes back as slowly as it came.
 */
export function changeShift(row: ShiftRow, shift: Shift | undefined, now: number): ShiftRow | undefined {
	const isSameMove = shift?.service === row.service && shift.from === row.from && shift.to === row.to;
	const wantedShare = isSameMove ? shift.share : 0;
	const cap = isSameMove ? shift.cap : row.cap;
	const windowSeconds = isSameMove ? shift.windowSeconds : row.windowSeconds;
	if (wantedShare === row.wantedShare && cap === row.cap && windowSeconds === row.windowSeconds) {
		return undefined;
	}

	// Nodes that follow the former row until they learn of this one keep within the skew.
	return {
		...row, cap, windowSeconds, wantedShare, baseShare: getShiftedShare(row, now, now), movedAt: now,
	};
}

/**
 * The share of the callers that look-ups send to the new region. Moves of a
 * window plus the look-ups' time to live can show within one window, so the
 * share moves slowly enough that even these stay within the cap. A node whose
 * knowledge of the row is old lets the share stand.
 * @param confirmedAt wall time in milliseconds at which the row was last known to be current
 * @param now wall time in milliseconds
 */
export function getShiftedShare(row: ShiftRow, confirmedAt: number, now: number): number {
	const spread = (row.windowSeconds * millisecondsPerSecond) + row.timeToLiveMilliseconds + (2 * shiftSkewMilliseconds);
	const elapsed = Math.max(0, Math.min(now, confirmedAt + shiftSkewMilliseconds) - row.movedAt);
	const largestMove = elapsed * row.cap / spread;
	const wantedMove = row.wantedShare - row.baseShare;
	return row.baseShare + (Math.sign(wantedMove) * Math.min(Math.abs(wantedMove), largestMove));
}

/** Whether look-ups of this caller go to the new region at a shifted share. */
export function isCallerShifted(row: ShiftRow, caller: string, shiftedShare: number): boolean {
	return getCallerPlace(row.name, caller) < shiftedShare;
}

/** The caller's place in the shift, from 0 up to, but without, 1. */
export function getCallerPlace(shift: string, caller: string): number {
	const digest = createHash('sha256').update(`${shift}\n${caller}`).digest();
	return digest.readUIntBE(0, fractionBytes) / fractionRange;
}
