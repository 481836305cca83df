/**
 * Attempts per request and fraction of requests served while a fraction of the
 * attempts fails: the retry budget compared with a fixed number of attempts.
 */
import {type Random, createRandom} from '@catkindale/common';
import {createRetryBudget, takeRetry, updateRetryBudgetOnSuccess} from '@catkindale/policy';
import {registerBench} from './bench-registry.js';

const requestCount = 100_000;
const maximumAttempts = 3;
const failureFractions = [0, 0.01, 0.05, 0.2, 0.5, 1];
const maximumAmplification = 1.2;

type PolicyResult = {readonly amplification: number; readonly servedFraction: number};
type Policy = {readonly name: string; readonly createState: () => {readonly mayRetry: () => boolean; readonly onSuccess: () => void}};

const policies: readonly Policy[] = [
	{name: 'no retries', createState: () => ({mayRetry: () => false, onSuccess: () => undefined})},
	{name: 'three attempts', createState: () => ({mayRetry: () => true, onSuccess: () => undefined})},
	{name: 'retry budget', createState: createRetryBudgetState},
];

registerBench({
	name: 'retries',
	describe: 'attempts per request and requests served by fraction of failing attempts',
	async run({seed, print}) {
		print(`${requestCount} requests, at most ${maximumAttempts} attempts: attempts per request / fraction served`);
		print(`failing   ${policies.map(policy => policy.name.padEnd(18)).join('')}`);
		let isOnTarget = true;
		for (const failureFraction of failureFractions) {
			const results = policies.map(policy => runPolicy(policy, failureFraction, createRandom(seed)));
			const cells = results.map(({amplification, servedFraction}) => `${amplification.toFixed(3)} / ${servedFraction.toFixed(4)}`.padEnd(18));
			print(`${failureFraction.toFixed(2).padEnd(10)}${cells.join('')}`);
			isOnTarget &&= (results.at(-1)?.amplification ?? 0) <= maximumAmplification;
		}

		print(`target: the retry budget makes at most ${maximumAmplification} attempts per request: ${isOnTarget ? 'met' : 'MISSED'}`);
		return isOnTarget;
	},
});

function createRetryBudgetState(): ReturnType<Policy['createState']> {
	let budget = createRetryBudget();
	return {
		mayRetry() {
			const remaining = takeRetry(budget);
			budget = remaining ?? budget;
			return remaining !== undefined;
		},
		onSuccess() {
			budget = updateRetryBudgetOnSuccess(budget);
		},
	};
}

function runPolicy(policy: Policy, failureFraction: number, random: Random): PolicyResult {
	const {mayRetry, onSuccess} = policy.createState();
	let attempts = 0;
	let served = 0;
	for (let index = 0; index < requestCount; index++) {
		for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
			attempts += 1;
			if (random.fraction() >= failureFraction) {
				served += 1;
				onSuccess();
				break;
			}

			if (attempt < maximumAttempts && !mayRetry()) {
				break;
			}
		}
	}

	return {amplification: attempts / requestCount, servedFraction: served / requestCount};
}
