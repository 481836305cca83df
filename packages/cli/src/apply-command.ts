/** `catkindale apply`: applies a manifest as one versioned change. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {exitCodes} from './constants.js';

type ApplyArguments = AdminArguments & {manifest: string; ifVersion: number | undefined};

const statusDone = 200;

export const applyCommand: CommandModule<object, ApplyArguments> = {
	command: 'apply <manifest>',
	describe: 'apply a manifest as one change',
	builder: command => addAdminOptions(command)
		.positional('manifest', {type: 'string', demandOption: true, describe: 'the manifest file (TOML)'})
		.option('if-version', {type: 'number', describe: 'refuse unless the configuration is at this version'}) as never,
	async handler(options) {
		const manifest = await readFile(options.manifest, 'utf8');
		const query = options.ifVersion === undefined ? '' : `?if-version=${options.ifVersion}`;
		const reply = await callAdmin(options, 'POST', `/v1/configuration${query}`, manifest);
		process.stdout.write(options.json ? `${JSON.stringify(reply.body)}\n` : describeReply(reply.body));
		process.exitCode = reply.status === statusDone ? exitCodes.done : exitCodes.failed;
	},
};

function describeReply(body: Record<string, unknown>): string {
	if (body.result === 'accepted') {
		return `accepted at version ${String(body.version)}\n`;
	}

	const issues = Array.isArray(body.issues) ? body.issues.map(issue => `  ${String(issue)}\n`).join('') : '';
	const detail = typeof body.detail === 'string' ? body.detail : 'the manifest has faults';
	return `${String(body.result)}: ${detail}\n${issues}`;
}
