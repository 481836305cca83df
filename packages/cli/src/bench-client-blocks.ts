/**
 * Lookup, memory and change of the client block table at the required size of
 * 590,000 blocks. The baseline is a map for each prefix length.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	type Random, bytesPerMebibyte, createRandom, nanosecondsPerMillisecond,
} from '@catkindale/common';
import {decodeClientBlocks, encodeClientBlocks} from '@catkindale/node';
import {objectDrivers} from '@catkindale/ports';
import {
	type ClientBlockTable,
	type SiteChange,
	type SiteWeight,
	changeClientBlocks,
	createClientBlockTable,
	findIpv4Assignment,
	findSites,
	runToCompletion,
	getClientBlockBytes,
} from '@catkindale/policy';
import {startObjectStoreStandin} from '@catkindale/standins';
import {type BenchOptions, registerBench} from './bench-registry.js';

const blockCount = 590_000;
const ipv6Fraction = 0.3;
const siteCount = 410;
const assignmentCount = 2000;
const changeCount = 1000;
const lookupCount = 1_000_000;
const targetNanoseconds = 1000;
const targetBytes = 64 * bytesPerMebibyte;
const targetChangeMilliseconds = 1000;
const wordRange = 2 ** 32;
const objectLimits = {timeoutMilliseconds: 10_000, maximumCallsInFlight: 1};
const baselinePrefixLengths = Array.from({length: 25}, (_, index) => 32 - index);

registerBench({
	name: 'client-blocks',
	describe: '590,000 client blocks: time of a lookup, memory, time to apply a change',
	async run(options) {
		const random = createRandom(options.seed);
		const bytesBefore = getMemoryInUse();
		const table = reportBuild(random, options);
		options.print(`heap and buffers in use: ${formatMebibytes(getMemoryInUse() - bytesBefore)} MiB`);
		const areLookupsOnTarget = reportLookups(table, random, options);
		const isMemoryOnTarget = reportMemory(table, options);
		const isChangeOnTarget = await reportChange(table, random, options);
		await reportSnapshot(table, options);
		return areLookupsOnTarget && isMemoryOnTarget && isChangeOnTarget;
	},
});

function getMemoryInUse(): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

function reportBuild(random: Random, {print}: BenchOptions): ClientBlockTable {
	const changes = Array.from({length: blockCount}, () => createChange(random));
	const startedAt = performance.now();
	const table = runToCompletion(changeClientBlocks(createClientBlockTable(), changes));
	print(`built from ${blockCount} blocks in ${(performance.now() - startedAt).toFixed(0)} ms`);
	return table;
}

function reportLookups(table: ClientBlockTable, random: Random, {print}: BenchOptions): boolean {
	const addressWords = Uint32Array.from({length: lookupCount}, () => random.integer(0, wordRange - 1));
	const addressTexts = Array.from({length: lookupCount / 10}, () => createAddressText(random));
	const rangeNanoseconds = timeEach(addressWords, word => findIpv4Assignment(table.families.ipv4.ranges, word));
	const textNanoseconds = timeEach(addressTexts, text => findSites(table, text).length);
	const maps = createLengthMaps(table);
	const mapNanoseconds = timeEach(addressWords, word => findInMaps(maps, word));
	print(`lookup of an IPv4 address as a number: ${rangeNanoseconds.toFixed(0)} ns`);
	print(`lookup of an address as text, IPv4 and IPv6: ${textNanoseconds.toFixed(0)} ns`);
	print(`baseline, a map for each prefix length, IPv4 as a number: ${mapNanoseconds.toFixed(0)} ns`);
	return rangeNanoseconds <= targetNanoseconds && textNanoseconds <= targetNanoseconds;
}

function reportMemory(table: ClientBlockTable, {print}: BenchOptions): boolean {
	const bytes = getClientBlockBytes(table);
	print(`columns: ${formatMebibytes(bytes)} MiB, ${(bytes / blockCount).toFixed(1)} bytes per block`);
	return bytes <= targetBytes;
}

async function reportChange(table: ClientBlockTable, random: Random, {print}: BenchOptions): Promise<boolean> {
	const changes = Array.from({length: changeCount}, () => createChange(random));
	const startedAt = performance.now();
	const {maximumStepMilliseconds} = await runInSteps(changeClientBlocks(table, changes));
	const totalMilliseconds = performance.now() - startedAt;
	print(`change of ${changeCount} blocks: ${totalMilliseconds.toFixed(0)} ms, longest blocking step ${maximumStepMilliseconds.toFixed(1)} ms`);
	return totalMilliseconds <= targetChangeMilliseconds;
}

/** Measures what a starting node does with a snapshot: download it from the object store, decode it and build the table. */
async function reportSnapshot(table: ClientBlockTable, {print}: BenchOptions): Promise<void> {
	const standin = await startObjectStoreStandin({host: '127.0.0.1', port: 0});
	const store = objectDrivers.open('http', {address: standin.address, ...objectLimits});
	const {name, content} = encodeClientBlocks(table);
	await store.put(name, content);
	const startedAt = performance.now();
	const object = await store.get(name);
	const downloadedAt = performance.now();
	const bytes = object.kind === 'done' && object.value ? object.value : new Uint8Array();
	const {value: decoded, maximumStepMilliseconds} = await runInSteps(decodeClientBlocks(bytes));
	const builtAt = performance.now();
	const result = decoded.ok ? 'restored' : `refused: ${decoded.error}`;
	print(`snapshot of ${formatMebibytes(content.length)} MiB ${result}: downloaded in ${(downloadedAt - startedAt).toFixed(0)} ms, decoded and built in `
		+ `${(builtAt - downloadedAt).toFixed(0)} ms, longest blocking step ${maximumStepMilliseconds.toFixed(1)} ms`);
	await store.close();
	await standin.stop();
}

