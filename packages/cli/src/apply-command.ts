/** `catkindale apply`: applies a manifest as one versioned change. */
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {addAuthorOption, printChange} from './change-output.js';

type ApplyArguments = AdminArguments & {author: string; manifest: string; ifVersion: number | undefined; allowMoveBack: boolean};

export const applyCommand: CommandModule<object, ApplyArguments> = {
	command: 'apply <manifest>',
	describe: 'apply a manifest as one change',
	builder: command => addAuthorOption(addAdminOptions(command))
		.positional('manifest', {type: 'string', demandOption: true, describe: 'the manifest file (TOML)'})
		.option('if-version', {type: 'number', describe: 'reject the change unless the configuration is at this version'})
		.option('allow-move-back', {type: 'boolean', default: false, describe: 'allow a manifest that moves a service back to the version before its last rollout'}) as never,
	async handler(options) {
		const manifest = await readFile(options.manifest, 'utf8');
		const query = new URLSearchParams({
			author: options.author,
			...(options.ifVersion !== undefined && {'if-version': String(options.ifVersion)}),
			...(options.allowMoveBack && {'allow-move-back': 'true'}),
		});
		printChange(await callAdmin(options, 'POST', `/v1/configuration?${query.toString()}`, manifest), options.json);
	},
};
