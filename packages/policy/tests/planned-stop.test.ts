/** Requests that reach a node late in its planned stop: taken if they can finish, otherwise refused at once. */
import {describe, expect, it} from 'vitest';
import {mayFinishBeforeStop} from '@catkindale/policy';

const cases = [
	{
		name: 'long before the end', remainingMilliseconds: 5000, timeoutMilliseconds: 3000, isTaken: true,
	},
	{
		name: 'with a time limit that ends with the stop', remainingMilliseconds: 400, timeoutMilliseconds: 400, isTaken: true,
	},
	// Slow targets take all of the time limit, so that the usual time of the route says nothing.
	{
		name: 'with a time limit that ends after the stop', remainingMilliseconds: 2900, timeoutMilliseconds: 3000, isTaken: false,
	},
	{
		name: 'after the end', remainingMilliseconds: -1, timeoutMilliseconds: 400, isTaken: false,
	},
];

describe('a request during a planned stop', () => {
	it.each(cases)('$name: taken $isTaken', ({isTaken, ...request}) => {
		expect(mayFinishBeforeStop(request)).toBe(isTaken);
	});
});
