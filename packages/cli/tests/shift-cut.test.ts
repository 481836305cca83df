/** A shift while one directory is cut off from the table and callers send each lookup to any directory. */
import {expect, test} from 'vitest';
import {runShift} from '../src/verification-shifts.js';

test.each([1, 242, 426, 564, 674, 849, 1170])('the share moved stays within the shift\'s cap (seed %i)', seed => {
	expect(() => {
		runShift(seed, {cutDirectoryCallers: 'any'});
	}).not.toThrow();
});

test.each([242, 426, 564, 674, 849, 1170])('the cap is exceeded if the directory doesn\'t receive the rows that other nodes write (seed %i)', seed => {
	expect(() => {
		runShift(seed, {cutDirectoryCallers: 'any', areRowsRelayed: false});
	}).toThrow(/at most its cap/v);
});