/** Runs the work as a node does: after each step it yields to the event loop, so that lookups go on. */
async function runInSteps<Value>(work: Generator<void, Value>): Promise<{readonly value: Value; readonly maximumStepMilliseconds: number}> {
	let maximumStepMilliseconds = 0;
	for (;;) {
		const stepStartedAt = performance.now();
		const step = work.next();
		maximumStepMilliseconds = Math.max(maximumStepMilliseconds, performance.now() - stepStartedAt);
		if (step.done) {
			return {value: step.value, maximumStepMilliseconds};
		}

		await nextTurn();
	}
}

/** Mean nanoseconds of one call. The results are summed and used, so that the calls aren't optimized away. */
function timeEach<Value>(values: Iterable<Value>, lookup: (value: Value) => number): number {
	let sum = 0;
	let count = 0;
	const startedAt = performance.now();
	for (const value of values) {
		sum += lookup(value);
		count += 1;
	}

	const elapsedNanoseconds = (performance.now() - startedAt) * nanosecondsPerMillisecond;
	return sum >= 0 ? elapsedNanoseconds / count : Number.NaN;
}

function createChange(random: Random): SiteChange {
	const sites = createSites(random.integer(1, assignmentCount));
	if (random.fraction() < ipv6Fraction) {
		const addressWords = [createIpv6Word(random), random.integer(0, wordRange - 1), 0, 0];
		return {prefix: {family: 'ipv6', words: [addressWords[0]!, (addressWords[1]! & 0xFF_FF_00_00) >>> 0, 0, 0], length: 48}, sites};
	}

	const length = random.integer(12, 24);
	const word = (random.integer(0, wordRange - 1) & (wordRange - (2 ** (32 - length)))) >>> 0;
	return {prefix: {family: 'ipv4', words: [word], length}, sites};
}

/** One of a limited number of site lists, as the blocks of one network share a list. */
function createSites(assignment: number): SiteWeight[] {
	return [{site: `site-${assignment % siteCount}`, weight: 3}, {site: `site-${(assignment * 7) % siteCount}`, weight: 1}];
}

function createIpv6Word(random: Random): number {
	return (0x20_01_00_00 + random.integer(0, 0x0F_FF_FF_FF)) >>> 0;
}

function createAddressText(random: Random): string {
	if (random.fraction() < ipv6Fraction) {
		const groups = [0, 0, 0, 0, 0, 0].map(() => random.integer(0, 0xFF_FF).toString(16));
		return `2${random.integer(0x0_00, 0xF_FF).toString(16).padStart(3, '0')}:${groups.join(':')}:1`;
	}

	return [0, 0, 0, 0].map(() => random.integer(0, 255)).join('.');
}

function createLengthMaps(table: ClientBlockTable): Array<Map<number, number>> {
	const {set} = table.families.ipv4;
	const maps = baselinePrefixLengths.map(() => new Map<number, number>());
	for (let position = 0; position < set.count; position++) {
		maps[32 - set.lengths[position]!]?.set(set.addresses[0]![position]!, set.assignments[position]!);
	}

	return maps;
}

function findInMaps(maps: ReadonlyArray<ReadonlyMap<number, number>>, word: number): number {
	for (const [hostBits, map] of maps.entries()) {
		const found = map.get((word & (wordRange - (2 ** hostBits))) >>> 0);
		if (found !== undefined) {
			return found;
		}
	}

	return 0;
}

function formatMebibytes(bytes: number): string {
	return (bytes / bytesPerMebibyte).toFixed(1);
}
