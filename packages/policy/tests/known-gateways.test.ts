/** The load: VMs that are replaced for days, so that more have gone than serve, and cuts that last for an hour. */
import {describe, expect, it} from 'vitest';
import {type Member, createKnownGateways, gatewayExpiryMilliseconds} from '@catkindale/policy';

const hourMilliseconds = 3_600_000;

function getMember(id: string, incarnation = '1'): Member {
	return {
		id, incarnation, region: 'oslo', zone: 'oslo-a', callerAddress: `${id}:1`, peerAddress: `${id}:2`, state: 'live', isEntry: true,
	};
}

describe('a gateway that is out of touch', () => {
	const cases = [
		{
			name: 'still counts after a cut of an hour', touchedAt: 0, now: hourMilliseconds, isKnown: true,
		},
		{
			name: 'is forgotten after the longest time', touchedAt: 0, now: gatewayExpiryMilliseconds + 1, isKnown: false,
		},
		{
			name: 'counts from when it was last heard from', touchedAt: hourMilliseconds, now: gatewayExpiryMilliseconds + 1, isKnown: true,
		},
	];
	it.each(cases)('$name', ({touchedAt, now, isKnown}) => {
		const known = createKnownGateways('own');
		known.add([getMember('other')], 0);
		known.recordContact('other', touchedAt);
		expect(known.removeExpired(now).map(({id}) => id)).toEqual(isKnown ? [] : ['other']);
		expect(known.getAll().length).toBe(isKnown ? 1 : 0);
		expect(known.wasRemoved(getMember('other'))).toBe(!isKnown);
	});

	const returns = [
		{
			name: 'isn\'t brought back by a peer that still tells of it', heard: false, incarnation: '1', isKnown: false,
		},
		{
			name: 'is back when it starts again', heard: false, incarnation: '2', isKnown: true,
		},
		{
			name: 'is back when it is heard from', heard: true, incarnation: '1', isKnown: true,
		},
	];
	it.each(returns)('once forgotten: $name', ({heard, incarnation, isKnown}) => {
		const known = createKnownGateways('own');
		known.add([getMember('other')], 0);
		known.removeExpired(gatewayExpiryMilliseconds + 1);
		if (heard) {
			known.recordContact('other', gatewayExpiryMilliseconds + 2);
		}

		expect(known.add([getMember('other', incarnation)], gatewayExpiryMilliseconds + 3)).toBe(isKnown);
		expect(known.getAll().length).toBe(isKnown ? 1 : 0);
	});
});

it('more VMs are replaced in a week than serve: those that serve are most of the known ones', () => {
	const known = createKnownGateways('own');
	let now = 0;
	for (let day = 0; day < 28; day++) {
		known.add([getMember(`replaced-${day}`)], now);
		for (let hour = 0; hour < 6; hour++) {
			now += hourMilliseconds;
			known.add(Array.from({length: 10}, (_, index) => getMember(`serving-${index}`)), now);
			for (let index = 0; index < 10; index++) {
				known.recordContact(`serving-${index}`, now);
			}

			known.removeExpired(now);
		}
	}

	expect(known.getAll().length).toBeLessThanOrEqual(12);
});
