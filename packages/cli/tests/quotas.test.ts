/** The randomised run of the quotas finds each mechanism that is switched off. */
import {expect, test} from 'vitest';
import {productTiming, runQuotaFleet} from '../src/verification-quota-fleet.js';
import type {QuotaTiming} from '../src/verification-quota-node.js';

type Case = {readonly name: string; readonly change: Partial<QuotaTiming>; readonly invariant: RegExp};

const mostSeeds = 100;
const anyInvariant = /add up to no more|burst \+ rate x window|<= slots|<= its slots/v;

test.each<Case>([
	{name: 'raising before all members agree', change: {isRaisingAlone: true}, invariant: anyInvariant},
	{name: 'using floors without a lease', change: {leaseMilliseconds: Number.POSITIVE_INFINITY}, invariant: anyInvariant},
	{name: 'reusing a fenced share before its lease has ended', change: {expiryMilliseconds: 0}, invariant: anyInvariant},
	{name: 'reusing slots before the requests on them have ended', change: {requestMilliseconds: 0}, invariant: /slots/v},
])('$name breaks a limit', async ({change, invariant}) => {
	let message = '';
	for (let seed = 1; seed <= mostSeeds && message === ''; seed++) {
		try {
			await runQuotaFleet(seed, {...productTiming, ...change});
		} catch (error) {
			message = String(error);
		}
	}

	expect(message).toMatch(invariant);
});

test('a VM that was replaced while cut off holds nothing once its lease has ended', async () => {
	// Seed 1156 broke a customer's rate when a lone member renewed its own lease.
	await expect(runQuotaFleet(1156)).resolves.toMatchObject({admitted: expect.any(Number) as number});
});
