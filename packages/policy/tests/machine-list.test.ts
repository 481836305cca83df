/** A list of VMs that suddenly lacks many members isn't accepted at once, so that a wrong list doesn't fence them. */
import {expect, test} from 'vitest';
import {type MachineListView, emptyMachineListView, updateMachineList} from '../src/machine-list.js';

type Case = {
	readonly name: string;
	/** The lists read, one second apart unless `gapMilliseconds` is given. */
	readonly lists: ReadonlyArray<readonly string[]>;
	readonly gapMilliseconds?: number;
	readonly expected: readonly string[];
};

const members = ['oslo-1', 'oslo-2', 'bergen-1', 'bergen-2', 'tromso-1', 'tromso-2'];
const withoutOslo = members.slice(2);
const tromsoOnly = members.slice(4);
const incompleteListMilliseconds = 30_000;
const secondsUntilAccepted = 31;

test.each<Case>([
	{name: 'accepts at once a list without one VM', lists: [members, members.slice(1)], expected: members.slice(1)},
	{name: 'accepts at once a list without one region of three', lists: [members, withoutOslo], expected: withoutOslo},
	{name: 'doesn\'t accept at once a list without more than half of the VMs', lists: [members, tromsoOnly], expected: members},
	{name: 'accepts a list without more than half of the VMs after some time', lists: [members, ...repeat(tromsoOnly)], expected: tromsoOnly},
	{name: 'starts the time again after a full list', lists: [...repeat(tromsoOnly).slice(2), members, tromsoOnly], expected: members},
	{
		name: 'starts the time again after a long gap between reads', lists: [members, tromsoOnly, tromsoOnly], gapMilliseconds: incompleteListMilliseconds, expected: members,
	},
	{name: 'never accepts an empty list', lists: [members, ...repeat([])], expected: members},
	{name: 'keeps the list without one VM when an empty one follows', lists: [members, members.slice(1), []], expected: members.slice(1)},
])('$name', ({lists, gapMilliseconds = 1000, expected}) => {
	let view: MachineListView = emptyMachineListView;
	for (const [index, list] of lists.entries()) {
		view = updateMachineList(view, {
			listed: new Set(list), members, now: index * gapMilliseconds, incompleteListMilliseconds,
		});
	}

	expect([...view.accepted ?? []]).toEqual(expected);
});

test('the first list is accepted only if it is complete', () => {
	const reading = {members, now: 0, incompleteListMilliseconds};
	expect(updateMachineList(emptyMachineListView, {...reading, listed: new Set()}).accepted).toBeUndefined();
	expect(updateMachineList(emptyMachineListView, {...reading, listed: new Set(members)}).accepted?.size).toBe(members.length);
});

function repeat(list: readonly string[]): Array<readonly string[]> {
	return Array.from({length: secondsUntilAccepted}, () => list);
}
