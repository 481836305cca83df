/** Parses and formats manifests, which are configurations in TOML. */
import {TomlError, parse, stringify} from 'smol-toml';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {type Configuration, type ConfigurationInput, parseConfiguration} from '@catkindale/policy';
import {findManifestLine} from './manifest-lines.js';
import {findRouteIssues} from './routing-table.js';

/** An issue of a manifest; the line, counted from 1, is undefined if it can't be determined. */
export type ManifestIssue = {
	readonly line: number | undefined;
	readonly field: string;
	readonly reason: string;
};

/** Parses a manifest and reports all issues that can be found together. */
export function parseManifest(text: string): Result<Configuration, readonly ManifestIssue[]> {
	let data: unknown;
	try {
		data = parse(text);
	} catch (error) {
		const line = error instanceof TomlError ? error.line : undefined;
		const [reason = ''] = getErrorMessage(error).split('\n', 1);
		return fail([{line, field: 'TOML', reason}]);
	}

	const parsed = parseConfiguration(data);
	const issues = parsed.ok ? findRouteIssues(parsed.value.routes) : parsed.error;
	return parsed.ok && issues.length === 0
		? succeed(parsed.value)
		: fail(issues.map(({path, reason}) => ({
			line: findManifestLine(text, path), field: path.join('.') || 'manifest', reason,
		})));
}

/** Formats a configuration as a manifest. */
export function formatManifest(configuration: ConfigurationInput): string {
	return stringify(configuration);
}

/** Formats an issue as `line 12: targets.3.region: …`, without the line if it is unknown. */
export function formatManifestIssue({line, field, reason}: ManifestIssue): string {
	const place = line === undefined ? '' : `line ${line}: `;
	return `${place}${field}: ${reason}`;
}
