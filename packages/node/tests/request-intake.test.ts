/** The load: connections that wait to be accepted by a process that is behind, as after a loss of all gateways. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {systemClock} from '@catkindale/common';
import {type IntakeEnd, createRequestIntake} from '../src/request-intake.js';

const limitMilliseconds = 2000;

function createIntake(load: {late: number; accept: number}): ReturnType<typeof createRequestIntake> {
	return createRequestIntake(systemClock, {getLateMilliseconds: () => load.late, getAcceptMilliseconds: () => load.accept});
}

async function getEndAfterTurns(entering: Promise<IntakeEnd>, turns: number): Promise<IntakeEnd | 'waits'> {
	let end: IntakeEnd | 'waits' = 'waits';
	void entering.then(told => {
		end = told;
	});
	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
	}

	return end;
}

describe('a request', () => {
	const cases = [
		{
			name: 'begins at once at a process that isn\'t behind', load: {late: 0, accept: 0}, turns: 1, end: 'begins',
		},
		{
			name: 'begins at once while some connections come together', load: {late: 0, accept: 10}, turns: 1, end: 'begins',
		},
		{
			name: 'waits until the ends of callers are read where the loop was late', load: {late: 200, accept: 0}, turns: 1, end: 'waits',
		},
		{
			name: 'begins after that', load: {late: 200, accept: 0}, turns: 4, end: 'begins',
		},
		{
			name: 'waits while connections are accepted', load: {late: 0, accept: 100}, turns: 2, end: 'waits',
		},
		{
			name: 'begins though connections are accepted all the time', load: {late: 0, accept: 100}, turns: 9, end: 'begins',
		},
	];
	it.each(cases)('$name', async ({load, turns, end}) => {
		await nextTurn();
		expect(await getEndAfterTurns(createIntake(load).enter({priority: 1, limitMilliseconds}, new AbortController().signal), turns)).toBe(end);
	});

	it('gives way to a more urgent one that came later', async () => {
		const intake = createIntake({late: 0, accept: 100});
		const order: string[] = [];
		await Promise.all([['usual', 2], ['urgent', 0]].map(async ([name, priority]) => {
			await intake.enter({priority: Number(priority), limitMilliseconds}, new AbortController().signal);
			order.push(String(name));
		}));
		expect(order).toEqual(['urgent', 'usual']);
	});

	it('doesn\'t begin once its caller has left', async () => {
		const intake = createIntake({late: 0, accept: 100});
		const caller = new AbortController();
		const entering = intake.enter({priority: 1, limitMilliseconds}, caller.signal);
		caller.abort();
		expect(await entering).toBe('caller-gone');
		expect(await intake.enter({priority: 1, limitMilliseconds}, caller.signal)).toBe('caller-gone');
	});

	it('is refused once it has waited too long', async () => {
		const load = {late: 0, accept: 100};
		const intake = createIntake(load);
		const entering = intake.enter({priority: 2, limitMilliseconds}, new AbortController().signal);
		load.accept = 1500;
		expect(await entering).toBe('too-late');
		expect(intake.isTooLate({priority: 2, limitMilliseconds})).toBe(true);
	});
});
