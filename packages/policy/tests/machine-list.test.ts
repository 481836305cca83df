/** A list of VMs that suddenly leaves out many members isn't believed at once. */
import {expect, test} from 'vitest';
import {type MachineListView, emptyMachineListView, updateMachineList} from '../src/machine-list.js';

type Case = {
	readonly name: string;
	/** The lists read, a second apart unless a gap is named. */
	readonly lists: ReadonlyArray<readonly string[]>;
	readonly gapMilliseconds?: number;
	readonly expected: readonly string[];
};

const members = ['oslo-1', 'oslo-2', 'bergen-1', 'bergen-2', 'tromso-1', 'tromso-2'];
const withoutOslo = members.slice(2);
const onlyTromso = members.slice(4);
const incompleteListMilliseconds = 30_000;
const secondsUntilBelieved = 31;

test.each<Case>([
	{name: 'one VM is gone: at once', lists: [members, members.slice(1)], expected: members.slice(1)},
	{name: 'a region of three is gone: at once', lists: [members, withoutOslo], expected: withoutOslo},
	{name: 'more than half are gone: not at once', lists: [members, onlyTromso], expected: members},
	{name: 'more than half are gone for long: then', lists: [members, ...repeat(onlyTromso)], expected: onlyTromso},
	{name: 'more than half are gone for long, with a full list between', lists: [...repeat(onlyTromso).slice(2), members, onlyTromso], expected: members},
	{
		name: 'more than half are gone, and the list isn\'t read for long', lists: [members, onlyTromso, onlyTromso], gapMilliseconds: incompleteListMilliseconds, expected: members,
	},
	{name: 'empty for long: never', lists: [members, ...repeat([])], expected: members},
	{name: 'empty after one VM was gone', lists: [members, members.slice(1), []], expected: members.slice(1)},
])('$name', ({lists, gapMilliseconds = 1000, expected}) => {
	let view: MachineListView = emptyMachineListView;
	for (const [index, list] of lists.entries()) {
		view = updateMachineList(view, {
			listed: new Set(list), members, now: index * gapMilliseconds, incompleteListMilliseconds,
		});
	}

	expect([...view.accepted ?? []]).toEqual(expected);
});

test('the first list is believed only if it is complete', () => {
	const reading = {members, now: 0, incompleteListMilliseconds};
	expect(updateMachineList(emptyMachineListView, {...reading, listed: new Set()}).accepted).toBeUndefined();
	expect(updateMachineList(emptyMachineListView, {...reading, listed: new Set(members)}).accepted?.size).toBe(members.length);
});

function repeat(list: readonly string[]): Array<readonly string[]> {
	return Array.from({length: secondsUntilBelieved}, () => list);
}
