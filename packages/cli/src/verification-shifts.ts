/**
 * Randomised verification of a shift between regions: directories with skewed
 * clocks read rows late, the table has an outage, the desired share changes,
 * and callers cache their lookups. One directory may be cut off from the table
 * and receives the rows from the other nodes, while some callers ask only that
 * directory, or all callers ask any directory. Within each window, at most the
 * fraction of the callers that the shift's cap allows moves.
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
const maximumReadLagMilliseconds = 2000;
const maximumClockOffsetMilliseconds = 200;
/** For callers at the boundary of the share, whom two directories assign to different regions. */
const tolerance = 3 / callerCount;

/** Fraction of the rows sent between nodes that are lost. */
const lossFraction = 0.1;

type Directory = {readonly clockOffset: number; readonly readLag: number; row: ShiftRow | undefined; appliedShare: AppliedShare | undefined};
/** A row in transit to the directory that is cut off from the table. */
type RelayedRow = {readonly row: ShiftRow; readonly arrivesAt: number};
type Caller = {readonly position: number; isMoved: boolean; nextLookupAt: number};

/** Index of the directory that is cut off from the table. */
const cutDirectoryIndex = 0;

/** Callers of the directory that is cut off: `none`, no directory is cut off; `exclusive`, callers that ask no other directory; `any`, each caller sometimes. */
type CutDirectoryCallers = 'none' | 'exclusive' | 'any';

type ShiftRun = {
	readonly cutDirectoryCallers: CutDirectoryCallers;
	/** Whether a node that writes a row also sends it to the other nodes. */
	readonly areRowsRelayed?: boolean;
};

registerVerification({
	name: 'shifts',
	describe: 'a shift between regions under table outages, changed desired shares, skewed clocks and cached lookups',
	run(seed) {
		runShift(seed, {cutDirectoryCallers: 'none'});
		runShift(seed, {cutDirectoryCallers: 'exclusive'});
		runShift(seed, {cutDirectoryCallers: 'any'});
	},
});

/** Runs one shift; throws an InvariantError if a larger fraction of the callers than the cap moves within a window. */
export function runShift(seed: number, {cutDirectoryCallers, areRowsRelayed = true}: ShiftRun): void {
	const random = createRandom(seed);
	/** A separate generator, so that a seed's faults are the same whether rows are relayed or not. */
	const messageRandom = createRandom(seed);
	let relayedRows: RelayedRow[] = [];
	const windowSeconds = random.integer(10, 120);
	let shift: Shift | undefined = {
		name: 'west', service: 'pricing', from: 'oslo', to: 'bergen', share: random.integer(2, 10) / 10, cap: random.integer(1, 4) / 10, windowSeconds,
	};
	const {cap} = shift;
	let row: ShiftRow = startShift(shift, {configurationVersion: 1, timeToLiveMilliseconds}, 0);
	const directories = Array.from({length: nodeCount}, (): Directory => ({
		clockOffset: random.integer(-maximumClockOffsetMilliseconds, maximumClockOffsetMilliseconds), readLag: random.integer(0, maximumReadLagMilliseconds), row: undefined, appliedShare: undefined,
	}));
	const callers = Array.from({length: callerCount}, (_, index): Caller => ({
		position: (index + 0.5) / callerCount, isMoved: false, nextLookupAt: random.integer(0, timeToLiveMilliseconds),
	}));
	const outageFrom = random.integer(0, steps) * stepMilliseconds;
	const outageUntil = outageFrom + random.integer(0, 120 * millisecondsPerSecond);
	const hasCutDirectory = cutDirectoryCallers !== 'none';
	const cutFrom = hasCutDirectory ? random.integer(0, steps) * stepMilliseconds : Infinity;
	const cutUntil = cutFrom + random.integer(0, 300 * millisecondsPerSecond);
	/** Fraction of the callers that ask only the directory that is cut off; the others then never ask it. */
	const exclusiveFraction = random.integer(0, 2) / 2;
	const chooseDirectory = (caller: Caller): number => {
		const isExclusive = cutDirectoryCallers === 'exclusive' && (caller.position * callerCount) % 2 < 2 * exclusiveFraction;
		const other = random.integer(cutDirectoryCallers === 'exclusive' ? cutDirectoryIndex + 1 : 0, nodeCount - 1);
		return isExclusive ? cutDirectoryIndex : other;
	};

	const movedFractions: number[] = [];
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
			const isCut = index === cutDirectoryIndex && now >= cutFrom && now < cutUntil;
			const previousRow = row;
			row = isTableDown || isCut ? row : readRow(directory, row, now);
			if (areRowsRelayed && row !== previousRow && messageRandom.fraction() >= lossFraction) {
				relayedRows.push({row, arrivesAt: now + messageRandom.integer(0, maximumReadLagMilliseconds)});
			}
		}

		relayedRows = deliverRows(directories[cutDirectoryIndex]!, relayedRows, now);

		for (const caller of callers) {
			updateCaller(caller, directories[chooseDirectory(caller)]!, now);
		}

		movedFractions.push(callers.filter(caller => caller.isMoved).length / callerCount);
		const previousFraction = movedFractions[Math.max(0, step - windowSteps)] ?? 0;
		const change = Math.abs(movedFractions[step]! - previousFraction);
		assertInvariant(change <= cap + tolerance, 'a shift moves at most its cap per window', {
			seed, now, change, cap,
		});
	}
}

/** Lets a directory read the row with its read lag and renew it. */
function readRow(directory: Directory, row: ShiftRow, now: number): ShiftRow {
	if (now % (1 + directory.readLag) > stepMilliseconds) {
		return row;
	}

	directory.row = renewShift(row, now + directory.clockOffset) ?? row;
	return directory.row;
}

/** Delivers the rows that have arrived, of which the directory keeps the latest, and returns those still in transit. */
function deliverRows(directory: Directory, relayedRows: readonly RelayedRow[], now: number): RelayedRow[] {
	for (const {row, arrivesAt} of relayedRows) {
		if (arrivesAt <= now && (!directory.row || row.movedAt > directory.row.movedAt)) {
			directory.row = row;
		}
	}

	return relayedRows.filter(({arrivesAt}) => arrivesAt > now);
}

function updateCaller(caller: Caller, directory: Directory, now: number): void {
	if (now < caller.nextLookupAt || !directory.row) {
		return;
	}

	directory.appliedShare = advanceAppliedShare(directory.row, directory.appliedShare, now + directory.clockOffset);
	caller.isMoved = caller.position < directory.appliedShare.share;
	caller.nextLookupAt = now + timeToLiveMilliseconds;
}
