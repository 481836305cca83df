/** A shift while one directory is cut off from the table, and callers that ask any directory. */
import {expect, test} from 'vitest';
import {runShift} from '../src/verification-shifts.js';

test.each([1, 242, 426, 564, 674, 849, 1170])('a shift keeps within its cap for callers that ask any directory (seed %i)', seed => {
	expect(() => {
		runShift(seed, {cutDirectoryCallers: 'any'});
	}).not.toThrow();
});

test.each([242, 426, 564, 674, 849, 1170])('it doesn\'t where the directory hears of no row that others write (seed %i)', seed => {
	expect(() => {
		runShift(seed, {cutDirectoryCallers: 'any', isTold: false});
	}).toThrow(/at most its cap/v);
});
