/** `catkindale status`: versions in force and members. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {exitCodes} from './constants.js';

type ListedMember = {id: string; region: string; zone: string; state: string; configurationVersion?: number};

const statusDone = 200;

export const statusCommand: CommandModule<object, AdminArguments> = {
	command: 'status',
	describe: 'show versions in force and members',
	builder: addAdminOptions,
	async handler(options) {
		const reply = await callAdmin(options, 'GET', '/v1/status');
		process.stdout.write(options.json ? `${JSON.stringify(reply.body)}\n` : describeStatus(reply.body));
		process.exitCode = reply.status === statusDone ? exitCodes.done : exitCodes.failed;
	},
};

function describeStatus(body: Record<string, unknown>): string {
	if (!Array.isArray(body.members)) {
		return `${String(body.detail)}\n`;
	}

	const members = body.members as ListedMember[];
	const lines = members.map(member => `  ${member.id}  ${member.region}/${member.zone}  ${member.state}  version ${member.configurationVersion ?? 'unknown'}`);
	return [`configuration version ${String(body.configurationVersion)}`, ...lines, ''].join('\n');
}
