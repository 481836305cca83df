/** Manifests: a configuration in TOML, checked as a whole. */
import {TomlError, parse, stringify} from 'smol-toml';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {type Configuration, type ConfigurationInput, parseConfiguration} from '@catkindale/policy';
import {findManifestLine} from './manifest-lines.js';

/** One fault: the line counted from 1 where it is known, the field and the reason. */
export type ManifestIssue = {
	readonly line: number | undefined;
	readonly field: string;
	readonly reason: string;
};

/** Parses a manifest; all faults that can be seen are reported together. */
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
	return parsed.ok
		? succeed(parsed.value)
		: fail(parsed.error.map(({path, reason}) => ({
			line: findManifestLine(text, path), field: path.join('.') || 'manifest', reason,
		})));
}

/** The manifest of a configuration. */
export function formatManifest(configuration: ConfigurationInput): string {
	return stringify(configuration);
}

/** `line 12: targets.3.region: …`, without the line where it isn't known. */
export function formatManifestIssue({line, field, reason}: ManifestIssue): string {
	const place = line === undefined ? '' : `line ${line}: `;
	return `${place}${field}: ${reason}`;
}
