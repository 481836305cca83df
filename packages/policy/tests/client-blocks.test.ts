/** Compares lookups of client blocks with a linear search for the longest matching prefix. */
import {describe, expect, test} from 'vitest';
import fc from 'fast-check';
import ipaddr from 'ipaddr.js';
import {
	type SiteChange,
	type SiteWeight,
	changeClientBlocks,
	chooseSite,
	createClientBlockSnapshot,
	createClientBlockTable,
	findSites,
	runToCompletion,
	parseClientAddress,
	parseClientBlockSnapshot,
	parseSiteChange,
} from '@catkindale/policy';

type Block = {readonly prefix: string; readonly site: string};
type BlockLists = fc.Arbitrary<Block[]>;

const groups = fc.array(fc.integer({min: 0, max: 3}), {minLength: 8, maxLength: 8});
const ipv4 = fc.array(fc.integer({min: 0, max: 3}), {minLength: 4, maxLength: 4}).map(bytes => bytes.join('.'));
const ipv6 = groups.map(parts => ipaddr.fromByteArray(parts.flatMap(part => [part, part])).toString());
const address = fc.oneof(ipv4, ipv6);
const block = fc.record({
	prefix: fc.oneof(
		fc.tuple(ipv4, fc.integer({min: 0, max: 32})),
		fc.tuple(ipv6, fc.integer({min: 0, max: 128})),
	).map(([start, length]) => `${start}/${length}`),
	site: fc.constantFrom('oslo', 'bergen', 'tromso'),
});

function toChange({prefix, site}: Block, isRemoved = false): SiteChange {
	const parsed = parseSiteChange(prefix, isRemoved ? undefined : [{site, weight: 1}]);
	if (!parsed.ok) {
		throw new Error(parsed.error);
	}

	return parsed.value;
}

/** The site of the longest prefix that contains the address; of equal prefixes the last one applies. */
function findExpected(blocks: readonly Block[], text: string): string | undefined {
	const parsedAddress = ipaddr.parse(text);
	let best = -1;
	let site: string | undefined;
	for (const candidate of blocks) {
		const [start, length] = ipaddr.parseCIDR(candidate.prefix);
		if (start.kind() === parsedAddress.kind() && parsedAddress.match(start, length) && length >= best) {
			best = length;
			site = candidate.site;
		}
	}

	return site;
}

describe('client blocks', () => {
	test('a lookup finds the longest prefix, also after changes and from a snapshot', () => {
		const addressLists = fc.array(address, {minLength: 20, maxLength: 20});
		const blockLists = [30, 10, 5].map(maxLength => fc.array(block, {maxLength})) as [BlockLists, BlockLists, BlockLists];
		fc.assert(fc.property(...blockLists, addressLists, (first, second, removed, addresses) => {
			const initial = runToCompletion(changeClientBlocks(createClientBlockTable(), first.map(item => toChange(item))));
			const changes = [...second.map(item => toChange(item)), ...removed.map(item => toChange(item, true))];
			const changed = runToCompletion(changeClientBlocks(initial, changes));
			const restored = runToCompletion(parseClientBlockSnapshot(createClientBlockSnapshot(changed, 1)));
			const isRemoved = (candidate: Block) => removed.some(item => getKey(item) === getKey(candidate));
			const remaining = [...first, ...second].filter(candidate => !isRemoved(candidate));
			for (const text of addresses) {
				expect(findSites(initial, text)[0]?.site).toBe(findExpected(first, text));
				expect(findSites(changed, text)[0]?.site).toBe(findExpected(remaining, text));
				expect(restored.ok && findSites(restored.value, text)[0]?.site).toBe(findExpected(remaining, text));
			}
		}), {seed: 1, numRuns: 300});
	});

	test('addresses are parsed as by the library', () => {
		const random = fc.oneof(fc.ipV4(), fc.ipV6(), fc.string({maxLength: 12}), fc.array(fc.constantFrom(...'012afF:.'), {maxLength: 20}).map(characters => characters.join('')));
		fc.assert(fc.property(random, text => {
			const parsed = parseClientAddress(text);
			const expected = ipaddr.isValid(text) ? ipaddr.process(text) : undefined;
			expect(parsed?.words).toEqual(expected && toWords(expected.toByteArray()));
		}), {seed: 1, numRuns: 20_000});
	});

	test.each([
		{name: 'no prefix length', prefix: '10.0.0.0'},
		{name: 'too long a prefix', prefix: '10.0.0.0/33'},
		{name: 'an invalid address', prefix: 'oslo/8'},
	])('a block with $name is refused', ({prefix}) => {
		expect(parseSiteChange(prefix, [])).toMatchObject({ok: false});
	});

	test.each([
		{name: 'columns of unequal length', override: {count: 3}},
		{name: 'an assignment that doesn\'t exist', override: {assignments: Uint32Array.of(9)}},
	])('a snapshot with $name is refused', ({override}) => {
		const table = runToCompletion(changeClientBlocks(createClientBlockTable(), [toChange({prefix: '10.0.0.0/8', site: 'oslo'})]));
		const snapshot = createClientBlockSnapshot(table, 1);
		expect(runToCompletion(parseClientBlockSnapshot({...snapshot, ipv4: {...snapshot.ipv4, ...override}}))).toMatchObject({ok: false});
	});

	test('clients are distributed over sites by weight', () => {
		const sites: SiteWeight[] = [{site: 'oslo', weight: 3}, {site: 'bergen', weight: 1}];
		const words = Array.from({length: 10_000}, (_, index) => index);
		const share = words.filter(word => chooseSite(sites, word) === 'oslo').length / words.length;
		expect(share).toBeCloseTo(0.75, 1);
	});
});

function getKey({prefix}: Block): string {
	const {prefix: {family, words, length}} = toChange({prefix, site: 'oslo'});
	return `${family} ${words.join(' ')}/${length}`;
}

function toWords(bytes: readonly number[]): number[] {
	const words: number[] = [];
	for (let index = 0; index < bytes.length; index += 4) {
		words.push(bytes.slice(index, index + 4).reduce((word, byte) => (word * 256) + byte, 0));
	}

	return words;
}
