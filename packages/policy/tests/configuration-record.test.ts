/** The changes that the configuration's history keeps: the latest ones, and earlier ones that recorded a restriction. */
import {expect, test} from 'vitest';
import {type CommittedChange, appendChange} from '../src/configuration-record.js';

type Case = {readonly name: string; readonly changes: number; readonly restrictionEvery: number; readonly isFirstKept: boolean; readonly maximumLength: number};

const latestChanges = 64;
const earlierRestrictions = 128;

test.each<Case>([
	{
		name: 'keeps a restriction after 63 later changes', changes: 64, restrictionEvery: 1000, isFirstKept: true, maximumLength: latestChanges,
	},
	{
		name: 'keeps a restriction after 3,100 changes, the target for one day', changes: 3100, restrictionEvery: 5000, isFirstKept: true, maximumLength: latestChanges + 1,
	},
	{
		name: 'keeps a restriction after 2,000 changes, 100 of them with a restriction', changes: 2000, restrictionEvery: 20, isFirstKept: true, maximumLength: latestChanges + earlierRestrictions,
	},
	{
		name: 'drops the oldest of more restrictions than its limit', changes: 2000, restrictionEvery: 2, isFirstKept: false, maximumLength: latestChanges + earlierRestrictions,
	},
])('$name', ({changes, restrictionEvery, isFirstKept, maximumLength}) => {
	const history = createHistory(changes, restrictionEvery);
	expect(history.some(({restriction}) => restriction === 'restriction 1')).toBe(isFirstKept);
	expect(history.length).toBeLessThanOrEqual(maximumLength);
	expect(history.slice(-latestChanges).map(({version}) => version)).toEqual(Array.from({length: latestChanges}, (_, index) => changes - latestChanges + index + 1));
});

function createHistory(changes: number, restrictionEvery: number): readonly CommittedChange[] {
	let history: readonly CommittedChange[] = [];
	for (let version = 1; version <= changes; version++) {
		const isRestriction = version % restrictionEvery === 1;
		history = appendChange(history, {
			version, changeId: `change ${version}`, author: 'anna', ...(isRestriction && {restriction: `restriction ${version}`}),
		});
	}

	return history;
}
