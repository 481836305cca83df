/** Of what was known before a traffic source came back from a copy and what the copy says, the more restrictive one is followed. */
import {describe, expect, it} from 'vitest';
import {
	type HeldState, type TrafficTarget, type VersionOrder, addDepartures, dropReturned, emptyHeldState, holdOrders, releaseOrders, withholdDeparted, withholdOrders,
} from '../src/index.js';

function createTarget(id: string, fields: Partial<TrafficTarget> = {}): TrafficTarget {
	return {
		id, revision: 1, startedAt: 1, service: 'pricing', address: '127.0.0.1:1', zone: 'east-a', region: 'east', version: 'v1', slots: 4, isLeaving: false, coldForMilliseconds: 0, ...fields,
	};
}

function createOrder(version: string, revision: number, durationMilliseconds = 1000): VersionOrder {
	return {
		service: 'pricing', version, revision, durationMilliseconds,
	};
}

const leaving = {isLeaving: true};

describe('a target', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly states: ReadonlyArray<readonly TrafficTarget[]>; readonly copy: readonly TrafficTarget[]; readonly isWithheld: boolean}> = [
		{
			name: 'that was leaving', states: [[createTarget('a', leaving)]], copy: [createTarget('a')], isWithheld: true,
		},
		{
			name: 'that was gone', states: [[createTarget('a')], []], copy: [createTarget('a')], isWithheld: true,
		},
		{
			name: 'that was replaced under its name', states: [[createTarget('a')], [createTarget('a', {startedAt: 2})]], copy: [createTarget('a')], isWithheld: true,
		},
		{
			name: 'that has started again since it was leaving', states: [[createTarget('a', leaving)]], copy: [createTarget('a', {startedAt: 2})], isWithheld: false,
		},
		{
			name: 'of which a later run was leaving too', states: [[createTarget('a', leaving)], [createTarget('a', {...leaving, startedAt: 2})]], copy: [createTarget('a')], isWithheld: true,
		},
		{
			name: 'that the copy before showed as leaving in an earlier run', states: [[createTarget('a', {...leaving, startedAt: 2})], [createTarget('a', leaving)]], copy: [createTarget('a', {startedAt: 2})], isWithheld: true,
		},
		{
			name: 'that has another address since it was leaving', states: [[createTarget('a', leaving)]], copy: [createTarget('a', {address: '127.0.0.1:2'})], isWithheld: false,
		},
		{
			name: 'that was registered again after it was gone', states: [[createTarget('a')], [], [createTarget('a')]], copy: [createTarget('a')], isWithheld: false,
		},
		{
			name: 'that was serving', states: [[createTarget('a')]], copy: [createTarget('a')], isWithheld: false,
		},
	];
	it.each(cases)('$name is withheld: $isWithheld', ({states, copy, isWithheld}) => {
		let held: HeldState = emptyHeldState;
		let previous: readonly TrafficTarget[] = [];
		for (const next of states) {
			held = {...held, departed: addDepartures(dropReturned(held.departed, next), previous, next)};
			previous = next;
		}

		held = {...held, departed: addDepartures(held.departed, [], copy)};
		expect(withholdDeparted(copy, held)).toMatchObject([{isLeaving: isWithheld}]);
	});

	it('that is only missing from the copy hasn\'t gone', () => {
		expect(addDepartures(new Map(), [], [])).toEqual(new Map());
	});
});

describe('what the operator ordered before the return', () => {
	const before = {versions: [createOrder('v2', 50)], evacuatedZones: ['east-a']};
	const restoredRevision = 40;
	const cases = [
		{
			name: 'the earlier order of the copy', versions: [createOrder('v1', 20)], evacuatedZones: ['east-b'], followed: [], zones: ['east-b', 'east-a'],
		},
		{
			name: 'the same order, written again', versions: [createOrder('v2', 30)], evacuatedZones: ['east-a'], followed: ['v2'], zones: ['east-a'],
		},
		{
			name: 'an order that was certainly written after the return', versions: [createOrder('v3', 41)], evacuatedZones: [], followed: ['v3'], zones: ['east-a'],
		},
		{
			name: 'an order with another duration', versions: [createOrder('v2', 30, 2000)], evacuatedZones: [], followed: [], zones: ['east-a'],
		},
		{
			name: 'no order', versions: [], evacuatedZones: [], followed: [], zones: ['east-a'],
		},
	];
	it.each(cases)('beside $name: follows $followed, evacuates $zones', ({versions, evacuatedZones, followed, zones}) => {
		const orders = {versions, evacuatedZones};
		const held = releaseOrders(holdOrders(emptyHeldState, before, restoredRevision), orders);
		const result = withholdOrders(orders, held);
		expect(result.versions.map(({version}) => version)).toEqual(followed);
		expect(result.evacuatedZones).toEqual(zones);
	});

	it('is no longer held once it was seen again', () => {
		const seen = releaseOrders(holdOrders(emptyHeldState, before, restoredRevision), {versions: [createOrder('v2', 45)], evacuatedZones: ['east-a']});
		const later = {versions: [createOrder('v1', 20)], evacuatedZones: []};
		expect(withholdOrders(later, seen)).toEqual(later);
	});
});
