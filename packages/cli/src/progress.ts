/**
 * Progress of a long command on the standard error stream, so that its report
 * on the standard output stays as it is. On a terminal one line is written
 * over and over; elsewhere each report is a line of its own.
 */
import process from 'node:process';

export type Progress = {
	/** Tells how far the command is; most calls within one pause are dropped. */
	readonly report: (text: string) => void;
	/** Takes the line away, so that output can follow. */
	readonly clear: () => void;
};

export type ProgressOptions = {
	readonly isEnabled: boolean;
	readonly isTerminal: boolean;
	readonly write: (text: string) => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

const terminalPauseMilliseconds = 200;
const linePauseMilliseconds = 5000;
const eraseLine = '\r\u{1B}[K';

export function createProgress({isEnabled, isTerminal, write, now}: ProgressOptions): Progress {
	const pauseMilliseconds = isTerminal ? terminalPauseMilliseconds : linePauseMilliseconds;
	let reportedAt = -Infinity;
	let isShown = false;
	return {
		report(text) {
			if (!isEnabled || now() - reportedAt < pauseMilliseconds) {
				return;
			}

			reportedAt = now();
			isShown = isTerminal;
			write(isTerminal ? `${eraseLine}${text}` : `${text}\n`);
		},
		clear() {
			if (isShown) {
				isShown = false;
				write(eraseLine);
			}
		},
	};
}

/** Progress of this process: on a terminal, or where the operator wants it. */
export function createProcessProgress(isWanted: boolean | undefined): Progress {
	const isTerminal = process.stderr.isTTY;
	return createProgress({
		isTerminal,
		isEnabled: isWanted ?? isTerminal,
		write(text) {
			process.stderr.write(text);
		},
		now: () => performance.now(),
	});
}
