/** `catkindale status`: shows the configuration version, the members and the latest changes. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {type AdminArguments, addAdminOptions, callAdmin} from './admin-client.js';
import {describeRegion} from './change-output.js';
import {exitCodes} from './constants.js';

type ListedMember = {id: string; region: string; zone: string; state: string; isServing?: boolean; configurationVersion?: number};
type ListedChange = {version: number; changeId: string; author: string};
type ListedRestriction = {id: string; kind: string; author: string};

const maximumListedChanges = 5;
const statusOk = 200;

export const statusCommand: CommandModule<object, AdminArguments> = {
	command: 'status',
	describe: 'show the configuration version, the members and the latest changes',
	builder: addAdminOptions,
	async handler(options) {
		const response = await callAdmin(options, 'GET', '/v1/status');
		process.stdout.write(options.json ? `${JSON.stringify(response.body)}\n` : describeStatus(response.body));
		process.exitCode = response.status === statusOk ? exitCodes.done : exitCodes.failed;
	},
};

function describeStatus(body: Record<string, unknown>): string {
	if (!Array.isArray(body.members)) {
		return `${String(body.detail)}\n`;
	}

	const members = body.members as ListedMember[];
	const lines = members.map(member => describeMember(member));
	const regions = (body.regions as Array<Parameters<typeof describeRegion>[0]>).map(region => describeRegion(region).trimEnd());
	const changes = (body.changes as ListedChange[]).slice(-maximumListedChanges).map(change => `  version ${change.version} by ${change.author}, change ${change.changeId}`);
	const restrictions = (body.restrictions as ListedRestriction[]).map(restriction => `  ${restriction.kind} by ${restriction.author}, ${restriction.id}: not recorded in the table yet`);
	return [`configuration version ${String(body.configurationVersion)}`, ...regions, 'members', ...lines, 'latest changes', ...changes, ...restrictions, ''].join('\n');
}

function describeMember({id, region, zone, state, configurationVersion, isServing}: ListedMember): string {
	const note = isServing === false ? '  not in lookups' : '';
	return `  ${id}  ${region}/${zone}  ${state}  version ${configurationVersion ?? 'unknown'}${note}`;
}
