/**
 * Time and memory of one request admission and of taking and releasing one slot,
 * by number of customers and targets, and the time of one change of all allocations.
 */
import process from 'node:process';
import {nanosecondsPerMillisecond, systemClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {type NodeMessage, type NodeQuotas, createNodeQuotas} from '@catkindale/node';
import {
	type Configuration, type Ledger, configurationSchema, emptyLedger, joinLedger,
} from '@catkindale/policy';
import {type Bench, registerBench} from './bench-registry.js';

type Size = {readonly customers: number; readonly targets: number; readonly members: number};

const sizes: readonly Size[] = [
	{customers: 8, targets: 44, members: 12},
	{customers: 10_000, targets: 4000, members: 12},
	{customers: 10_000, targets: 4000, members: 96},
];
const roundCount = 400_000;
const warmUpRoundCount = 50_000;
const maximumNanoseconds = 20_000;
const rate = 400;
/** Large enough that every admission of the run succeeds. */
const burst = 10_000_000;
const ownId = 'node-0';

const bench: Bench = {
	name: 'quota-costs',
	describe: 'nanoseconds of one admission and one slot, by number of customers, targets and members',
	async run({print}) {
		print('customers  targets  members  admission ns  bytes  slot ns  bytes   new allocations ms');
		let areCostsOnTarget = true;
		for (const size of sizes) {
			const quotas = createQuotas(size);
			const admission = measure(index => {
				quotas.requests.admit(`customer-${index % size.customers}`);
			});
			const slot = measure(index => {
				const target = `target-${index % size.targets}`;
				if (quotas.slots.take(target)) {
					quotas.slots.release(target);
				}
			});
			const changeMilliseconds = measureChange(quotas, size);
			areCostsOnTarget &&= admission.nanoseconds < maximumNanoseconds && slot.nanoseconds < maximumNanoseconds;
			print([
				String(size.customers).padStart(9),
				String(size.targets).padStart(8),
				String(size.members).padStart(8),
				admission.nanoseconds.toFixed(0).padStart(13),
				admission.bytes.toFixed(0).padStart(6),
				slot.nanoseconds.toFixed(0).padStart(8),
				slot.bytes.toFixed(0).padStart(6),
				changeMilliseconds.toFixed(1).padStart(20),
			].join(' '));
		}

		return areCostsOnTarget;
	},
};

registerBench(bench);

function createQuotas(size: Size): NodeQuotas {
	const bus = createMessageBus<NodeMessage>();
	const quotas = createNodeQuotas({
		ownId, region: 'ost', zone: 'ost-a', incarnation: ownId, clock: systemClock, bus, leaseMilliseconds: Number.POSITIVE_INFINITY, pauseLimitMilliseconds: Number.POSITIVE_INFINITY,
	});
	// The node is the only member at first, so that it gets allocations at once; the members added later only make the ranking longer.
	bus.publish({type: 'configuration-changed', version: 1, configuration: createConfiguration(size)});
	quotas.ledger.applyLedger(createLedger(1), quotas.clock.pauseAdjusted());
	return quotas;
}

function createLedger(members: number): Ledger {
	let ledger = emptyLedger;
	for (let index = 0; index < members; index++) {
		const id = `node-${index}`;
		ledger = joinLedger(ledger, {
			id, incarnation: id, region: 'ost', zone: 'ost-a', callerAddress: '', peerAddress: '', state: 'live',
		});
	}

	return ledger;
}

function createConfiguration({customers, targets}: Size): Configuration {
	return configurationSchema.parse({
		regions: [{name: 'ost', zones: ['ost-a']}],
		customers: Array.from({length: customers}, (_, index) => ({name: `customer-${index}`, rate, burst})),
		targets: Array.from({length: targets}, (_, index) => ({
			name: `target-${index}`, service: 'status', version: '1', region: 'ost', zone: 'ost-a', address: '127.0.0.1:1', slots: 4,
		})),
	});
}

type Cost = {readonly nanoseconds: number; readonly bytes: number};

function measure(run: (index: number) => void): Cost {
	for (let index = 0; index < warmUpRoundCount; index++) {
		run(index);
	}

	const initialHeapBytes = process.memoryUsage().heapUsed;
	let bytes = 0;
	let lastHeapBytes = initialHeapBytes;
	const startedAt = performance.now();
	const sampleInterval = roundCount / 100;
	for (let index = 0; index < roundCount; index++) {
		run(index);
		if (index % sampleInterval === 0) {
			const heapBytes = process.memoryUsage().heapUsed;
			// A garbage collection since the last reading shows as a decrease, which isn't counted.
			bytes += Math.max(0, heapBytes - lastHeapBytes);
			lastHeapBytes = heapBytes;
		}
	}

	const milliseconds = performance.now() - startedAt;
	return {nanoseconds: milliseconds * nanosecondsPerMillisecond / roundCount, bytes: bytes / roundCount};
}

/** Milliseconds to reduce all allocations to those of a new epoch with more members. */
function measureChange(quotas: NodeQuotas, {members}: Size): number {
	const ledger = createLedger(members);
	const startedAt = performance.now();
	quotas.ledger.applyLedger(ledger, quotas.clock.pauseAdjusted());
	return performance.now() - startedAt;
}
