/** `catkindale bench`: measures the product and compares it with baselines. */
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
	describe: 'measure the product and compare it with baselines',
	builder: (command: Argv<object>) => command
		.positional('name', {choices: getBenches().map(bench => bench.name), demandOption: true, describe: 'name of the bench'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of the random generator'})
		.option('seconds', {type: 'number', default: defaultSeconds, describe: 'duration of each phase'})
		.option('output', {type: 'string', describe: 'HTML file for the plot, for benches that draw one'})
		.option('progress', {type: 'boolean', describe: 'report the elapsed time on standard error; default: only on a terminal'})
		.epilogue(getBenches().map(bench => `${bench.name}: ${bench.describe}`).join('\n')),
	async handler({name, seed, seconds, output, progress: isProgressRequested}) {
		const bench = getBenches().find(candidate => candidate.name === name);
		const progress = createProcessProgress(isProgressRequested);
		const startedAt = performance.now();
		const reportProgress = (): void => {
			progress.report(`bench ${name}: ${Math.round((performance.now() - startedAt) / millisecondsPerSecond)} s`);
		};

		reportProgress();
		const timer = setInterval(reportProgress, millisecondsPerSecond);
		const areTargetsMet = await bench?.run({
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
		process.exit(areTargetsMet ? exitCodes.done : exitCodes.failed);
	},
};
