import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type Attempt, type PoolTarget, type TargetChooser, createTargetChooser,
} from '@catkindale/policy';

const noneExcluded: ReadonlySet<string> = new Set();
const requests = 400;
const defaultStepMilliseconds = 10;

type Pool = {
	readonly title: string;
	readonly targets: readonly PoolTarget[];
	/** Returns the outcome of an attempt at the target. */
	readonly attempt: (target: string, now: number) => Attempt;
	/** Bounds of the fraction of requests that the first target receives. */
	readonly maximumFraction: number;
	readonly minimumFraction: number;
	readonly stepMilliseconds?: number;
};

const answered: Attempt = {kind: 'answered', milliseconds: 10};
const local: PoolTarget[] = ['a', 'b', 'c', 'd'].map(name => ({name, region: 'oslo'}));

const pools: Pool[] = [
	{
		title: 'equal targets receive equal fractions', targets: local, attempt: () => answered, maximumFraction: 0.35, minimumFraction: 0.15,
	},
	{
		title: 'a slow target receives less', targets: local, attempt: target => ({kind: 'answered', milliseconds: target === 'a' ? 100 : 10}), maximumFraction: 0.05, minimumFraction: 0,
	},
	{
		title: 'a target that fails fast receives less', targets: local, attempt: target => target === 'a' ? {kind: 'failed', milliseconds: 1} : answered, maximumFraction: 0.05, minimumFraction: 0,
	},
	{
		title: 'an unreachable target receives only probes',
		targets: local,
		attempt: target => target === 'a' ? {kind: 'not-sent', milliseconds: 1} : answered,
		maximumFraction: 0.02,
		minimumFraction: 0.001,
	},
	{
		title: 'a target that sheds receives less', targets: local, attempt: target => target === 'a' ? {kind: 'shed', milliseconds: 1} : answered, maximumFraction: 0.15, minimumFraction: 0,
	},
	{
		title: 'a target that has recovered receives its full fraction again',
		targets: local,
		attempt: (target, now) => target === 'a' && now < 500 ? {kind: 'lost', milliseconds: 1} : answered,
		maximumFraction: 0.3,
		minimumFraction: 0.15,
		stepMilliseconds: 100,
	},
	{
		title: 'a remote target receives nothing while local ones have free slots',
		targets: [{name: 'a', region: 'bergen'}, ...local.slice(1)],
		attempt: () => answered,
		maximumFraction: 0,
		minimumFraction: 0,
	},
	{
		title: 'remote targets are used if the local region has none',
		targets: local.map(target => ({...target, region: 'bergen'})),
		attempt: () => answered,
		maximumFraction: 0.35,
		minimumFraction: 0.15,
	},
];

test.each(pools)('$title', ({targets, attempt, maximumFraction, minimumFraction, stepMilliseconds = defaultStepMilliseconds}) => {
	const chooser = createChooser(targets, 2);
	let first = 0;
	for (let request = 0; request < requests; request++) {
		const now = request * stepMilliseconds;
		const target = chooser.choose({excluded: noneExcluded, waitMilliseconds: 0}, now) ?? '';
		chooser.start(target, now);
		chooser.finish(target, attempt(target, now), now);
		first += target === 'a' ? 1 : 0;
	}

	expect(first / requests).toBeLessThanOrEqual(maximumFraction);
	expect(first / requests).toBeGreaterThanOrEqual(minimumFraction);
});

test('when all targets fail, at most half of them are cut off', () => {
	const chooser = createChooser(local, 2);
	for (let now = 0; now < 500; now++) {
		const target = chooser.choose({excluded: noneExcluded, waitMilliseconds: 0}, now) ?? '';
		chooser.start(target, now);
		chooser.finish(target, {kind: 'failed', milliseconds: 1}, now);
	}

	expect(local.filter(target => chooser.getState(target.name)?.isCutOff).length).toBe(2);
});

test('a failed region spills a limited, growing number of requests over to another', () => {
	const remote = Array.from({length: 10}, (_, index) => ({name: `remote-${index}`, region: 'bergen'}));
	const chooser = createChooser([...local, ...remote], 2);
	const counts: number[] = [];
	for (let now = 0; now <= 6000; now += 500) {
		const started: string[] = [];
		for (let target = choose(chooser, now); target !== undefined; target = choose(chooser, now)) {
			chooser.start(target, now);
			started.push(target);
		}

		counts.push(started.filter(target => target.startsWith('remote')).length);
		for (const target of started) {
			chooser.finish(target, target.startsWith('remote') ? answered : {kind: 'lost', milliseconds: 1}, now + 400);
		}
	}

	expect(counts.slice(1, 4)).toEqual([2, 2, 2]);
	expect(counts.at(-1)).toBeGreaterThan(4);
	expect(counts.at(-1)).toBeLessThanOrEqual(16);
});

test('a healthy but full region uses all held slots of a remote region', () => {
	const remote = Array.from({length: 10}, (_, index) => ({name: `remote-${index}`, region: 'bergen'}));
	const chooser = createChooser([...local, ...remote], 2);
	let started = 0;
	for (let target = choose(chooser, 0); target !== undefined; target = choose(chooser, 0)) {
		chooser.start(target, 0);
		started += 1;
	}

	expect(started).toBe(2 * (local.length + remote.length));
});

test('a target that is added later starts with few slots', () => {
	const chooser = createChooser(local, 10);
	chooser.setTargets([...local, {name: 'e', region: 'oslo'}], 1000);
	chooser.setHeldSlots('e', 10, 1000);
	expect(chooser.getState('e')?.usable).toBe(1);
	chooser.setHeldSlots('e', 9, 20_000);
	expect(chooser.getState('e')?.usable).toBe(9);
});

test.each([
	{title: 'a report of no load doesn\'t increase the slots', report: {isHealthy: true, load: 0}, usable: 10},
	{title: 'a report of full load reduces the slots', report: {isHealthy: true, load: 1}, usable: 5},
	{title: 'an unhealthy report reduces the slots, but not to 0', report: {isHealthy: false, load: 0}, usable: 3},
])('$title', ({report, usable}) => {
	const chooser = createChooser(local, 10);
	chooser.report('a', {receivedAt: 0, ...report}, 0);
	expect(chooser.getState('a')?.usable).toBe(usable);
});

function createChooser(targets: readonly PoolTarget[], held: number): TargetChooser {
	const chooser = createTargetChooser({region: 'oslo', random: createRandom(1)});
	chooser.setTargets(targets, 0);
	for (const target of targets) {
		chooser.setHeldSlots(target.name, held, 0);
	}

	return chooser;
}

function choose(chooser: TargetChooser, now: number): string | undefined {
	return chooser.choose({excluded: noneExcluded, waitMilliseconds: 1000}, now);
}
