import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type Attempt, type PoolTarget, type TargetChooser, createTargetChooser,
} from '@catkindale/policy';

const noneExcluded: ReadonlySet<string> = new Set();
const requests = 400;
const usualStepMilliseconds = 10;

type Pool = {
	readonly title: string;
	readonly targets: readonly PoolTarget[];
	/** How an attempt at the target ends. */
	readonly attempt: (target: string, now: number) => Attempt;
	/** The largest part of the requests that the first target may get, and the smallest. */
	readonly most: number;
	readonly least: number;
	readonly stepMilliseconds?: number;
};

const answered: Attempt = {kind: 'answered', milliseconds: 10};
const local: PoolTarget[] = ['a', 'b', 'c', 'd'].map(name => ({name, region: 'oslo'}));

const pools: Pool[] = [
	{
		title: 'targets that are alike get alike', targets: local, attempt: () => answered, most: 0.35, least: 0.15,
	},
	{
		title: 'a slow target gets less', targets: local, attempt: target => ({kind: 'answered', milliseconds: target === 'a' ? 100 : 10}), most: 0.05, least: 0,
	},
	{
		title: 'a target that fails fast gets less', targets: local, attempt: target => target === 'a' ? {kind: 'failed', milliseconds: 1} : answered, most: 0.05, least: 0,
	},
	{
		title: 'a target that can\'t be reached gets just probes', targets: local, attempt: target => target === 'a' ? {kind: 'not-sent', milliseconds: 1} : answered, most: 0.02, least: 0.001,
	},
	{
		title: 'a target that sheds gets less', targets: local, attempt: target => target === 'a' ? {kind: 'shed', milliseconds: 1} : answered, most: 0.15, least: 0,
	},
	{
		title: 'a target that has recovered gets its part again',
		targets: local,
		attempt: (target, now) => target === 'a' && now < 500 ? {kind: 'lost', milliseconds: 1} : answered,
		most: 0.3,
		least: 0.15,
		stepMilliseconds: 100,
	},
	{
		title: 'a target of another region gets nothing while the own ones have free slots',
		targets: [{name: 'a', region: 'bergen'}, ...local.slice(1)],
		attempt: () => answered,
		most: 0,
		least: 0,
	},
	{
		title: 'the targets of other regions serve when the own region has none', targets: local.map(target => ({...target, region: 'bergen'})), attempt: () => answered, most: 0.35, least: 0.15,
	},
];

test.each(pools)('$title', ({targets, attempt, most, least, stepMilliseconds = usualStepMilliseconds}) => {
	const choice = createChoice(targets, 2);
	let first = 0;
	for (let request = 0; request < requests; request++) {
		const now = request * stepMilliseconds;
		const target = choice.choose({excluded: noneExcluded, waitMilliseconds: 0}, now) ?? '';
		choice.start(target, now);
		choice.finish(target, attempt(target, now), now);
		first += target === 'a' ? 1 : 0;
	}

	expect(first / requests).toBeLessThanOrEqual(most);
	expect(first / requests).toBeGreaterThanOrEqual(least);
});

test('when all targets fail alike, at most half of them are cut off', () => {
	const choice = createChoice(local, 2);
	for (let now = 0; now < 500; now++) {
		const target = choice.choose({excluded: noneExcluded, waitMilliseconds: 0}, now) ?? '';
		choice.start(target, now);
		choice.finish(target, {kind: 'failed', milliseconds: 1}, now);
	}

	expect(local.filter(target => choice.getState(target.name)?.isCutOff).length).toBe(2);
});

test('a failed region shifts a limited, growing part to another', () => {
	const remote = Array.from({length: 10}, (_, index) => ({name: `remote-${index}`, region: 'bergen'}));
	const choice = createChoice([...local, ...remote], 2);
	const counts: number[] = [];
	for (let now = 0; now <= 6000; now += 500) {
		const started: string[] = [];
		for (let target = choose(choice, now); target !== undefined; target = choose(choice, now)) {
			choice.start(target, now);
			started.push(target);
		}

		counts.push(started.filter(target => target.startsWith('remote')).length);
		for (const target of started) {
			choice.finish(target, target.startsWith('remote') ? answered : {kind: 'lost', milliseconds: 1}, now + 400);
		}
	}

	expect(counts.slice(1, 4)).toEqual([2, 2, 2]);
	expect(counts.at(-1)).toBeGreaterThan(4);
	expect(counts.at(-1)).toBeLessThanOrEqual(16);
});

test('a region that is well but used up uses all slots held elsewhere', () => {
	const remote = Array.from({length: 10}, (_, index) => ({name: `remote-${index}`, region: 'bergen'}));
	const choice = createChoice([...local, ...remote], 2);
	let started = 0;
	for (let target = choose(choice, 0); target !== undefined; target = choose(choice, 0)) {
		choice.start(target, 0);
		started += 1;
	}

	expect(started).toBe(2 * (local.length + remote.length));
});

test('a target that joins later starts with few slots', () => {
	const choice = createChoice(local, 10);
	choice.setTargets([...local, {name: 'e', region: 'oslo'}], 1000);
	choice.setHeldSlots('e', 10, 1000);
	expect(choice.getState('e')?.usable).toBe(1);
	choice.setHeldSlots('e', 9, 20_000);
	expect(choice.getState('e')?.usable).toBe(9);
});

test.each([
	{title: 'a report of no load raises nothing', report: {isHealthy: true, load: 0}, usable: 10},
	{title: 'a report of full load lowers the slots', report: {isHealthy: true, load: 1}, usable: 5},
	{title: 'a report of ill health lowers the slots, but not to nothing', report: {isHealthy: false, load: 0}, usable: 3},
])('$title', ({report, usable}) => {
	const choice = createChoice(local, 10);
	choice.report('a', {receivedAt: 0, ...report}, 0);
	expect(choice.getState('a')?.usable).toBe(usable);
});

function createChoice(targets: readonly PoolTarget[], held: number): TargetChooser {
	const choice = createTargetChooser({region: 'oslo', random: createRandom(1)});
	choice.setTargets(targets, 0);
	for (const target of targets) {
		choice.setHeldSlots(target.name, held, 0);
	}

	return choice;
}

function choose(choice: TargetChooser, now: number): string | undefined {
	return choice.choose({excluded: noneExcluded, waitMilliseconds: 1000}, now);
}
