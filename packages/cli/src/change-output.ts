/** What the commands that change the configuration have in common. */
import {userInfo} from 'node:os';
import process from 'node:process';
import type {Argv} from 'yargs';
import type {AdminArguments, AdminReply} from './admin-client.js';
import {exitCodes} from './constants.js';

type ReportedRegion = {readonly region: string; readonly state: string; readonly missing: readonly string[]};

const statusDone = 200;

/** Adds `--author`, the name under which the change is kept. */
export function addAuthorOption(command: Argv<AdminArguments>): Argv<AdminArguments & {author: string}> {
	return command.option('author', {type: 'string', default: process.env.CATKINDALE_AUTHOR ?? userInfo().username, describe: 'who makes the change (or CATKINDALE_AUTHOR)'});
}

/** Prints the answer and sets the exit code; only `accepted` is a success. */
export function printChange(reply: AdminReply, isJson: boolean): void {
	process.stdout.write(isJson ? `${JSON.stringify(reply.body)}\n` : describeChange(reply.body));
	process.exitCode = reply.status === statusDone ? exitCodes.done : exitCodes.failed;
}

function describeChange(body: Record<string, unknown>): string {
	const regions = Array.isArray(body.regions) ? (body.regions as ReportedRegion[]).map(region => describeRegion(region)).join('') : '';
	if (body.result === 'accepted') {
		return `accepted at version ${String(body.version)}\n${regions}`;
	}

	const issues = Array.isArray(body.issues) ? body.issues.map(issue => `  ${String(issue)}\n`).join('') : '';
	const detail = typeof body.detail === 'string' ? body.detail : 'the manifest has faults';
	return `${String(body.result)}: ${detail}\n${issues}${regions}`;
}

export function describeRegion({region, state, missing}: ReportedRegion): string {
	return `  ${region}: ${state}${missing.length > 0 ? ` (waiting for ${missing.join(', ')})` : ''}\n`;
}
