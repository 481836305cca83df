/**
 * Randomised run of a shift between regions: directories with skewed clocks
 * that learn of rows late, an outage of the table, changed wishes, and callers
 * that keep their look-ups, and one directory that can't reach the table while
 * others can, and hears of the rows from them, with callers that ask it alone,
 * or any directory. No window sees more than the cap move.
 */
import {assertInvariant, createRandom, millisecondsPerSecond} from '@catkindale/common';
import {
	type Shift, type ShiftRow, type AppliedShare, changeShift, advanceAppliedShare, renewShift, startShift,
} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const callerCount = 400;
const nodeCount = 4;
const stepMilliseconds = 500;
const steps = 1200;
const timeToLiveMilliseconds = 10_000;
const longestReadLag = 2000;
const largestClockOffset = 200;
/** Callers at the very edge whom two directories place differently. */
const tolerance = 3 / callerCount;

/** Of the rows that the nodes tell each other. */
const lostShare = 0.1;

type Directory = {readonly offset: number; readonly lag: number; row: ShiftRow | undefined; shown: AppliedShare | undefined};
/** A row on its way to the directory that is cut off from the table. */
type ToldRow = {readonly row: ShiftRow; readonly arrivesAt: number};
type Caller = {readonly place: number; isMoved: boolean; asksAt: number};

/** The directory that is cut off. */
const cutDirectory = 0;

/** Which callers ask the directory that is cut off: there is none, callers that ask no other, or any now and then. */
type CutDirectoryCallers = 'none' | 'faithful' | 'any';

type ShiftRun = {
	readonly cutDirectoryCallers: CutDirectoryCallers;
	/** Whether whoever writes a row tells the other nodes. */
	readonly isTold?: boolean;
};

registerVerification({
	name: 'shifts',
	describe: 'a shift between regions under table outages, changed wishes, skewed clocks and cached look-ups',
	run(seed) {
		runShift(seed, {cutDirectoryCallers: 'none'});
		runShift(seed, {cutDirectoryCallers: 'faithful'});
		runShift(seed, {cutDirectoryCallers: 'any'});
	},
});

/** Throws if a window sees more than the cap move. */
export function runShift(seed: number, {cutDirectoryCallers, isTold = true}: ShiftRun): void {
	const random = createRandom(seed);
	/** Of its own, so that a seed's faults are the same whether rows are told or not. */
	const messages = createRandom(seed);
	let toldRows: ToldRow[] = [];
	const windowSeconds = random.integer(10, 120);
	let shift: Shift | undefined = {
		name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: random.integer(2, 10) / 10, cap: random.integer(1, 4) / 10, windowSeconds,
	};
	const {cap} = shift;
	let row: ShiftRow = startShift(shift, {configurationVersion: 1, timeToLiveMilliseconds}, 0);
	const directories = Array.from({length: nodeCount}, (): Directory => ({
		offset: random.integer(-largestClockOffset, largestClockOffset), lag: random.integer(0, longestReadLag), row: undefined, shown: undefined,
	}));
	const callers = Array.from({length: callerCount}, (_, index): Caller => ({
		place: (index + 0.5) / callerCount, isMoved: false, asksAt: random.integer(0, timeToLiveMilliseconds),
	}));
	const outageFrom = random.integer(0, steps) * stepMilliseconds;
	const outageUntil = outageFrom + random.integer(0, 120 * millisecondsPerSecond);
	const hasCut = cutDirectoryCallers !== 'none';
	const cutFrom = hasCut ? random.integer(0, steps) * stepMilliseconds : Infinity;
	const cutUntil = cutFrom + random.integer(0, 300 * millisecondsPerSecond);
	/** The part of the callers that ask the directory that is cut off, and no other; the others then don't ask it. */
	const faithfulPart = random.integer(0, 2) / 2;
	const chooseDirectory = (caller: Caller): number => {
		const isFaithful = cutDirectoryCallers === 'faithful' && (caller.place * callerCount) % 2 < 2 * faithfulPart;
		const other = random.integer(cutDirectoryCallers === 'faithful' ? cutDirectory + 1 : 0, nodeCount - 1);
		return isFaithful ? cutDirectory : other;
	};

	const moved: number[] = [];
	const windowSteps = Math.floor(windowSeconds * millisecondsPerSecond / stepMilliseconds);
	for (let step = 0; step < steps; step++) {
		const now = step * stepMilliseconds;
		const isTableDown = now >= outageFrom && now < outageUntil;
		if (!isTableDown && random.fraction() < 0.005) {
			shift = shift && random.fraction() < 0.3
				? undefined
				: {
					name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: random.integer(0, 10) / 10, cap, windowSeconds,
				};
			row = changeShift(row, shift, row.configurationVersion + 1, now) ?? row;
		}

		for (const [index, directory] of directories.entries()) {
			const isCut = index === cutDirectory && now >= cutFrom && now < cutUntil;
			const known = row;
			row = isTableDown || isCut ? row : readRow(directory, row, now);
			if (isTold && row !== known && messages.fraction() >= lostShare) {
				toldRows.push({row, arrivesAt: now + messages.integer(0, longestReadLag)});
			}
		}

		toldRows = deliverRows(directories[cutDirectory]!, toldRows, now);

		for (const caller of callers) {
			askDirectory(caller, directories[chooseDirectory(caller)]!, now);
		}

		moved.push(callers.filter(caller => caller.isMoved).length / callerCount);
		const before = moved[Math.max(0, step - windowSteps)] ?? 0;
		const change = Math.abs(moved[step]! - before);
		assertInvariant(change <= cap + tolerance, 'a shift moves at most its cap per window', {
			seed, now, change, cap,
		});
	}
}

/** A directory reads the row, some time after it was written, and renews it. */
function readRow(directory: Directory, row: ShiftRow, now: number): ShiftRow {
	if (now % (1 + directory.lag) > stepMilliseconds) {
		return row;
	}

	directory.row = renewShift(row, now + directory.offset) ?? row;
	return directory.row;
}

/** Gives the directory what has arrived, of which the latest row counts; the rest is still on its way. */
function deliverRows(directory: Directory, toldRows: readonly ToldRow[], now: number): ToldRow[] {
	for (const {row, arrivesAt} of toldRows) {
		if (arrivesAt <= now && (!directory.row || row.movedAt > directory.row.movedAt)) {
			directory.row = row;
		}
	}

	return toldRows.filter(({arrivesAt}) => arrivesAt > now);
}

function askDirectory(caller: Caller, directory: Directory, now: number): void {
	if (now < caller.asksAt || !directory.row) {
		return;
	}

	directory.shown = advanceAppliedShare(directory.row, directory.shown, now + directory.offset);
	caller.isMoved = caller.place < directory.shown.share;
	caller.asksAt = now + timeToLiveMilliseconds;
}
