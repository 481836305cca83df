/** Client of a node's admin interface, used by the operator commands. */
import process from 'node:process';
import type {Argv} from 'yargs';
import {request} from 'undici';

export type AdminArguments = {admin: string; token: string; json: boolean};

export type AdminResponse = {readonly status: number; readonly body: Record<string, unknown>};

/** Adds the options common to all operator commands: admin address, token, JSON output. */
export function addAdminOptions(command: Argv<object>): Argv<AdminArguments> {
	return command
		.option('admin', {type: 'string', default: process.env.CATKINDALE_ADMIN ?? '127.0.0.1:9080', describe: 'address of a node\'s admin interface'})
		.option('token', {type: 'string', default: process.env.CATKINDALE_TOKEN ?? '', describe: 'the operator\'s token (or CATKINDALE_TOKEN)'})
		.option('json', {type: 'boolean', default: false, describe: 'print the response as JSON'});
}

export async function callAdmin(options: AdminArguments, method: 'GET' | 'POST', path: string, body?: string): Promise<AdminResponse> {
	const response = await request(`http://${options.admin}${path}`, {
		method, body, headers: {authorization: `Bearer ${options.token}`},
	});
	return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
}
