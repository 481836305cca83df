/** Calls of a node's admin interface by the commands. */
import process from 'node:process';
import type {Argv} from 'yargs';
import {request} from 'undici';

export type AdminArguments = {admin: string; token: string; json: boolean};

export type AdminReply = {readonly status: number; readonly body: Record<string, unknown>};

/** Adds the options that every operator's command takes. */
export function addAdminOptions(command: Argv<object>): Argv<AdminArguments> {
	return command
		.option('admin', {type: 'string', default: process.env.CATKINDALE_ADMIN ?? '127.0.0.1:9080', describe: 'address of a node\'s admin interface'})
		.option('token', {type: 'string', default: process.env.CATKINDALE_TOKEN ?? '', describe: 'the operator\'s token (or CATKINDALE_TOKEN)'})
		.option('json', {type: 'boolean', default: false, describe: 'print the answer as JSON'});
}

export async function callAdmin(options: AdminArguments, method: 'GET' | 'POST', path: string, body?: string): Promise<AdminReply> {
	const answer = await request(`http://${options.admin}${path}`, {
		method, body, headers: {authorization: `Bearer ${options.token}`},
	});
	return {status: answer.statusCode, body: await answer.body.json() as Record<string, unknown>};
}
