/**
 * Time and allocated bytes of one pass through the fair queue and of one
 * choice of a target, by number of customers and of targets.
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
const rounds = 100_000;
const repetitions = 5;
const warmUpRounds = 20_000;
const noneExcluded: ReadonlySet<string> = new Set();

type Cost = {readonly microseconds: number; readonly bytes: number};

registerBench({
	name: 'costs',
	describe: 'time and allocation of one queue pass and one target choice by number of customers and targets',
	async run(options) {
		const queue = customerCounts.map(count => measureQueue(count, options));
		const choice = targetCounts.map(count => measureChoice(count, options));
		const linear = targetCounts.map(count => measureSortedChoice(count, options));
		options.print('what                              number  microseconds  bytes');
		printCosts('fair queue: add and take', customerCounts, queue, options);
		printCosts('target choice: choose to finish', targetCounts, choice, options);
		printCosts('baseline: sort by free slots', targetCounts, linear, options);
		const isQueueFit = isLogarithmic(customerCounts, queue);
		const isChoiceFit = isLogarithmic(targetCounts, choice);
		options.print(`under ${targetMicroseconds} microseconds and growth at most logarithmic: queue ${isQueueFit ? 'met' : 'MISSED'}, choice ${isChoiceFit ? 'met' : 'MISSED'}`);
		return isQueueFit && isChoiceFit;
	},
});

/** Every customer has a request waiting; each round adds one and takes one. */
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
	const choice = createTargetChooser({region: 'oslo', random: createRandom(seed)});
	const slots = 4;
	const names = Array.from({length: targets}, (_, index) => ({name: `target-${index}`, region: 'oslo'}));
	choice.setTargets(names, 0);
	for (const {name} of names) {
		choice.setHeldSlots(name, slots, 0);
	}

	const running: string[] = [];
	const capacity = Math.floor(targets * slots * 0.8);
	let oldest = 0;
	let now = 0;
	const start = (): void => {
		const target = choice.choose({excluded: noneExcluded, waitMilliseconds: 0}, now);
		if (target !== undefined) {
			choice.start(target, now);
			running[oldest % capacity] = target;
			oldest += 1;
		}
	};

	while (running.length < capacity) {
		start();
	}

	return measure(() => {
		now += 0.1;
		choice.finish(running[oldest % capacity] ?? '', {kind: 'answered', milliseconds: 10}, now);
		start();
	});
}

/** The choice that the first version made: sort all targets by their free slots. */
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
	}, Math.ceil(rounds / targets));
}

function measure(run: () => void, count = rounds): Cost {
	for (let round = 0; round < Math.min(count, warmUpRounds); round++) {
		run();
	}

	const times = Array.from({length: repetitions}, () => measureTime(run, count));
	return {microseconds: Math.min(...times), bytes: measureBytes(run, Math.min(count, 10_000))};
}

function measureTime(run: () => void, count: number): number {
	const startedAt = performance.now();
	for (let round = 0; round < count; round++) {
		run();
	}

	return (performance.now() - startedAt) * 1000 / count;
}

/** The heap's growth between two collections, for as few rounds as fit between them. */
function measureBytes(run: () => void, count: number): number {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	for (let round = 0; round < count; round++) {
		run();
	}

	return Math.max(0, process.memoryUsage().heapUsed - before) / count;
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

/** Whether the cost stays under the target and grows no faster than the logarithm of the number. */
function isLogarithmic(counts: readonly number[], costs: readonly Cost[]): boolean {
	const [first] = costs;
	const last = costs.at(-1);
	const logarithms = Math.log2(counts.at(-1) ?? 1) / Math.log2(counts[0] ?? 1);
	return first !== undefined && last !== undefined
		&& costs.every(cost => cost.microseconds < targetMicroseconds)
		&& last.microseconds <= first.microseconds * logarithms;
}
