/** Reports of targets can only reduce their usable slots. */
import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {
	type Member, type TargetChooser, type TargetReport, createTargetChooser, getReportReaders,
} from '@catkindale/policy';

const held = 8;
const names = ['a', 'b', 'c', 'd'];
const reportLifetimeMilliseconds = 10_000;

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
		title: 'a healthy report without load has no effect', reports: {a: {}}, at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'an unhealthy report reduces the slots to a quarter', reports: {a: unhealthy}, at: 0, usable: [2, 8, 8, 8],
	},
	{
		title: 'full load reduces the slots to half', reports: {a: {load: 1}}, at: 0, usable: [4, 8, 8, 8],
	},
	{
		title: 'half of the targets may be reduced', reports: {a: unhealthy, b: unhealthy}, at: 0, usable: [2, 2, 8, 8],
	},
	{
		title: 'reports of more than half are ignored', reports: {a: unhealthy, b: unhealthy, c: unhealthy}, at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'all that report full load keep their slots', reports: Object.fromEntries(names.map(name => [name, {load: 1}])), at: 0, usable: [8, 8, 8, 8],
	},
	{
		title: 'a report expires after its lifetime', reports: {a: unhealthy}, at: reportLifetimeMilliseconds + 1, usable: [8, 8, 8, 8],
	},
];

test.each(cases)('$title', ({reports, at, usable}) => {
	const chooser = createChooser();
	for (const [name, report] of Object.entries(reports)) {
		chooser.report(name, createReport(report), 0);
	}

	runRequests(chooser, at);
	expect(names.map(name => chooser.getState(name)?.usable)).toEqual(usable);
});

test('a healthy report doesn\'t close the circuit after losses', () => {
	const chooser = createChooser();
	for (let attempt = 0; attempt < 2; attempt++) {
		chooser.start('a', 0);
		chooser.finish('a', {kind: 'lost', milliseconds: 1}, 0);
	}

	chooser.report('a', createReport({}), 1);
	expect(chooser.getState('a')).toMatchObject({isCutOff: true, usable: 0});
});

test('once reports count again, a target that is still unhealthy is reduced', () => {
	const chooser = createChooser();
	for (const name of names) {
		chooser.report(name, createReport(unhealthy), 0);
	}

	for (const name of names.slice(1)) {
		chooser.report(name, createReport({receivedAt: 1000}), 1000);
	}

	expect(names.map(name => chooser.getState(name)?.usable)).toEqual([2, 8, 8, 8]);
});

const members = ['oslo', 'bergen'].flatMap(region => [1, 2, 3].map(index => createMember(`${region}-${index}`, region)));

test.each([
	{
		title: 'two members of the target\'s region', region: 'oslo', among: members, count: 2,
	},
	{
		title: 'members of other regions if its own has none', region: 'tromso', among: members, count: 2,
	},
	{
		title: 'the only member', region: 'oslo', among: members.slice(0, 1), count: 1,
	},
])('a target is polled by $title', ({region, among, count}) => {
	const readers = getReportReaders({name: 'pricing-1', region}, among);
	expect(readers.length).toBe(count);
	const local = among.filter(member => member.region === region);
	expect(readers.every(reader => (local.length > 0 ? local : among).some(({id}) => id === reader.id))).toBe(true);
});

function createChooser(): TargetChooser {
	const chooser = createTargetChooser({region: 'oslo', random: createRandom(1)});
	chooser.setTargets(names.map(name => ({name, region: 'oslo'})), 0);
	for (const name of names) {
		chooser.setHeldSlots(name, held, 0);
	}

	return chooser;
}

/** Runs a request at each target, since the slot factor is recomputed when a request ends. */
function runRequests(chooser: TargetChooser, now: number): void {
	for (const name of names) {
		chooser.start(name, now);
		chooser.finish(name, {kind: 'answered', milliseconds: 10}, now);
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
