/**
 * Lines for the log of a process: written to standard output without ever
 * blocking, at a bounded rate. What goes beyond the rate is counted, and the
 * count is logged once a second.
 */
import sonicBoom from 'sonic-boom';
import {
	type Clock, type LogFields, type Logger, formatLogLine, logLevels,
} from '@catkindale/common';

export type LineSink = (line: string) => void;

/** One line for each request of a busy node; a flood of refusals isn't worth the processor time of its lines. */
const linesPerSecond = 250;
const periodMilliseconds = 1000;
/** Lines wait in memory up to this size while standard output doesn't take them. */
const longestBacklogBytes = 1_048_576;

/** Standard output, written in the background. */
export function createStandardOutputSink(): LineSink {
	const stream = new sonicBoom.SonicBoom({fd: 1, sync: false, maxLength: longestBacklogBytes});
	// Standard output may be closed by whoever reads it; there is no other place to say so.
	stream.on('error', () => undefined);
	return line => {
		stream.write(`${line}\n`);
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

		if (lines >= linesPerSecond) {
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
