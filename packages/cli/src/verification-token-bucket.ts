/** Randomised verification: a token bucket never grants more than burst + rate x time. */
import {assertInvariant, createRandom, millisecondsPerSecond} from '@catkindale/common';
import {createTokenBucket, fillTokenBucket, takeToken} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const steps = 500;
/** In tenths of a millisecond. */
const maximumStepTenthMilliseconds = 2000;
const roundingTolerance = 1e-6;

registerVerification({
	name: 'token-bucket',
	describe: 'one token bucket under random arrivals',
	run(seed) {
		const random = createRandom(seed);
		const rate = random.integer(1, 100);
		const burst = random.integer(1, 50);
		let bucket = createTokenBucket(rate, burst, burst, 0);
		let now = 0;
		let taken = 0;
		for (let step = 0; step < steps; step++) {
			now += random.integer(0, maximumStepTenthMilliseconds) / 10;
			bucket = fillTokenBucket(bucket, now);
			const next = takeToken(bucket);
			taken += next ? 1 : 0;
			bucket = next ?? bucket;
			const limit = burst + (rate * now / millisecondsPerSecond);
			assertInvariant(taken <= limit + roundingTolerance, 'tokens taken <= burst + rate x time', {seed, taken, limit});
		}
	},
});
