/** `catkindale diff`: shows what applying a manifest would change. Exit code 1 if the manifest has errors. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {formatManifestIssue, parseManifest} from '@catkindale/node';
import {type Configuration, type ConfigurationDifference, getConfigurationDifferences} from '@catkindale/policy';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {exitCodes} from './constants.js';

type DiffArguments = AdminArguments & {manifest: string};

const kindMarks: Record<ConfigurationDifference['kind'], string> = {added: '+', removed: '-', changed: '~'};

export const diffCommand: CommandModule<object, DiffArguments> = {
	command: 'diff <manifest>',
	describe: 'show what applying a manifest would change',
	builder: command => addAdminOptions(command)
		.positional('manifest', {type: 'string', demandOption: true, describe: 'the manifest file (TOML)'}),
	async handler(options) {
		const manifest = parseManifest(await readFile(options.manifest, 'utf8'));
		if (!manifest.ok) {
			process.stderr.write(manifest.error.map(issue => `${options.manifest}: ${formatManifestIssue(issue)}\n`).join(''));
			process.exitCode = exitCodes.failed;
			return;
		}

		const response = await callAdmin(options, 'GET', '/v1/configuration');
		if (response.status !== 200) {
			process.stderr.write(`catkindale: ${JSON.stringify(response.body)}\n`);
			process.exitCode = exitCodes.failed;
			return;
		}

		const version = Number(response.body.version);
		const current = response.body.configuration as Configuration | undefined;
		const differences = getConfigurationDifferences(current ?? createEmptyConfiguration(manifest.value), manifest.value);
		process.stdout.write(options.json ? `${JSON.stringify({version, differences})}\n` : describeDifferences(version, differences));
	},
};

function describeDifferences(version: number, differences: readonly ConfigurationDifference[]): string {
	const lines = differences.map(({kind, list, name, fields}) => {
		const details = fields.length > 0 ? ` (${fields.join(', ')})` : '';
		return `${kindMarks[kind]} ${list} ${name}${details}`;
	});
	return [`against version ${version}: ${differences.length} difference${differences.length === 1 ? '' : 's'}`, ...lines, ''].join('\n');
}

/** Copies a configuration with every list emptied: the baseline for a diff when no configuration has been applied yet. */
function createEmptyConfiguration(configuration: Configuration): Configuration {
	const fields = Object.entries(configuration).map(([key, value]) => [key, Array.isArray(value) ? [] : value]);
	return Object.fromEntries(fields) as Configuration;
}
