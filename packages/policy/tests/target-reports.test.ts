/** What targets report of themselves can lower what they get, and nothing else. */
import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type Member, type TargetChooser, type TargetReport, createTargetChooser, getReportReaders,
} from '@catkindale/policy';

const held = 8;
const names = ['a', 'b', 'c', 'd'];
const reportLifeMilliseconds = 10_000;

type Case = {
	readonly title: string;
	/** The reports at time 0 by target. */
	readonly reports: Record<string, Partial<TargetReport>>;
	readonly at: number;
	readonly usable: readonly number[];
};

const unhealthy = {isHealthy: false};
const cases: Case[] = [
	{
		title: 'healthy without load changes nothing', reports: {a: {}}, at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'unhealthy lowers to a quarter', reports: {a: unhealthy}, at: 0, usable: [2, 8, 8, 8],
	},
	{
		title: 'full load lowers to half', reports: {a: {load: 1}}, at: 0, usable: [4, 8, 8, 8],
	},
	{
		title: 'half of the targets may be lowered', reports: {a: unhealthy, b: unhealthy}, at: 0, usable: [2, 2, 8, 8],
	},
	{
		title: 'more than half are not believed', reports: {a: unhealthy, b: unhealthy, c: unhealthy}, at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'all that report full load keep their slots', reports: Object.fromEntries(names.map(name => [name, {load: 1}])), at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'a report is forgotten after its life', reports: {a: unhealthy}, at: reportLifeMilliseconds + 1, usable: [8, 8, 8, 8],
	},
];

test.each(cases)('$title', ({reports, at, usable}) => {
	const choice = createChoice();
	for (const [name, report] of Object.entries(reports)) {
		choice.report(name, createReport(report), 0);
	}

	useOnce(choice, at);
	expect(names.map(name => choice.getState(name)?.usable)).toEqual(usable);
});

test('a report of good health doesn\'t end a pause after losses', () => {
	const choice = createChoice();
	for (let attempt = 0; attempt < 2; attempt++) {
		choice.start('a', 0);
		choice.finish('a', {kind: 'lost', milliseconds: 1}, 0);
	}

	choice.report('a', createReport({}), 1);
	expect(choice.getState('a')).toMatchObject({isCutOff: true, usable: 0});
});

test('a region whose targets are believed again lowers the one that still reports ill', () => {
	const choice = createChoice();
	for (const name of names) {
		choice.report(name, createReport(unhealthy), 0);
	}

	for (const name of names.slice(1)) {
		choice.report(name, createReport({receivedAt: 1000}), 1000);
	}

	expect(names.map(name => choice.getState(name)?.usable)).toEqual([2, 8, 8, 8]);
});

const members = ['oslo', 'bergen'].flatMap(region => [1, 2, 3].map(index => createMember(`${region}-${index}`, region)));

test.each([
	{
		title: 'two members of the target\'s region', region: 'oslo', among: members, count: 2,
	},
	{
		title: 'members of other regions where its own has none', region: 'tromso', among: members, count: 2,
	},
	{
		title: 'the only member', region: 'oslo', among: members.slice(0, 1), count: 1,
	},
])('a target is read by $title', ({region, among, count}) => {
	const readers = getReportReaders({name: 'pricing-1', region}, among);
	expect(readers.length).toBe(count);
	const local = among.filter(member => member.region === region);
	expect(readers.every(reader => (local.length > 0 ? local : among).some(({id}) => id === reader.id))).toBe(true);
});

function createChoice(): TargetChooser {
	const choice = createTargetChooser({region: 'oslo', random: createRandom(1)});
	choice.setTargets(names.map(name => ({name, region: 'oslo'})), 0);
	for (const name of names) {
		choice.setHeldSlots(name, held, 0);
	}

	return choice;
}

/** A slot factor is worked out again when a request ends. */
function useOnce(choice: TargetChooser, now: number): void {
	for (const name of names) {
		choice.start(name, now);
		choice.finish(name, {kind: 'answered', milliseconds: 10}, now);
	}
}

function createReport(change: Partial<TargetReport>): TargetReport {
	return {
		receivedAt: 0, isHealthy: true, load: 0, ...change,
	};
}

function createMember(id: string, region: string): Member {
	return {
		id, region, incarnation: id, zone: `${region}-a`, callerAddress: '', peerAddress: '', state: 'live',
	};
}
