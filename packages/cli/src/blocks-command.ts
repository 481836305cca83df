/** `catkindale blocks`: uploads a snapshot of client blocks to the object store, for a manifest to refer to. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {encodeClientBlocks} from '@catkindale/node';
import {objectDrivers} from '@catkindale/ports';
import {
	changeClientBlocks, createClientBlockTable, runToCompletion, parseClientBlockText,
} from '@catkindale/policy';
import {exitCodes} from './constants.js';

type BlocksArguments = {file: string; objects: string; driver: string; json: boolean};

const timeoutMilliseconds = 30_000;

export const blocksCommand: CommandModule<object, BlocksArguments> = {
	command: 'blocks <file>',
	describe: 'upload client blocks to the object store and print the snapshot name for the manifest',
	builder: command => command
		.positional('file', {type: 'string', demandOption: true, describe: 'the file of client blocks, with lines such as "10.1.0.0/16 oslo=3 bergen"'})
		.option('objects', {type: 'string', demandOption: true, describe: 'address of the object store, for example http://10.0.0.1:5001'})
		.option('driver', {type: 'string', default: 'http', describe: 'driver of the object store'})
		.option('json', {type: 'boolean', default: false, describe: 'print JSON'}),
	async handler({file, objects, driver, json}) {
		const changes = parseClientBlockText(await readFile(file, 'utf8'));
		if (!changes.ok) {
			const lines = changes.error.map(({line, reason}) => `${file}:${line}: ${reason}\n`);
			process.stderr.write(lines.join(''));
			process.exitCode = exitCodes.failed;
			return;
		}

		const {name, content} = encodeClientBlocks(runToCompletion(changeClientBlocks(createClientBlockTable(), changes.value)));
		const store = objectDrivers.open(driver, {address: objects, timeoutMilliseconds, maximumCallsInFlight: 1});
		const outcome = await store.put(name, content);
		await store.close();
		if (outcome.kind !== 'done') {
			process.stderr.write(`catkindale: ${outcome.kind}: ${outcome.reason}; the command can safely be repeated\n`);
			process.exitCode = exitCodes.failed;
			return;
		}

		const text = `${changes.value.length} blocks, ${content.length} bytes; in the manifest:\nclientBlockSnapshot = "${name}"\n`;
		process.stdout.write(json ? `${JSON.stringify({name, blocks: changes.value.length, bytes: content.length})}\n` : text);
	},
};
