/** `catkindale key grant|withdraw`: grants a customer an API key or withdraws one immediately. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {hashText} from '@catkindale/common';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {addAuthorOption, printChange} from './change-output.js';

type KeyArguments = AdminArguments & {author: string; key: string | undefined; hash: string | undefined};
type GrantArguments = KeyArguments & {customer: string};

const grantCommand: CommandModule<object, GrantArguments> = {
	command: 'grant <customer>',
	describe: 'grant a key to a customer; valid once the change is accepted',
	builder: command => addKeyOptions(command).positional('customer', {type: 'string', demandOption: true, describe: 'the customer'}) as never,
	async handler(options) {
		const body = {customer: options.customer, hash: getHash(options), author: options.author};
		printChange(await callAdmin(options, 'POST', '/v1/keys/grant', JSON.stringify(body)), options.json);
	},
};

const withdrawCommand: CommandModule<object, KeyArguments> = {
	command: 'withdraw',
	describe: 'withdraw a key, effective immediately',
	builder: command => addKeyOptions(command) as never,
	async handler(options) {
		const body = {hash: getHash(options), author: options.author};
		printChange(await callAdmin(options, 'POST', '/v1/keys/withdraw', JSON.stringify(body)), options.json);
	},
};

export const keyCommand: CommandModule = {
	command: 'key <action>',
	describe: 'grant or withdraw a customer\'s key',
	builder: command => command.command([grantCommand, withdrawCommand] as CommandModule[]).demandCommand(1, 'an action is missing: grant or withdraw'),
	handler() {
		process.exitCode ??= 0;
	},
};

function addKeyOptions(command: Argv<object>): Argv<AdminArguments> {
	return addAuthorOption(addAdminOptions(command))
		.option('key', {type: 'string', describe: 'the key itself; only its hash is sent'})
		.option('hash', {type: 'string', describe: 'the SHA-256 hash of the key in hexadecimal'})
		.check(({key, hash}) => (key === undefined) !== (hash === undefined) || 'exactly one of --key and --hash is required');
}

function getHash({key, hash}: KeyArguments): string {
	return hash ?? hashText(key ?? '');
}
