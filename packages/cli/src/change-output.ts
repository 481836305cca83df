/** Options and output common to the commands that change the configuration. */
import {userInfo} from 'node:os';
import process from 'node:process';
import type {Argv} from 'yargs';
import type {AdminArguments, AdminResponse} from './admin-client.js';
import {exitCodes} from './constants.js';

type ReportedRegion = {readonly region: string; readonly state: string; readonly missing: readonly string[]};

const statusOk = 200;

/** Adds `--author`, the name that is recorded with the change. */
export function addAuthorOption(command: Argv<AdminArguments>): Argv<AdminArguments & {author: string}> {
	return command.option('author', {type: 'string', default: process.env.CATKINDALE_AUTHOR ?? userInfo().username, describe: 'who makes the change (or CATKINDALE_AUTHOR)'});
}

/** Prints the response and sets the exit code: success only if the change was accepted (status 200). */
export function printChange(response: AdminResponse, isJson: boolean): void {
	process.stdout.write(isJson ? `${JSON.stringify(response.body)}\n` : describeChange(response.body));
	process.exitCode = response.status === statusOk ? exitCodes.done : exitCodes.failed;
}

function describeChange(body: Record<string, unknown>): string {
	const regions = Array.isArray(body.regions) ? (body.regions as ReportedRegion[]).map(region => describeRegion(region)).join('') : '';
	if (body.result === 'accepted') {
		return `accepted at version ${String(body.version)}\n${regions}`;
	}

	const issues = Array.isArray(body.issues) ? body.issues.map(issue => `  ${String(issue)}\n`).join('') : '';
	const detail = typeof body.detail === 'string' ? body.detail : 'the manifest has errors';
	return `${String(body.result)}: ${detail}\n${issues}${regions}`;
}

export function describeRegion({region, state, missing}: ReportedRegion): string {
	return `  ${region}: ${state}${missing.length > 0 ? ` (waiting for ${missing.join(', ')})` : ''}\n`;
}
