/** `catkindale node`: runs one node until SIGTERM or SIGINT, then stops gracefully. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {readSettings, startNode} from '@catkindale/node';
import {exitCodes} from './constants.js';

type NodeArguments = {settings: string};

export const nodeCommand: CommandModule<object, NodeArguments> = {
	command: 'node',
	describe: 'run a node with the given settings',
	builder: command => command.option('settings', {
		type: 'string', demandOption: true, describe: 'the settings file (TOML)',
	}),
	async handler({settings: file}) {
		const node = await startNode(await readSettings(file));
		await waitForStopSignal();
		await node.stop();
		process.exit(exitCodes.done);
	},
};

export async function waitForStopSignal(): Promise<void> {
	await new Promise<void>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.once(signal, () => {
				resolve();
			});
		}
	});
}
