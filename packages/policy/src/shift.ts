/**
 * Shifts of callers between regions. Callers cache lookup responses, which can't
 * be revoked, so the share of callers whose response changes in any window stays
 * within a cap. The position of a caller in the shift is a hash, which is the
 * same on every node. Nodes therefore need to agree only on the row, which says
 * when the share began to move and from which value.
 */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {millisecondsPerSecond} from '@catkindale/common';
import type {Shift} from './configuration.js';

const fractionBytes = 6;
const fractionRange = 2 ** (8 * fractionBytes);
/** Maximum difference between nodes in their clocks and in the time at which they receive the row. */
export const maximumShiftSkewMilliseconds = 5 * millisecondsPerSecond;
/** While the share moves, the row is renewed at this interval. Without renewal the share stops at the end of the row's validity. */
const rowRenewalIntervalMilliseconds = 5 * millisecondsPerSecond;
const rowValidityMilliseconds = 10 * millisecondsPerSecond;

export const shiftRowSchema = z.object({
	name: z.string(),
	service: z.string(),
	/** Version of the configuration that declared this move. */
	configurationVersion: z.int(),
	from: z.string(),
	to: z.string(),
	cap: z.number(),
	windowSeconds: z.number(),
	/** Maximum time for which callers cache a lookup response. */
	timeToLiveMilliseconds: z.number(),
	/** Shifted share at `movedAt`, from which it moves to `wantedShare`. */
	baseShare: z.number(),
	wantedShare: z.number(),
	/** Wall time in milliseconds. */
	movedAt: z.number(),
});

export type ShiftRow = z.infer<typeof shiftRowSchema>;

type ShiftOptions = {readonly configurationVersion: number; readonly timeToLiveMilliseconds: number};

/** Creates the first row of a shift, whose share starts to move now. The pace allows for nodes that receive the row later. */
export function startShift(shift: Shift, options: ShiftOptions, now: number): ShiftRow {
	const {name, service, from, to, cap, windowSeconds} = shift;
	return {
		...options, name, service, from, to, cap, windowSeconds, baseShare: 0, wantedShare: shift.share, movedAt: now,
	};
}

/**
 * Returns the row for a changed shift, or undefined if nothing changes. A
 * withdrawn shift (`undefined`) is undone at the same pace. So is one that now
 * names another service or other regions; the new move starts once the old one
 * is undone.
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
 * Returns the share of callers that lookups send to the new region, which is
 * the same on every node. Changes from a period as long as the window plus the
 * time to live can take effect within one window, so the share moves slowly
 * enough that all of them together stay within the cap. It stops while the row
 * isn't renewed, as in an outage of the table, and continues from there.
 * @param now wall time in milliseconds
 */
export function getShiftedShare(row: ShiftRow, now: number): number {
	const elapsed = Math.min(rowValidityMilliseconds, Math.max(0, now - row.movedAt));
	const remainingChange = row.wantedShare - row.baseShare;
	return row.baseShare + (Math.sign(remainingChange) * Math.min(Math.abs(remainingChange), elapsed * getMaximumChangePerMillisecond(row)));
}

/** The share that a directory last applied to lookups, and the wall time at which it did. */
export type AppliedShare = {readonly share: number; readonly at: number};

/**
 * Returns the share that a directory applies to lookups now. A directory that
 * couldn't read the row for some time catches up no faster than the shift moves,
 * since its callers may have asked no other directory in that time. A directory
 * that has just started applies the share of the row.
 * @param now wall time in milliseconds
 */
export function advanceAppliedShare(row: ShiftRow, applied: AppliedShare | undefined, now: number): AppliedShare {
	const rowShare = getShiftedShare(row, now);
	if (!applied) {
		return {share: rowShare, at: now};
	}

	const remainingChange = rowShare - applied.share;
	const maximumChange = Math.max(0, now - applied.at) * getMaximumChangePerMillisecond(row);
	return {share: applied.share + (Math.sign(remainingChange) * Math.min(Math.abs(remainingChange), maximumChange)), at: now};
}

/** Returns the row renewed from the current share, or undefined if no renewal is needed. */
export function renewShift(row: ShiftRow, now: number): ShiftRow | undefined {
	const isMoving = row.baseShare !== row.wantedShare;
	return isMoving && now >= row.movedAt + rowRenewalIntervalMilliseconds ? {...row, baseShare: getShiftedShare(row, now), movedAt: now} : undefined;
}

/** Returns the maximum change of the share per millisecond: the cap, spread over the window, the time to live and the skew in both directions. */
function getMaximumChangePerMillisecond(row: ShiftRow): number {
	const spreadMilliseconds = (row.windowSeconds * millisecondsPerSecond) + row.timeToLiveMilliseconds + (2 * maximumShiftSkewMilliseconds);
	return row.cap / spreadMilliseconds;
}

/** Returns whether lookups of this caller are sent to the new region at the given shifted share. */
export function isCallerShifted(row: ShiftRow, caller: string, shiftedShare: number): boolean {
	return getCallerPosition(row.name, caller) < shiftedShare;
}

/** Returns the caller's position in the shift, from 0 up to but not including 1. */
export function getCallerPosition(shift: string, caller: string): number {
	const digest = createHash('sha256').update(`${shift}\n${caller}`).digest();
	return digest.readUIntBE(0, fractionBytes) / fractionRange;
}
