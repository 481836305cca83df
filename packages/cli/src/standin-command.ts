/** `catkindale standin`: small stand-ins of the platform, for development and tests only. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {parseAddress} from '@catkindale/common';
import {
	type Standin, startMachineListStandin, startObjectStoreStandin, startTableStandin, startTargetStandin,
} from '@catkindale/standins';
import {exitCodes} from './constants.js';
import {waitForStopSignal} from './node-command.js';

type StandinArguments = {kind: StandinKind; listen: string; slots: number; serviceMilliseconds: number; lagMilliseconds: number; seed: number};
type StandinKind = typeof kinds[number];

const kinds = ['table', 'objects', 'machines', 'target'] as const;

export const standinCommand: CommandModule<object, StandinArguments> = {
	command: 'standin <kind>',
	describe: 'run a stand-in of the platform or of a target (development only)',
	builder: (command: Argv<object>) => command
		.positional('kind', {choices: kinds, demandOption: true, describe: 'what it stands for'})
		.option('listen', {type: 'string', default: '127.0.0.1:0', describe: 'IP number and port'})
		.option('slots', {type: 'number', default: 4, describe: 'target: requests in flight'})
		.option('service-milliseconds', {type: 'number', default: 5, describe: 'target: time for one request'})
		.option('lag-milliseconds', {type: 'number', default: 0, describe: 'machines: lag of the list'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of injected faults'}) as never,
	async handler(options) {
		const standin = await startStandin(options);
		process.stdout.write(`listening on ${standin.address}\n`);
		await waitForStopSignal();
		await standin.stop();
		process.exit(exitCodes.done);
	},
};

async function startStandin(options: StandinArguments): Promise<Standin> {
	const address = parseAddress(options.listen);
	if (!address.ok) {
		throw new Error(address.error);
	}

	switch (options.kind) {
		case 'table': {
			return startTableStandin(address.value, options.seed);
		}

		case 'objects': {
			return startObjectStoreStandin(address.value);
		}

		case 'machines': {
			return startMachineListStandin(address.value, options.lagMilliseconds);
		}

		case 'target': {
			return startTargetStandin(address.value, {slots: options.slots, serviceMilliseconds: options.serviceMilliseconds}, options.seed);
		}
	}
}
