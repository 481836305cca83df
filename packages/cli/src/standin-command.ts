/** `catkindale standin`: runs stand-ins for platform services and targets, for development and tests only. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {createSilentLogger, parseAddress} from '@catkindale/common';
import {formatManifestIssue, parseManifest, waitForStopSignal} from '@catkindale/node';
import {
	type Standin, startMachineListStandin, startObjectStoreStandin, startTableStandin, startTargetStandin,
} from '@catkindale/standins';
import {exitCodes} from './constants.js';

type StandinArguments = {kind: StandinKind; listen: string; manifest: string | undefined; slots: number; serviceMilliseconds: number; lagMilliseconds: number; seed: number};
type StandinKind = typeof kinds[number];

const kinds = ['table', 'objects', 'machines', 'target'] as const;

export const standinCommand: CommandModule<object, StandinArguments> = {
	command: 'standin <kind>',
	describe: 'run a stand-in for a platform service or a target (development only)',
	builder: (command: Argv<object>) => command
		.positional('kind', {choices: kinds, demandOption: true, describe: 'the service it stands in for'})
		.option('listen', {type: 'string', default: '127.0.0.1:0', describe: 'IP address and port to listen on'})
		.option('manifest', {type: 'string', describe: 'run a target stand-in for each target of this manifest, at its address'})
		.option('slots', {type: 'number', default: 4, describe: 'target: maximum requests in flight'})
		.option('service-milliseconds', {type: 'number', default: 5, describe: 'target: service time of one request'})
		.option('lag-milliseconds', {type: 'number', default: 0, describe: 'machines: delay until a change appears in the list'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of the injected faults'}) as never,
	async handler(options) {
		const standins = options.manifest === undefined ? [await startStandin(options)] : await startManifestTargets(options.manifest, options);
		for (const standin of standins) {
			process.stdout.write(`listening on ${standin.address}\n`);
		}

		await waitForStopSignal({getLogger: createSilentLogger});
		await Promise.all(standins.map(async standin => standin.stop()));
		process.exit(exitCodes.done);
	},
};

/** Starts a stand-in for each target of a manifest. */
async function startManifestTargets(file: string, options: StandinArguments): Promise<Standin[]> {
	const manifest = parseManifest(await readFile(file, 'utf8'));
	if (!manifest.ok) {
		throw new Error(manifest.error.map(issue => `${file}: ${formatManifestIssue(issue)}`).join('\n'));
	}

	const standins: Standin[] = [];
	for (const {address, slots} of manifest.value.targets) {
		standins.push(await startStandin({
			...options, kind: 'target', listen: address, slots,
		}));
	}

	return standins;
}

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
