/** Long-running commands report their progress on the standard error stream. */
import {afterAll, expect, test} from 'vitest';
import {createProgress} from '../src/progress.js';
import {endProcesses, startProcess} from './helpers.js';

const eraseLine = '\r\u{1B}[K';

afterAll(endProcesses);

test.each([
	{
		title: 'on a terminal', isEnabled: true, isTerminal: true, expected: `${eraseLine}0${eraseLine}200${eraseLine}400${eraseLine}`,
	},
	{
		title: 'in a file', isEnabled: true, isTerminal: false, expected: '0\n',
	},
	{
		title: 'while disabled', isEnabled: false, isTerminal: true, expected: '',
	},
])('progress $title', ({isEnabled, isTerminal, expected}) => {
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
	{title: 'enabled', parameters: ['--progress'], expected: /^verify token-bucket: seed 1 of 1 to 2$/mv},
	{title: 'disabled', parameters: [], expected: /^verify token-bucket: 2 seeds from 1 passed$/v},
])('verify with progress $title', async ({parameters, expected}) => {
	const verify = startProcess(['verify', 'token-bucket', '--rounds', '2', ...parameters]);
	expect(await verify.waitForExit()).toBe(0);
	expect(verify.getOutput().trim()).toMatch(expected);
});

test('a bench reports how long it has run', async () => {
	const bench = startProcess(['bench', 'retries', '--seconds', '1', '--progress']);
	await bench.waitForExit();
	expect(bench.getOutput()).toMatch(/^bench retries: \d+ s$/mv);
});
