/** Attempts per request and requests served while a share of attempts fails: the retry budget beside fixed attempts. */
import {type Random, createRandom} from '@catkindale/common';
import {createRetryBudget, takeRetry, updateRetryBudgetOnSuccess} from '@catkindale/policy';
import {registerBench} from './bench-registry.js';

const requests = 100_000;
const maximumAttempts = 3;
const failureShares = [0, 0.01, 0.05, 0.2, 0.5, 1];
const largestAmplification = 1.2;

type Result = {readonly amplification: number; readonly served: number};
type Policy = {readonly name: string; readonly createMayRetry: () => {readonly mayRetry: () => boolean; readonly onSuccess: () => void}};

const policies: readonly Policy[] = [
	{name: 'no retries', createMayRetry: () => ({mayRetry: () => false, onSuccess: () => undefined})},
	{name: 'three attempts', createMayRetry: () => ({mayRetry: () => true, onSuccess: () => undefined})},
	{name: 'retry budget', createMayRetry: createBudget},
];

registerBench({
	name: 'retries',
	describe: 'attempts per request and requests served by share of failing attempts',
	async run({seed, print}) {
		print(`${requests} requests, at most ${maximumAttempts} attempts: attempts per request / share served`);
		print(`failing   ${policies.map(policy => policy.name.padEnd(18)).join('')}`);
		let isOnTarget = true;
		for (const failureShare of failureShares) {
			const results = policies.map(policy => runPolicy(policy, failureShare, createRandom(seed)));
			const cells = results.map(({amplification, served}) => `${amplification.toFixed(3)} / ${served.toFixed(4)}`.padEnd(18));
			print(`${failureShare.toFixed(2).padEnd(10)}${cells.join('')}`);
			isOnTarget &&= (results.at(-1)?.amplification ?? 0) <= largestAmplification;
		}

		print(`target: the retry budget makes at most ${largestAmplification} attempts per request: ${isOnTarget ? 'met' : 'MISSED'}`);
		return isOnTarget;
	},
});

function createBudget(): ReturnType<Policy['createMayRetry']> {
	let budget = createRetryBudget();
	return {
		mayRetry() {
			const left = takeRetry(budget);
			budget = left ?? budget;
			return left !== undefined;
		},
		onSuccess() {
			budget = updateRetryBudgetOnSuccess(budget);
		},
	};
}

function runPolicy(policy: Policy, failureShare: number, random: Random): Result {
	const {mayRetry, onSuccess} = policy.createMayRetry();
	let attempts = 0;
	let served = 0;
	for (let index = 0; index < requests; index++) {
		for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
			attempts += 1;
			if (random.fraction() >= failureShare) {
				served += 1;
				onSuccess();
				break;
			}

			if (attempt < maximumAttempts && !mayRetry()) {
				break;
			}
		}
	}

	return {amplification: attempts / requests, served: served / requests};
}
