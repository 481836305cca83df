/** Long commands tell on the standard error stream how far they are. */
import {afterAll, expect, test} from 'vitest';
import {createProgress} from '../src/progress.js';
import {endProcesses, startProcess} from './helpers.js';

const erase = '\r\u{1B}[K';

afterAll(endProcesses);

test.each([
	{
		title: 'a terminal', isEnabled: true, isTerminal: true, expected: `${erase}0${erase}200${erase}400${erase}`,
	},
	{
		title: 'a file', isEnabled: true, isTerminal: false, expected: '0\n',
	},
	{
		title: 'nobody', isEnabled: false, isTerminal: true, expected: '',
	},
])('progress for $title', ({isEnabled, isTerminal, expected}) => {
	let output = '';
	let now = 0;
	const progress = createProgress({
		isEnabled,
		isTerminal,
		write(text) {
			output += text;
		},
		now: () => now,
	});
	for (now = 0; now <= 400; now += 100) {
		progress.report(String(now));
	}

	progress.clear();
	progress.clear();
	expect(output).toBe(expected);
});

test.each([
	{title: 'wanted', parameters: ['--progress'], expected: /^verify token-bucket: seed 1 of 1 to 2$/mv},
	{title: 'not wanted', parameters: [], expected: /^verify token-bucket: 2 seeds from 1 passed$/v},
])('verify with progress $title', async ({parameters, expected}) => {
	const verify = startProcess(['verify', 'token-bucket', '--rounds', '2', ...parameters]);
	expect(await verify.exit()).toBe(0);
	expect(verify.output().trim()).toMatch(expected);
});

test('a bench tells how long it has run', async () => {
	const bench = startProcess(['bench', 'retries', '--seconds', '1', '--progress']);
	await bench.exit();
	expect(bench.output()).toMatch(/^bench retries: \d+ s$/mv);
});
