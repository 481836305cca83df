/** Which changes the configuration's history keeps. */
import {expect, test} from 'vitest';
import {type CommittedChange, appendChange} from '../src/configuration-record.js';

type Case = {readonly name: string; readonly changes: number; readonly restrictionEvery: number; readonly isFirstKept: boolean; readonly most: number};

const latestChanges = 64;
const earlierRestrictions = 128;

test.each<Case>([
	{
		name: 'a restriction after 63 changes', changes: 64, restrictionEvery: 1000, isFirstKept: true, most: latestChanges,
	},
	{
		name: 'a restriction after 3,100 changes, a day of the target', changes: 3100, restrictionEvery: 5000, isFirstKept: true, most: latestChanges + 1,
	},
	{
		name: 'a restriction after 100 more of them among 2,000 changes', changes: 2000, restrictionEvery: 20, isFirstKept: true, most: latestChanges + earlierRestrictions,
	},
	{
		name: 'no restriction without bound', changes: 2000, restrictionEvery: 2, isFirstKept: false, most: latestChanges + earlierRestrictions,
	},
])('$name', ({changes, restrictionEvery, isFirstKept, most}) => {
	const history = createHistory(changes, restrictionEvery);
	expect(history.some(({restriction}) => restriction === 'restriction 1')).toBe(isFirstKept);
	expect(history.length).toBeLessThanOrEqual(most);
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
