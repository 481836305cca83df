/** `catkindale drain vm|target <name>`: no new work for it within seconds. */
import type {Argv, CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {addAuthorOption, printChange} from './change-output.js';

type DrainArguments = AdminArguments & {author: string; kind: string; name: string; undo: boolean};

export const drainCommand: CommandModule<object, DrainArguments> = {
	command: 'drain <kind> <name>',
	describe: 'drain a VM or a target, in force at once',
	builder: (command: Argv<object>) => addAuthorOption(addAdminOptions(command))
		.positional('kind', {choices: ['vm', 'target'], demandOption: true, describe: 'what to drain'})
		.positional('name', {type: 'string', demandOption: true, describe: 'its name'})
		.option('undo', {type: 'boolean', default: false, describe: 'take the drain back'}),
	async handler({kind, name, undo, author, ...options}) {
		const body = {
			kind, name, undo, author,
		};
		printChange(await callAdmin(options, 'POST', '/v1/drains', JSON.stringify(body)), options.json);
	},
};
