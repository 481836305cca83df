import {describe, expect, test} from 'vitest';
import {
	type Ledger, type LedgerView, createLedgerView, isLedgerReadNeeded, isTableReader, joinLedger, resumeView, updateLedger, updatePeer,
} from '@catkindale/policy';

const limitMilliseconds = 1500;
const members = ['oslo', 'bergen'].flatMap(region => Array.from({length: 6}, (_, index) => ({id: `${region}-${index}`, region})));

function getReaders(unreachable: ReadonlySet<string>): string[] {
	const reachable = members.filter(({id}) => !unreachable.has(id));
	return reachable.filter(({id}) => isTableReader(id, members, other => !unreachable.has(other))).map(({id}) => id);
}

describe('the readers of a region', () => {
	test.each<[string, number, number]>([
		['all members reachable', 0, 2],
		['one reader unreachable', 1, 2],
		['two readers unreachable', 2, 2],
		['all but one member unreachable', 5, 1],
		['no member reachable', 6, 0],
	])('with %s', (_name, unreachableCount, expected) => {
		const unreachable = new Set<string>();
		for (let count = 0; count < unreachableCount; count++) {
			unreachable.add(getReaders(unreachable).find(id => id.startsWith('oslo'))!);
		}

		const readers = getReaders(unreachable);
		expect(readers.filter(id => id.startsWith('oslo'))).toHaveLength(expected);
		expect(readers.filter(id => id.startsWith('bergen'))).toHaveLength(2);
	});

	test('a node that isn\'t a member yet reads the table itself', () => {
		expect(isTableReader('new', members, () => true)).toBe(true);
	});

	test('a node that reaches no other member reads the table itself', () => {
		expect(members.every(({id}) => isTableReader(id, members, () => false))).toBe(true);
	});
});

function createLedger(count: number): Ledger {
	let ledger: Ledger = {epoch: 0, members: []};
	for (let index = 0; index < count; index++) {
		ledger = joinLedger(ledger, {
			id: `node-${index}`, incarnation: `incarnation-${index}`, region: 'oslo', zone: 'oslo-a', callerAddress: '', peerAddress: '', state: 'live',
		});
	}

	return ledger;
}

/** The view of one of three members: it read the row at 0, and both others echoed its message of 1000. */
function createView(peerEpoch = 3): LedgerView {
	let view = updateLedger(createLedgerView('incarnation-0'), createLedger(3), 0, 0);
	for (const peer of [1, 2]) {
		view = updatePeer(view, {
			incarnation: `incarnation-${peer}`, position: {epoch: peerEpoch, version: 0}, overAllocations: [], sentAt: 1, echoedAt: 1000,
		}, 1000);
	}

	return view;
}

describe('the ledger\'s row must be read', () => {
	test.each<[string, LedgerView, number, boolean]>([
		['not while the lease is renewed by the members', createView(), 2000, false],
		['once the lease hasn\'t been renewed within the limit', createView(), 2501, true],
		['when a member reports a later epoch', createView(4), 1500, true],
		['not when members report earlier epochs only', createView(2), 1500, false],
		['by a node that has read no row yet', createLedgerView('incarnation-0'), 0, true],
		['by a node that isn\'t in the row', updateLedger(createLedgerView('other'), createLedger(3), 0, 0), 1, true],
		['after a pause', resumeView(createView(), 1200, 1200), 1300, true],
	])('%s', (_name, view, now, expected) => {
		expect(isLedgerReadNeeded(view, limitMilliseconds, now)).toBe(expected);
	});
});
