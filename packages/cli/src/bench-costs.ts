/**
 * Time and allocated bytes of one add and take of the fair queue and of one
 * target choice, by number of customers and of targets.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createRandom} from '@catkindale/common';
import {
	type QueuedRequest, createFairQueue, createTargetChooser,
} from '@catkindale/policy';
import {type BenchOptions, registerBench} from './bench-registry.js';

const customerCounts = [8, 80, 800, 10_000];
const targetCounts = [44, 400, 4000];
const targetMicroseconds = 20;
const roundCount = 100_000;
const repetitionCount = 5;
const warmUpRoundCount = 20_000;
const noneExcluded: ReadonlySet<string> = new Set();

type Cost = {readonly microseconds: number; readonly bytes: number};

registerBench({
	name: 'costs',
	describe: 'time and allocation of one queue pass and one target choice by number of customers and targets',
	async run(options) {
		const queueCosts = customerCounts.map(count => measureQueue(count, options));
		const choiceCosts = targetCounts.map(count => measureChoice(count, options));
		const sortedChoiceCosts = targetCounts.map(count => measureSortedChoice(count, options));
		options.print('operation                         number  microseconds  bytes');
		printCosts('fair queue: add and take', customerCounts, queueCosts, options);
		printCosts('target choice: choose to finish', targetCounts, choiceCosts, options);
		printCosts('baseline: sort by free slots', targetCounts, sortedChoiceCosts, options);
		const isQueueOnTarget = areCostsOnTarget(customerCounts, queueCosts);
		const isChoiceOnTarget = areCostsOnTarget(targetCounts, choiceCosts);
		options.print(`under ${targetMicroseconds} microseconds and growth at most logarithmic: queue ${isQueueOnTarget ? 'met' : 'MISSED'}, choice ${isChoiceOnTarget ? 'met' : 'MISSED'}`);
		return isQueueOnTarget && isChoiceOnTarget;
	},
});

/** Every customer has a request waiting; each round adds one request and takes one. */
function measureQueue(customers: number, {seed}: BenchOptions): Cost {
	const queue = createFairQueue<QueuedRequest>({requestsPerCustomer: 64, requests: customers * 4, bulkShare: 0.1});
	const random = createRandom(seed);
	const createRequest = (index: number): QueuedRequest => ({
		customer: `customer-${index}`, weight: 1, class: 'interactive', queuedAt: 0, deadlineAt: Infinity,
	});
	const requests = Array.from({length: customers}, (_, index) => createRequest(index));
	for (const request of requests) {
		queue.add(request);
	}

	return measure(() => {
		const request = requests[random.integer(0, customers - 1)];
		if (request) {
			queue.add({...request});
		}

		queue.take();
	});
}

/** Four fifths of the slots are in use; each round starts one request and finishes the oldest. */
function measureChoice(targets: number, {seed}: BenchOptions): Cost {
	const chooser = createTargetChooser({region: 'oslo', random: createRandom(seed)});
	const slots = 4;
	const names = Array.from({length: targets}, (_, index) => ({name: `target-${index}`, region: 'oslo'}));
	chooser.setTargets(names, 0);
	for (const {name} of names) {
		chooser.setHeldSlots(name, slots, 0);
	}

	const runningTargets: string[] = [];
	const runningCount = Math.floor(targets * slots * 0.8);
	let nextIndex = 0;
	let now = 0;
	const start = (): void => {
		const target = chooser.choose({excluded: noneExcluded, waitMilliseconds: 0}, now);
		if (target !== undefined) {
			chooser.start(target, now);
			runningTargets[nextIndex % runningCount] = target;
			nextIndex += 1;
		}
	};

	while (runningTargets.length < runningCount) {
		start();
	}

	return measure(() => {
		now += 0.1;
		chooser.finish(runningTargets[nextIndex % runningCount] ?? '', {kind: 'answered', milliseconds: 10}, now);
		start();
	});
}

/** Baseline: sorts all targets by their free slots for each choice, as the first implementation did. */
function measureSortedChoice(targets: number, {seed}: BenchOptions): Cost {
	const random = createRandom(seed);
	const candidates = Array.from({length: targets}, () => ({free: 4}));
	return measure(() => {
		const [chosen] = candidates.toSorted((left, right) => right.free - left.free);
		const finished = candidates[random.integer(0, targets - 1)];
		if (chosen && finished) {
			chosen.free -= 1;
			finished.free += 1;
		}
	}, Math.ceil(roundCount / targets));
}

function measure(run: () => void, count = roundCount): Cost {
	for (let round = 0; round < Math.min(count, warmUpRoundCount); round++) {
		run();
	}

	const repetitionMicroseconds = Array.from({length: repetitionCount}, () => measureMicroseconds(run, count));
	return {microseconds: Math.min(...repetitionMicroseconds), bytes: measureBytes(run, Math.min(count, 10_000))};
}

function measureMicroseconds(run: () => void, count: number): number {
	const startedAt = performance.now();
	for (let round = 0; round < count; round++) {
		run();
	}

	return (performance.now() - startedAt) * 1000 / count;
}

/** Growth of the heap per round, over so few rounds that no garbage collection is expected between the two readings. */
function measureBytes(run: () => void, count: number): number {
	collectGarbage();
	const heapBefore = process.memoryUsage().heapUsed;
	for (let round = 0; round < count; round++) {
		run();
	}

	return Math.max(0, process.memoryUsage().heapUsed - heapBefore) / count;
}

function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
}

function printCosts(title: string, counts: readonly number[], costs: readonly Cost[], {print}: BenchOptions): void {
	for (const [index, {microseconds, bytes}] of costs.entries()) {
		print(`${title.padEnd(32)}  ${String(counts[index]).padStart(6)}  ${microseconds.toFixed(2).padStart(12)}  ${bytes.toFixed(0).padStart(5)}`);
	}
}

/** Whether all costs are below the target and grow no faster than the logarithm of the number. */
function areCostsOnTarget(counts: readonly number[], costs: readonly Cost[]): boolean {
	const [first] = costs;
	const last = costs.at(-1);
	const allowedGrowth = Math.log2(counts.at(-1) ?? 1) / Math.log2(counts[0] ?? 1);
	return first !== undefined && last !== undefined
		&& costs.every(cost => cost.microseconds < targetMicroseconds)
		&& last.microseconds <= first.microseconds * allowedGrowth;
}
