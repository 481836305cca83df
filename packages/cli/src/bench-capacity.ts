/**
 * `catkindale bench capacity`: processor time (not elapsed time) of one
 * operation of each role, by the size that it grows with. docs/CAPACITY.md is
 * based on these figures.
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
const allocationSampleSize = 100;
const minimumMeasuredMicroseconds = 200_000;

registerBench({
	name: 'capacity',
	describe: 'processor time of configuration, ledger and message operations by size, for docs/CAPACITY.md',
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
			reportLookup(count, options);
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
	const parseMicroseconds = measure(() => {
		parseConfiguration(configuration);
	});
	const indexMicroseconds = measure(() => {
		createRoutingTable(configuration);
	});
	print(`configuration of ${size}: ${bytes} bytes, check ${parseMicroseconds.toFixed(0)} us, index ${indexMicroseconds.toFixed(0)} us`);
}

function reportLedger(memberCount: number, {print}: BenchOptions): void {
	const ledger = createSampleLedger(memberCount);
	const view = updateLedger(createLedgerView(ledger.members[0]!.incarnation), ledger, 0, 0);
	const epochMicroseconds = measure(() => {
		updateLedger(view, {...ledger, epoch: 2}, 1, 1);
	});
	const reportMicroseconds = measure(() => {
		getLeaseRenewedAt(updatePeer(view, createReport(ledger), 1), 1);
	});
	const allocationMicroseconds = measure(() => {
		computeAllocations(ledger);
	});
	const bytes = encodeFrame(ledger).length;
	print(`ledger of ${memberCount} members: ${bytes} bytes, new epoch ${epochMicroseconds.toFixed(0)} us, one report ${reportMicroseconds.toFixed(0)} us, `
		+ `allocations of ${allocationSampleSize} customers and targets ${allocationMicroseconds.toFixed(0)} us`);
}

function reportLookup(memberCount: number, {print}: BenchOptions): void {
	const {members} = createSampleLedger(memberCount);
	const directory = createEntryDirectory(members);
	const [customer] = allocationConfiguration.customers;
	let caller = 0;
	const rankingMicroseconds = measure(() => {
		caller += 1;
		rankEntries(directory, {
			customer, region: 'region-0', caller: String(caller), unavailable: noMembers,
		});
	});
	const signingMicroseconds = measure(() => {
		createTicketPrefix('secret of the fleet', {entryId: 'node-1', incarnation: '1', issuedAt: 0});
	});
	print(`lookup among ${memberCount} members: ranking ${rankingMicroseconds.toFixed(1)} us, one ticket prefix ${signingMicroseconds.toFixed(1)} us`);
}

function createReport(ledger: Ledger): Parameters<typeof updatePeer>[1] {
	return {
		incarnation: ledger.members.at(-1)!.incarnation, position: {epoch: 1, version: 0}, overAllocations: [], sentAt: 1, echoedAt: 1,
	};
}

function computeAllocations(ledger: Ledger): void {
	const members = getQuotaMembers(ledger);
	const {customers, targets} = allocationConfiguration;
	const ownIncarnation = members[0]!.incarnation;
	for (const customer of customers) {
		getCustomerMembers(customer, members);
		getTokenAllocation(customer, ownIncarnation, members);
	}

	for (const target of targets) {
		getSlotAllocation(target, ownIncarnation, members);
	}
}

const noMembers: ReadonlySet<string> = new Set();
const allocationConfiguration = createSampleConfiguration(allocationSampleSize, allocationSampleSize);

/** Microseconds of processor time of one call, measured after a first call as warm-up. */
function measure(run: () => void): number {
	run();
	const cpuUsageAtStart = process.cpuUsage();
	let calls = 0;
	for (let usedMicroseconds = 0; usedMicroseconds < minimumMeasuredMicroseconds || calls < 3; usedMicroseconds = getMicroseconds(process.cpuUsage(cpuUsageAtStart))) {
		run();
		calls += 1;
	}

	return getMicroseconds(process.cpuUsage(cpuUsageAtStart)) / calls;
}

function getMicroseconds({user, system}: NodeJS.CpuUsage): number {
	return user + system;
}
