/** `catkindale drain vm|target <name>`: stops new work for a VM or a target within seconds. */
import type {Argv, CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {addAuthorOption, printChange} from './change-output.js';

type DrainArguments = AdminArguments & {author: string; kind: string; name: string; undo: boolean};

export const drainCommand: CommandModule<object, DrainArguments> = {
	command: 'drain <kind> <name>',
	describe: 'drain a VM or a target, effective immediately',
	builder: (command: Argv<object>) => addAuthorOption(addAdminOptions(command))
		.positional('kind', {choices: ['vm', 'target'], demandOption: true, describe: 'the kind of thing to drain'})
		.positional('name', {type: 'string', demandOption: true, describe: 'the name of the VM or the target'})
		.option('undo', {type: 'boolean', default: false, describe: 'end the drain'}),
	async handler({kind, name, undo, author, ...options}) {
		const body = {
			kind, name, undo, author,
		};
		printChange(await callAdmin(options, 'POST', '/v1/drains', JSON.stringify(body)), options.json);
	},
};
