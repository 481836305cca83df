/**
 * Writes the log of a process to standard output without blocking and at a
 * limited rate. Lines above the limit are dropped and counted; the count is
 * logged at most once a second.
 */
import {once} from 'node:events';
import {writeSync} from 'node:fs';
import process from 'node:process';
import sonicBoom from 'sonic-boom';
import {
	type Clock, type LogFields, type Logger, formatLogLine, logLevels,
} from '@catkindale/common';

export type LineSink = (line: string) => void;

/** Enough for one line per request of a busy node. Logging every line of a flood of refusals would cost too much processor time. */
const maximumLinesPerSecond = 250;
const periodMilliseconds = 1000;
/** Lines are buffered in memory up to this size while standard output is blocked. */
const maximumBacklogBytes = 1_048_576;
/** Lines are collected for this time; a write costs more than a line. */
const collectMilliseconds = 200;
const flushTimeoutMilliseconds = 500;
const standardOutput = 1;

export type OutputSink = {
	readonly writeLine: LineSink;
	/** Writes the collected lines and waits until the reader has taken them, but not for long. */
	readonly flush: () => Promise<void>;
};

/** Creates a sink that writes to standard output in the background. */
export function createStandardOutputSink(): OutputSink {
	const stream = new sonicBoom.SonicBoom({fd: standardOutput, sync: false, maxLength: maximumBacklogBytes});
	// The reader may close standard output; there is no other place to report this.
	stream.on('error', () => undefined);
	let lines: string[] = [];
	let timer: NodeJS.Timeout | undefined;
	let isDrained = true;
	stream.on('drain', () => {
		isDrained = true;
	});

	const write = (text: string): void => {
		isDrained = false;
		stream.write(text);
	};

	const writeCollected = (): void => {
		timer = undefined;
		if (lines.length > 0) {
			write(lines.join(''));
			lines = [];
		}
	};

	// An exception that nobody handles ends the process, and the last lines tell what led to it.
	process.on('uncaughtExceptionMonitor', () => {
		try {
			writeSync(standardOutput, lines.join(''));
		} catch {
			// Standard output is closed; the exception itself goes to standard error.
		}
	});
	return {
		writeLine(line) {
			lines.push(`${line}\n`);
			timer ??= setTimeout(writeCollected, collectMilliseconds).unref();
		},
		async flush() {
			clearTimeout(timer);
			writeCollected();
			if (!isDrained) {
				// The reader may be blocked or gone; the lines that it hasn't taken by then are lost.
				await once(stream, 'drain', {signal: AbortSignal.timeout(flushTimeoutMilliseconds)}).catch(() => undefined);
			}
		},
	};
}

export function createRateLimitedLogger(node: string, clock: Clock, sink: LineSink): Logger {
	let periodStartedAt = clock.monotonic();
	let lines = 0;
	let dropped = 0;

	const write = (level: string, event: string, fields: LogFields): void => {
		sink(formatLogLine({
			time: new Date(clock.wall()).toISOString(), level, node, event, ...fields,
		}));
	};

	const log = (level: string, event: string, fields: LogFields): void => {
		const now = clock.monotonic();
		if (now - periodStartedAt >= periodMilliseconds) {
			if (dropped > 0) {
				write('warn', 'log_lines_dropped', {lines: dropped});
			}

			periodStartedAt = now;
			lines = 0;
			dropped = 0;
		}

		if (lines >= maximumLinesPerSecond) {
			dropped += 1;
			return;
		}

		lines += 1;
		write(level, event, fields);
	};

	const levels = logLevels.map(level => [level, (event: string, fields: LogFields = {}) => {
		if (level !== 'debug') {
			log(level, event, fields);
		}
	}]);
	return Object.fromEntries(levels) as Logger;
}
