/**
 * The slopes behind docs/CAPACITY.md: what one step of each role costs, by
 * the size that it grows with. Processor time, not elapsed time.
 */
import process from 'node:process';
import {
	type Configuration, type Ledger, createEntryDirectory, createLedgerView, getLeaseRenewedAt, getCustomerMembers, rankEntries, getQuotaMembers,
	getTokenAllocation, getSlotAllocation, parseConfiguration, updateLedger, updatePeer,
} from '@catkindale/policy';
import {
	type PeerMessage, createFrameReader, encodeFrame, encodeMessage, parsePeerMessage,
} from '@catkindale/protocol';
import {createRoutingTable, createTicketPrefix} from '@catkindale/node';
import {type BenchOptions, registerBench} from './bench-registry.js';
import {createSampleConfiguration, createSampleLedger, sampleMessages} from './capacity-samples.js';

const targetCounts = [44, 440, 4400, 44_000];
const customerCounts = [8, 80, 800, 8000];
const memberCounts = [12, 61, 244, 975, 3900];
const customersForFloors = 100;
const leastMeasuredMicroseconds = 200_000;

registerBench({
	name: 'capacity',
	describe: 'slopes of configuration, ledger and messages, for docs/CAPACITY.md',
	async run(options) {
		reportMessages(options);
		for (const count of targetCounts) {
			reportConfiguration(createSampleConfiguration(count, 8), `${count} targets, 8 customers`, options);
		}

		for (const count of customerCounts) {
			reportConfiguration(createSampleConfiguration(44, count), `44 targets, ${count} customers`, options);
		}

		for (const count of memberCounts) {
			reportLedger(count, options);
			reportLookUp(count, options);
		}

		return true;
	},
});

function reportMessages({print}: BenchOptions): void {
	for (const [name, message] of Object.entries(sampleMessages)) {
		const frame = encodeMessage(message);
		const microseconds = measure(() => {
			receive(encodeMessage(message));
		});
		print(`${name}: ${frame.length} bytes, ${microseconds.toFixed(1)} us to send and receive`);
	}
}

function receive(frame: Uint8Array): PeerMessage | undefined {
	let received: PeerMessage | undefined;
	createFrameReader().push(frame, data => {
		const parsed = parsePeerMessage(data);
		received = parsed.ok ? parsed.value : undefined;
	});
	return received;
}

function reportConfiguration(configuration: Configuration, size: string, {print}: BenchOptions): void {
	const bytes = encodeFrame(configuration).length;
	const checked = measure(() => {
		parseConfiguration(configuration);
	});
	const indexed = measure(() => {
		createRoutingTable(configuration);
	});
	print(`configuration of ${size}: ${bytes} bytes, check ${checked.toFixed(0)} us, index ${indexed.toFixed(0)} us`);
}

function reportLedger(memberCount: number, {print}: BenchOptions): void {
	const ledger = createSampleLedger(memberCount);
	const view = updateLedger(createLedgerView(ledger.members[0]!.incarnation), ledger, 0, 0);
	const taken = measure(() => {
		updateLedger(view, {...ledger, epoch: 2}, 1, 1);
	});
	const reported = measure(() => {
		getLeaseRenewedAt(updatePeer(view, createReport(ledger), 1), 1);
	});
	const floors = measure(() => {
		computeFloors(ledger);
	});
	const bytes = encodeFrame(ledger).length;
	print(`ledger of ${memberCount} members: ${bytes} bytes, new epoch ${taken.toFixed(0)} us, one report ${reported.toFixed(0)} us, `
		+ `floors of ${customersForFloors} customers and targets ${floors.toFixed(0)} us`);
}

function reportLookUp(memberCount: number, {print}: BenchOptions): void {
	const {members} = createSampleLedger(memberCount);
	const directory = createEntryDirectory(members);
	const [customer] = floorConfiguration.customers;
	let caller = 0;
	const ranked = measure(() => {
		caller += 1;
		rankEntries(directory, {
			customer, region: 'region-0', caller: String(caller), unavailable: noMembers,
		});
	});
	const signed = measure(() => {
		createTicketPrefix('secret of the fleet', {entryId: 'node-1', incarnation: '1', issuedAt: 0});
	});
	print(`look-up among ${memberCount} members: ranking ${ranked.toFixed(1)} us, one ticket prefix ${signed.toFixed(1)} us`);
}

function createReport(ledger: Ledger): Parameters<typeof updatePeer>[1] {
	return {
		incarnation: ledger.members.at(-1)!.incarnation, position: {epoch: 1, version: 0}, overAllocations: [], sentAt: 1, echoedAt: 1,
	};
}

function computeFloors(ledger: Ledger): void {
	const holders = getQuotaMembers(ledger);
	const {customers, targets} = floorConfiguration;
	const own = holders[0]!.incarnation;
	for (const customer of customers) {
		getCustomerMembers(customer, holders);
		getTokenAllocation(customer, own, holders);
	}

	for (const target of targets) {
		getSlotAllocation(target, own, holders);
	}
}

const noMembers: ReadonlySet<string> = new Set();
const floorConfiguration = createSampleConfiguration(customersForFloors, customersForFloors);

/** Microseconds of processor time of one call, after a warm-up. */
function measure(run: () => void): number {
	run();
	const started = process.cpuUsage();
	let calls = 0;
	for (let used = 0; used < leastMeasuredMicroseconds || calls < 3; used = getMicroseconds(process.cpuUsage(started))) {
		run();
		calls += 1;
	}

	return getMicroseconds(process.cpuUsage(started)) / calls;
}

function getMicroseconds({user, system}: NodeJS.CpuUsage): number {
	return user + system;
}
