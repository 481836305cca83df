/** Requests that reach a node late in its planned stop: taken if they can finish, otherwise refused at once. */
import {describe, expect, it} from 'vitest';
import {mayFinishBeforeStop} from '@catkindale/policy';

const cases = [
	{
		name: 'long before the end', remainingMilliseconds: 5000, timeoutMilliseconds: 8000, targetLatencyMilliseconds: 1000, isTaken: true,
	},
	{
		name: 'too late for its usual time', remainingMilliseconds: 3000, timeoutMilliseconds: 8000, targetLatencyMilliseconds: 1000, isTaken: false,
	},
	{
		name: 'with a time limit that ends before', remainingMilliseconds: 500, timeoutMilliseconds: 400, targetLatencyMilliseconds: 1000, isTaken: true,
	},
	{
		name: 'of a route without a target latency', remainingMilliseconds: 5000, timeoutMilliseconds: 8000, targetLatencyMilliseconds: undefined, isTaken: false,
	},
	{
		name: 'after the end', remainingMilliseconds: -1, timeoutMilliseconds: 400, targetLatencyMilliseconds: 100, isTaken: false,
	},
];

describe('a request during a planned stop', () => {
	it.each(cases)('$name: taken $isTaken', ({isTaken, ...request}) => {
		expect(mayFinishBeforeStop(request)).toBe(isTaken);
	});
});
