/** `catkindale node`: runs one node until a signal asks it to stop, then stops gracefully. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {createLogger, createSilentLogger} from '@catkindale/common';
import {readSettings, startNode, waitForStopSignal} from '@catkindale/node';
import {exitCodes} from './constants.js';

type NodeArguments = {settings: string};

export const nodeCommand: CommandModule<object, NodeArguments> = {
	command: 'node',
	describe: 'run a node with the given settings',
	builder: command => command.option('settings', {
		type: 'string', demandOption: true, describe: 'the settings file (TOML)',
	}),
	async handler({settings: file}) {
		// The reader of the log may close it. Without a listener, the next line would end the process and its requests.
		process.stderr.on('error', () => undefined);
		let logger = createSilentLogger();
		const stopSignal = waitForStopSignal({getLogger: () => logger});
		const settings = await readSettings(file);
		logger = createLogger(settings.node.name);
		const node = await startNode(settings, {logger});
		logger.info('stopping', {signal: await stopSignal});
		await node.stop();
		process.exit(exitCodes.done);
	},
};
