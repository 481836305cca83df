/** `catkindale demo`: runs stand-ins, three nodes and a few callers in one process. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {exitCodes} from './constants.js';
import {runDemo} from './demo.js';

export const demoCommand: CommandModule = {
	command: 'demo',
	describe: 'run a small fleet in this process and show what happens',
	async handler() {
		const isServed = await runDemo(line => {
			process.stdout.write(`${line}\n`);
		});
		process.exit(isServed ? exitCodes.done : exitCodes.failed);
	},
};
