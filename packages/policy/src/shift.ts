/**
 * Shifts of callers between regions. Callers cache the answer of a look-up,
 * so what has been handed out can't be called back: in any window, the share
 * of callers whose answer changes stays within the cap. A caller's place in
 * the shift is a hash, the same on every node, so that nothing is agreed but
 * the row that says when the share began to move and from where.
 */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {millisecondsPerSecond} from '@catkindale/common';
import type {Shift} from './configuration.js';

const fractionBytes = 6;
const fractionRange = 2 ** (8 * fractionBytes);
/** How far the clocks of nodes and their knowledge of the row may be apart. */
export const maximumShiftSkewMilliseconds = 5 * millisecondsPerSecond;
/** A row that moves is renewed this often and moves no further than its validity. */
const rowRenewalMilliseconds = 5 * millisecondsPerSecond;
const rowValidityMilliseconds = 10 * millisecondsPerSecond;

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
	const baseShare = getShiftedShare(row, now);
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

/**
 * The share of the callers that look-ups send to the new region, the same on
 * every node. Moves of a window plus the look-ups' time to live can show
 * within one window, so the share moves slowly enough that even these stay
 * within the cap. It stands still when the row hasn't been renewed, as in an
 * outage of the table, and goes on from there.
 * @param now wall time in milliseconds
 */
export function getShiftedShare(row: ShiftRow, now: number): number {
	const elapsed = Math.min(rowValidityMilliseconds, Math.max(0, now - row.movedAt));
	const wantedMove = row.wantedShare - row.baseShare;
	return row.baseShare + (Math.sign(wantedMove) * Math.min(Math.abs(wantedMove), elapsed * getPace(row)));
}

/** The share that a directory handed out last, and when. */
export type AppliedShare = {readonly share: number; readonly at: number};

/**
 * The share that a directory hands out now. One that couldn't read the row for
 * a while catches up no faster than the shift moves, since its callers may have
 * asked no other directory meanwhile. One that just started takes the row's.
 * @param now wall time in milliseconds
 */
export function advanceAppliedShare(row: ShiftRow, shown: AppliedShare | undefined, now: number): AppliedShare {
	const wanted = getShiftedShare(row, now);
	if (!shown) {
		return {share: wanted, at: now};
	}

	const wantedMove = wanted - shown.share;
	const largestMove = Math.max(0, now - shown.at) * getPace(row);
	return {share: shown.share + (Math.sign(wantedMove) * Math.min(Math.abs(wantedMove), largestMove)), at: now};
}

/** The row renewed from where the share stands; undefined while there is no need. */
export function renewShift(row: ShiftRow, now: number): ShiftRow | undefined {
	const isMoving = row.baseShare !== row.wantedShare;
	return isMoving && now >= row.movedAt + rowRenewalMilliseconds ? {...row, baseShare: getShiftedShare(row, now), movedAt: now} : undefined;
}

/** The most by which the share moves, per millisecond. */
function getPace(row: ShiftRow): number {
	const spread = (row.windowSeconds * millisecondsPerSecond) + row.timeToLiveMilliseconds + (2 * maximumShiftSkewMilliseconds);
	return row.cap / spread;
}

/** Whether look-ups of this caller go to the new region at a shifted share. */
export function isCallerShifted(row: ShiftRow, caller: string, shiftedShare: number): boolean {
	return getCallerPosition(row.name, caller) < shiftedShare;
}

/** The caller's place in the shift, from 0 up to, but without, 1. */
export function getCallerPosition(shift: string, caller: string): number {
	const digest = createHash('sha256').update(`${shift}\n${caller}`).digest();
	return digest.readUIntBE(0, fractionBytes) / fractionRange;
}
