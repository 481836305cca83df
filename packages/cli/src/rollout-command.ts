/** `catkindale rollout status|halt|resume`: reports, halts and resumes rollouts. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {
	type AdminArguments, type AdminResponse, addAdminOptions, callAdmin,
} from './admin-client.js';
import {exitCodes} from './constants.js';

const actions = ['status', 'halt', 'resume'] as const;

type RolloutArguments = AdminArguments & {action: typeof actions[number]; name: string | undefined; reason: string | undefined};

type HistoryRecord = {at: number; phase: string; step: number; share: number; reason: string};
type ListedRollout = {
	name: string; service: string; from: string; to: string; phase: string; step: number; share: number; deadline: string;
	shares: number[]; reason: string; suspicion?: number; samples?: number; history: HistoryRecord[];
};

const statusOk = 200;
const percent = 100;

export const rolloutCommand: CommandModule<object, RolloutArguments> = {
	command: 'rollout <action> [name]',
	describe: 'show rollouts, halt one immediately, or resume a halted one',
	builder: (command: Argv<object>) => addAdminOptions(command)
		.positional('action', {choices: actions, demandOption: true, describe: 'the action'})
		.positional('name', {type: 'string', describe: 'the name of the rollout; status shows all by default'})
		.option('reason', {type: 'string', describe: 'the reason for the halt, shown by status'})
		.check(({action, name}) => action === 'status' || name !== undefined || `rollout ${String(action)} needs the name of a rollout`),
	async handler(options) {
		const response = await requestRollouts(options);
		process.stdout.write(options.json ? `${JSON.stringify(response.body)}\n` : describeResponse(response, options.name));
		process.exitCode = response.status === statusOk ? exitCodes.done : exitCodes.failed;
	},
};

async function requestRollouts(options: RolloutArguments): Promise<AdminResponse> {
	if (options.action === 'status') {
		return callAdmin(options, 'GET', '/v1/rollouts');
	}

	const query = new URLSearchParams({name: options.name ?? ''});
	if (options.reason !== undefined) {
		query.set('reason', options.reason);
	}

	return callAdmin(options, 'POST', `/v1/rollouts/${options.action}?${query.toString()}`);
}

function describeResponse({body}: AdminResponse, name: string | undefined): string {
	if (!Array.isArray(body.rollouts)) {
		return `${String(body.result)}${typeof body.detail === 'string' ? `: ${body.detail}` : ''}\n`;
	}

	const rollouts = (body.rollouts as ListedRollout[]).filter(rollout => name === undefined || rollout.name === name);
	const lines = rollouts.flatMap(rollout => describeRollout(rollout));
	const source = `as read from ${String(body.source)}`;
	return lines.length === 0 ? `no rollouts, ${source}\n` : [`rollouts, ${source}:`, ...lines, ''].join('\n');
}

function describeRollout(rollout: ListedRollout): string[] {
	const {name, service, from, to, phase, step, shares, deadline, reason} = rollout;
	const head = `${name}: ${service} ${from} -> ${to}, ${phase}, step ${step + 1} of ${shares.length}, share ${formatShare(rollout.share)}, deadline ${deadline}, ${reason}`;
	const suspicion = rollout.suspicion === undefined ? [] : [`  samples ${rollout.samples ?? 0}, suspicion ${formatShare(rollout.suspicion)}`];
	const history = rollout.history.map(record =>
		`  ${new Date(record.at).toISOString()}  ${record.phase}  step ${record.step + 1}  share ${formatShare(record.share)}  ${record.reason}`);
	return [head, ...suspicion, ...history];
}

function formatShare(share: number): string {
	return `${(share * percent).toFixed(1)}%`;
}
