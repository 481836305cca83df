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
	/** The version of the configuration that asked for this move. */
	configurationVersion: z.int(),
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

type ShiftOptions = {readonly configurationVersion: number; readonly timeToLiveMilliseconds: number};

/** The first row of a shift; it moves once every node can have read it. */
export function startShift(shift: Shift, options: ShiftOptions, now: number): ShiftRow {
	const {name, service, from, to, cap, windowSeconds} = shift;
	return {
		...options, name, service, from, to, cap, windowSeconds, baseShare: 0, wantedShare: shift.share, movedAt: now,
	};
}

/**
 * The row for a changed wish; undefined if nothing changes. A withdrawn shift
 * (`undefined`) goes back as slowly as it came, and so does one that now names
 * other regions; the new move starts once the old one is back.
 */
export function changeShift(row: ShiftRow, shift: Shift | undefined, configurationVersion: number, now: number): ShiftRow | undefined {
	const baseShare = getShiftedShare(row, now, now);
	const isSameMove = shift?.service === row.service && shift.from === row.from && shift.to === row.to;
	if (shift && !isSameMove && baseShare === 0) {
		return startShift(shift, {configurationVersion, timeToLiveMilliseconds: row.timeToLiveMilliseconds}, now);
	}

	const wantedShare = isSameMove ? shift.share : 0;
	const {cap, windowSeconds} = isSameMove ? shift : row;
	if (wantedShare === row.wantedShare && cap === row.cap && windowSeconds === row.windowSeconds) {
		return undefined;
	}

	const isReplaced = shift !== undefined && !isSameMove;
	return {
		...row, cap, windowSeconds, wantedShare, baseShare, movedAt: now, configurationVersion: isReplaced ? row.configurationVersion : configurationVersion,
	};
}

/** The share that a node's look-ups use, and since when, in wall milliseconds. */
export type HeldShift = {readonly share: number; readonly at: number};

/**
 * The share of the callers that look-ups send to the new region by the row.
 * Moves of a window plus the look-ups' time to live can show within one
 * window, so the share moves slowly enough that even these stay within the
 * cap. A node whose knowledge of the row is old lets the share stand.
 * @param confirmedAt wall time in milliseconds at which the row was last known to be current
 * @param now wall time in milliseconds
 */
export function getShiftedShare(row: ShiftRow, confirmedAt: number, now: number): number {
	const elapsed = Math.max(0, Math.min(now, confirmedAt + shiftSkewMilliseconds) - row.movedAt);
	return moveTowards(row.baseShare, row.wantedShare, elapsed * getPace(row));
}

/** The share that a node uses next: the row's, but no faster than the pace, so that what stood still doesn't jump. */
export function followShift(held: HeldShift | undefined, row: ShiftRow, confirmedAt: number, now: number): HeldShift {
	const share = getShiftedShare(row, confirmedAt, now);
	const elapsed = Math.max(0, now - (held?.at ?? now));
	return {share: held ? moveTowards(held.share, share, elapsed * getPace(row)) : share, at: now};
}

/** The row from which all nodes go on together after a standstill; undefined while they keep up. */
export function resumeShift(row: ShiftRow, held: HeldShift, now: number): ShiftRow | undefined {
	const behind = Math.abs(getShiftedShare(row, now, now) - held.share);
	return behind > 2 * shiftSkewMilliseconds * getPace(row) ? {...row, baseShare: held.share, movedAt: now} : undefined;
}

/** The most by which the share moves, per millisecond. */
function getPace(row: ShiftRow): number {
	const spread = (row.windowSeconds * millisecondsPerSecond) + row.timeToLiveMilliseconds + (2 * shiftSkewMilliseconds);
	return row.cap / spread;
}

function moveTowards(from: number, to: number, largestMove: number): number {
	return from + (Math.sign(to - from) * Math.min(Math.abs(to - from), largestMove));
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
