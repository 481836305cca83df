/**
 * Progress of a long command on standard error, so that its report on standard
 * output isn't changed. On a terminal one line is overwritten; elsewhere each
 * report is a separate line.
 */
import process from 'node:process';

export type Progress = {
	/** Writes the progress text; calls within the interval after the last written text are ignored. */
	readonly report: (text: string) => void;
	/** Erases the line on a terminal, so that other output can follow. */
	readonly clear: () => void;
};

export type ProgressOptions = {
	readonly isEnabled: boolean;
	readonly isTerminal: boolean;
	readonly write: (text: string) => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

const terminalIntervalMilliseconds = 200;
const lineIntervalMilliseconds = 5000;
const eraseLine = '\r\u{1B}[K';

export function createProgress({isEnabled, isTerminal, write, now}: ProgressOptions): Progress {
	const intervalMilliseconds = isTerminal ? terminalIntervalMilliseconds : lineIntervalMilliseconds;
	let reportedAt = -Infinity;
	let isShown = false;
	return {
		report(text) {
			if (!isEnabled || now() - reportedAt < intervalMilliseconds) {
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

/** Progress on standard error of this process; by default enabled only on a terminal. */
export function createProcessProgress(isRequested: boolean | undefined): Progress {
	const isTerminal = process.stderr.isTTY;
	return createProgress({
		isTerminal,
		isEnabled: isRequested ?? isTerminal,
		write(text) {
			process.stderr.write(text);
		},
		now: () => performance.now(),
	});
}
