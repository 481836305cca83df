/** Changes of targets sent in place of all of them: applied to the state of an earlier revision, they must give the current one. */
import {describe, expect, it} from 'vitest';
import type {TrafficTarget} from '@catkindale/policy';
import type {RegisteredTargets} from '@catkindale/protocol';
import {createTargetHistory} from '../src/target-history.js';

function createTarget(id: string, revision: number): TrafficTarget {
	return {
		id, revision, startedAt: 1, service: 'pricing', address: '127.0.0.1:1', zone: 'east-a', region: 'east', version: 'v1', slots: 4, isLeaving: false, coldForMilliseconds: 0,
	};
}

/** Each state lists its targets as `identifier@revision`. */
const cases = [
	{
		name: 'a target that is added', states: {5: 'a@1', 7: 'a@1 b@7'}, after: 5, changed: ['b'], removed: [],
	},
	{
		name: 'a target that changes', states: {5: 'a@1 b@2', 7: 'a@7 b@2'}, after: 5, changed: ['a'], removed: [],
	},
	{
		name: 'a target that is removed', states: {5: 'a@1 b@2', 7: 'a@1'}, after: 5, changed: [], removed: ['b'],
	},
	{
		name: 'a target that is removed and registered again', states: {5: 'a@1 b@2', 7: 'a@1', 9: 'a@1 b@9'}, after: 5, changed: ['b'], removed: ['b'],
	},
	{
		name: 'a removal that the requester knows already', states: {5: 'a@1 b@2', 7: 'a@1', 9: 'a@9'}, after: 7, changed: ['a'], removed: [],
	},
	{
		name: 'a requester whose revision lies between two of the sender', states: {5: 'a@1 b@2', 9: 'b@8'}, after: 7, changed: ['b'], removed: ['a'],
	},
] as const;

function parseState(revision: number, text: string): RegisteredTargets {
	return {
		era: 1, revision, targets: text.split(' ').map(word => {
			const [id = '', targetRevision] = word.split('@');
			return createTarget(id, Number(targetRevision));
		}),
	};
}

describe('the changes after a revision', () => {
	it.each(cases)('hold $name', ({states, after, changed, removed}) => {
		const history = createTargetHistory();
		let current: RegisteredTargets | undefined;
		for (const [revision, text] of Object.entries(states)) {
			const next = parseState(Number(revision), text);
			history.record(current, next);
			current = next;
		}

		const changes = history.getChanges(current!, {era: 1, revision: after});
		expect(changes?.changed.map(({id}) => id)).toEqual(changed);
		expect(changes?.removed).toEqual(removed);
	});

	it('are unknown after a revision before the first one', () => {
		const history = createTargetHistory();
		history.record(undefined, parseState(5, 'a@1'));
		expect(history.getChanges(parseState(5, 'a@1'), {era: 1, revision: 4})).toBeUndefined();
	});

	it('are unknown once removals were dropped', () => {
		const history = createTargetHistory();
		const many = parseState(5, Array.from({length: 1500}, (_, index) => `t${index}@1`).join(' '));
		const few = parseState(9, 'a@1');
		history.record(undefined, many);
		history.record(many, few);
		expect(history.getChanges(few, {era: 1, revision: 5})).toBeUndefined();
		expect(history.getChanges(few, {era: 1, revision: 9})).toMatchObject({changed: [], removed: []});
	});
});
