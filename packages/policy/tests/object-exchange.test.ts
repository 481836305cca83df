/** Messages on cached objects: each gateway of a region sends them to all others of it, and receives no more of them in a larger region. */
import {describe, expect, it} from 'vitest';
import {getObjectExchangeInterval} from '@catkindale/policy';

const cases = [
	{peers: 0, milliseconds: 200}, {peers: 3, milliseconds: 200}, {peers: 8, milliseconds: 200}, {peers: 29, milliseconds: 725}, {peers: 64, milliseconds: 1600},
];

describe('the interval of messages on cached objects', () => {
	it.each(cases)('with $peers others is $milliseconds ms', ({peers, milliseconds}) => {
		expect(getObjectExchangeInterval(peers)).toBe(milliseconds);
		expect(peers * 1000 / milliseconds).toBeLessThanOrEqual(40);
	});
});
