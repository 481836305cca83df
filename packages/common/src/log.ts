/**
 * Structured logs: one line of key=value pairs per event. The `debug` package
 * selects the levels, so the DEBUG variable applies (`catkindale:*`).
 */
import process from 'node:process';
import createDebug from 'debug';

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = typeof logLevels[number];
export type LogFields = Record<string, string | number | boolean | undefined>;
export type Logger = Record<LogLevel, (event: string, fields?: LogFields) => void>;

const defaultNamespaces = 'catkindale:info,catkindale:warn,catkindale:error';
const plainValue = /^[\w.:\/@+,\-]+$/v;

/** Formats one event as a line. Values with spaces or quotes are written as JSON strings. */
export function formatLogLine(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value === undefined) {
			continue;
		}

		const text = String(value);
		pairs.push(`${key}=${plainValue.test(text) ? text : JSON.stringify(text)}`);
	}

	return pairs.join(' ');
}

/** Creates the logger of a node, which writes to standard error. */
export function createLogger(node: string): Logger {
	if (!process.env.DEBUG) {
		createDebug.enable(defaultNamespaces);
	}

	const levels = logLevels.map(level => [level, createLevelWriter(node, level)]);
	return Object.fromEntries(levels) as Logger;
}

/** Creates a logger that drops every event. */
export function createSilentLogger(): Logger {
	const drop = () => undefined;
	return {
		debug: drop, info: drop, warn: drop, error: drop,
	};
}

function createLevelWriter(node: string, level: LogLevel): Logger[LogLevel] {
	const channel = createDebug(`catkindale:${level}`);
	return (event, fields = {}) => {
		if (!channel.enabled) {
			return;
		}

		const line = formatLogLine({
			time: new Date().toISOString(), level, node, event, ...fields,
		});
		process.stderr.write(`${line}\n`);
	};
}
