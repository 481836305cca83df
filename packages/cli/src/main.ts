#!/usr/bin/env node
/** Entry point of the `catkindale` command. Exit codes: 0 done, 1 failed, 2 wrong usage. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SettingsError} from '@catkindale/node';
import {commands} from './commands.js';
import {exitCodes} from './constants.js';

const parser = yargs(hideBin(process.argv))
	.scriptName('catkindale')
	.usage('$0 <command>')
	.command(commands)
	.demandCommand(1, 'a command is missing')
	.strict()
	.recommendCommands()
	.fail((message: string | undefined, error: Error | undefined) => {
		process.stderr.write(`catkindale: ${error?.message ?? message ?? 'failed'}\n`);
		const isUsage = error === undefined || error instanceof SettingsError;
		process.exit(isUsage ? exitCodes.usage : exitCodes.failed);
	});

await parser.parseAsync();
