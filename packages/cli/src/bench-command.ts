/** `catkindale bench`: measures the product beside named baselines of its own. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {millisecondsPerSecond} from '@catkindale/common';
import {getBenches} from './bench-registry.js';
import {exitCodes} from './constants.js';
import {createProcessProgress} from './progress.js';
import './benches.js';

type BenchArguments = {name: string; seed: number; seconds: number; output: string | undefined; progress: boolean | undefined};

const defaultSeconds = 10;

export const benchCommand: CommandModule<object, BenchArguments> = {
	command: 'bench <name>',
	describe: 'measure the product beside its baselines',
	builder: (command: Argv<object>) => command
		.positional('name', {choices: getBenches().map(bench => bench.name), demandOption: true, describe: 'what to measure'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of all random choices'})
		.option('seconds', {type: 'number', default: defaultSeconds, describe: 'how long each part runs'})
		.option('output', {type: 'string', describe: 'file for a plot in HTML, where the bench draws one'})
		.option('progress', {type: 'boolean', describe: 'tell on the standard error stream how long it has run; on a terminal by default'})
		.epilogue(getBenches().map(bench => `${bench.name}: ${bench.describe}`).join('\n')),
	async handler({name, seed, seconds, output, progress: isProgressWanted}) {
		const bench = getBenches().find(candidate => candidate.name === name);
		const progress = createProcessProgress(isProgressWanted);
		const startedAt = performance.now();
		const tell = (): void => {
			progress.report(`bench ${name}: ${Math.round((performance.now() - startedAt) / millisecondsPerSecond)} s`);
		};

		tell();
		const timer = setInterval(tell, millisecondsPerSecond);
		const isOnTarget = await bench?.run({
			seed,
			seconds,
			output,
			print(line) {
				progress.clear();
				process.stdout.write(`${line}\n`);
			},
		});
		clearInterval(timer);
		progress.clear();
		process.exit(isOnTarget ? exitCodes.done : exitCodes.failed);
	},
};
