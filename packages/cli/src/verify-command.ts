/** `catkindale verify`: runs randomised simulations that assert invariants, for a number of seeds or a duration. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import {getErrorMessage, millisecondsPerSecond} from '@catkindale/common';
import {exitCodes} from './constants.js';
import {createProcessProgress} from './progress.js';
import {type Verification, getVerifications} from './verification-registry.js';
import './verifications.js';

type VerifyArguments = {name: string | undefined; seed: number; rounds: number; seconds: number | undefined; progress: boolean | undefined};

const defaultRounds = 100;

export const verifyCommand: CommandModule<object, VerifyArguments> = {
	command: 'verify [name]',
	describe: 'run randomised simulations that assert invariants',
	builder: (command: Argv<object>) => command
		.positional('name', {choices: getVerifications().map(verification => verification.name), describe: 'the verification to run; all by default'})
		.option('seed', {type: 'number', default: 1, describe: 'the first seed'})
		.option('rounds', {type: 'number', default: defaultRounds, describe: 'the number of seeds'})
		.option('seconds', {type: 'number', describe: 'run seeds for this many seconds instead of a number of rounds'})
		.option('progress', {type: 'boolean', describe: 'report progress on the standard error stream; on by default on a terminal'})
		.epilogue(getVerifications().map(verification => `${verification.name}: ${verification.describe}`).join('\n')),
	async handler(options) {
		const chosen = getVerifications().filter(verification => options.name === undefined || verification.name === options.name);
		let failures = 0;
		for (const verification of chosen) {
			failures += await runSeeds(verification, options);
		}

		process.exit(failures === 0 ? exitCodes.done : exitCodes.failed);
	},
};

async function runSeeds(verification: Verification, options: VerifyArguments): Promise<number> {
	const startedAt = performance.now();
	const isDone = (round: number): boolean => options.seconds === undefined
		? round >= options.rounds
		: performance.now() - startedAt >= options.seconds * millisecondsPerSecond;
	const progress = createProcessProgress(options.progress);
	const end = options.seconds === undefined ? `${options.seed + options.rounds - 1}` : `${options.seconds} s`;
	let round = 0;
	for (; !isDone(round); round++) {
		const seed = options.seed + round;
		progress.report(`verify ${verification.name}: seed ${seed} of ${options.seed} to ${end}`);
		try {
			await verification.run(seed);
		} catch (error) {
			progress.clear();
			process.stdout.write(`verify ${verification.name}: seed ${seed} FAILED: ${getErrorMessage(error)}\n`);
			return 1;
		}
	}

	progress.clear();
	process.stdout.write(`verify ${verification.name}: ${round} seeds from ${options.seed} passed\n`);
	return 0;
}
