/** A process that was paused must notice it by either clock, and must not wait for ever for a source that is silent. */
import {describe, expect, it} from 'vitest';
import {createPauseGuard} from '@catkindale/policy';

const options = {limitMilliseconds: 2000, maximumMilliseconds: 3000};
const start = {monotonic: 1000, wall: 50_000};

const cases = [
	{
		name: 'a process that runs', monotonic: 100, wall: 100, paused: 0,
	},
	{
		name: 'a busy process', monotonic: 1900, wall: 1900, paused: 0,
	},
	{
		name: 'a paused process', monotonic: 4000, wall: 4000, paused: 4000,
	},
	{
		name: 'a suspended machine whose monotonic clock stood still', monotonic: 10, wall: 6000, paused: 6000,
	},
	{
		name: 'a wall clock that was set back', monotonic: 100, wall: -9000, paused: 0,
	},
	{
		name: 'a paused process whose wall clock was set back', monotonic: 4000, wall: -9000, paused: 4000,
	},
];

describe('the guard against acting on old knowledge', () => {
	it.each(cases)('$name: a pause of $paused ms', ({monotonic, wall, paused}) => {
		const guard = createPauseGuard(options);
		guard.observe(start);
		const now = start.monotonic + monotonic;
		expect(guard.observe({monotonic: now, wall: start.wall + wall})).toBe(paused);
		expect(guard.isUnconfirmed(now)).toBe(paused > 0);
		guard.confirm();
		expect(guard.isUnconfirmed(now)).toBe(false);
	});

	it('a source that stays silent doesn\'t stop the process for longer than the maximum', () => {
		const guard = createPauseGuard(options);
		guard.observe(start);
		guard.observe({monotonic: 11_000, wall: 60_000});
		expect(guard.isUnconfirmed(11_000 + options.maximumMilliseconds - 1)).toBe(true);
		expect(guard.isUnconfirmed(11_000 + options.maximumMilliseconds)).toBe(false);
	});
});
