/** `catkindale check`: checks a manifest without applying it. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {formatManifestIssue, parseManifest} from '@catkindale/node';
import {exitCodes} from './constants.js';

type CheckArguments = {manifest: string};

export const checkCommand: CommandModule<object, CheckArguments> = {
	command: 'check <manifest>',
	describe: 'check a manifest without applying it',
	builder: command => command.positional('manifest', {type: 'string', demandOption: true, describe: 'the manifest file (TOML)'}),
	async handler({manifest: file}) {
		const manifest = parseManifest(await readFile(file, 'utf8'));
		if (manifest.ok) {
			process.stdout.write(`${file}: no errors\n`);
			return;
		}

		for (const issue of manifest.error) {
			process.stderr.write(`${file}: ${formatManifestIssue(issue)}\n`);
		}

		process.exitCode = exitCodes.failed;
	},
};
