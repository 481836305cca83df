/** Randomised verification: retries never exceed the saved maximum plus a tenth of the successes. */
import {assertInvariant, createRandom} from '@catkindale/common';
import {
	createRetryBudget, maximumSavedRetries, retriesPerSuccess, takeRetry, updateRetryBudgetOnSuccess,
} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const requestCount = 2000;
const maximumAttempts = 3;
const maximumAmplification = 1.2;
const roundingTolerance = 1e-6;

registerVerification({
	name: 'retry-budget',
	describe: 'the retry budget of one service while its targets fail and recover',
	run(seed) {
		const random = createRandom(seed);
		let budget = createRetryBudget();
		let failureFraction = random.fraction();
		let attempts = 0;
		let successes = 0;
		for (let index = 0; index < requestCount; index++) {
			failureFraction = random.integer(0, 99) === 0 ? random.integer(0, 4) / 4 : failureFraction;
			for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
				attempts += 1;
				if (random.fraction() >= failureFraction) {
					successes += 1;
					budget = updateRetryBudgetOnSuccess(budget);
					break;
				}

				const remainingBudget = takeRetry(budget);
				if (!remainingBudget) {
					break;
				}

				budget = remainingBudget;
			}
		}

		const retries = attempts - requestCount;
		const limit = maximumSavedRetries + (retriesPerSuccess * successes);
		assertInvariant(retries <= limit + roundingTolerance, 'retries <= saved + earned', {seed, retries, limit});
		assertInvariant(attempts <= requestCount * maximumAmplification, 'attempts <= 1.2 x requests', {seed, attempts, requestCount});
	},
});
