/** The entries that a lookup returns, and their order. */
import {describe, expect, test} from 'vitest';
import {
	type Customer, type Member, createEntryDirectory, getCustomerMembers, rankEntries, rankByName, rankFirstByName,
} from '@catkindale/policy';

const regions = ['oslo', 'bergen', 'tromso'];
const small: Customer = {name: 'island-handling', rate: 5, burst: 5};
const large: Customer = {name: 'gardermoen-handling', rate: 400, burst: 400};

function createMembers(perRegion: number, change: Partial<Member> = {}): Member[] {
	return regions.flatMap(region => Array.from({length: perRegion}, (_, index): Member => ({
		id: `${region}-${index + 1}`, incarnation: '1', region, zone: `${region}-a`, callerAddress: '', peerAddress: '', state: 'live', ...change,
	})));
}

function lookUp(members: readonly Member[], lookup: {customer?: Customer; region?: string; caller?: string; unavailable?: readonly string[]} = {}): Member[] {
	const {customer, region = 'oslo', caller = '10.0.0.1', unavailable = []} = lookup;
	return rankEntries(createEntryDirectory(members), {
		customer, region, caller, unavailable: new Set(unavailable),
	});
}

describe('a lookup', () => {
	test.each([
		{
			name: 'returns entries of the caller\'s region first', perRegion: 4, region: 'bergen', expected: ['bergen', 'bergen', 'bergen', 'bergen'],
		},
		{
			name: 'returns at most six of the region when there are more', perRegion: 100, region: 'oslo', expected: ['oslo', 'oslo', 'oslo', 'oslo', 'oslo', 'oslo'],
		},
	])('$name', ({perRegion, region, expected}) => {
		const entries = lookUp(createMembers(perRegion), {region});
		expect(entries.slice(0, expected.length).map(member => member.region)).toEqual(expected);
		expect(entries.length).toBe(8);
		expect(new Set(entries.slice(expected.length).map(member => member.region)).has(region)).toBe(false);
	});

	test.each([{customer: small}, {customer: large}])('never returns a member without the entry role, for $customer.name', ({customer}) => {
		const [nonEntry, ...entries] = createMembers(1);
		const returned = lookUp([{...nonEntry!, isEntry: false}, ...entries], {customer});
		expect(returned.map(({id}) => id).toSorted()).toEqual(entries.map(({id}) => id).toSorted());
	});

	test.each([{customer: small}, {customer: large}])('directs the callers of $customer.name to the members with an allocation for it', ({customer}) => {
		const members = createMembers(4);
		const customerMembers = getCustomerMembers(customer, members).map(member => member.id);
		const entries = lookUp(members, {customer}).map(member => member.id);
		expect(entries.slice(0, Math.min(8, customerMembers.length)).every(id => customerMembers.includes(id))).toBe(true);
	});

	test.each([
		{name: 'a draining member', members: createMembers(2).map(member => member.id === 'oslo-1' ? {...member, state: 'draining' as const} : member), unavailable: []},
		{name: 'an unavailable member', members: createMembers(2), unavailable: ['oslo-1']},
	])('leaves out $name, also one with an allocation', ({members, unavailable}) => {
		for (const customer of [undefined, small, large]) {
			const entries = lookUp(members, {unavailable, ...(customer && {customer})});
			expect(entries.map(member => member.id)).not.toContain('oslo-1');
			expect(entries.length).toBe(5);
		}
	});

	test.each([1, 6, 40])('ranks the first %i members as a full ranking does', count => {
		const members = createMembers(10);
		for (const name of ['10.0.0.1', '10.0.0.2', 'wideroe']) {
			expect(rankFirstByName(name, members, count)).toEqual(rankByName(name, members).slice(0, count));
		}
	});

	test('spreads callers over the region', () => {
		const members = createMembers(4);
		const first = Array.from({length: 400}, (_, index) => lookUp(members, {caller: `10.0.0.${index}`})[0]!.id);
		const counts = ['oslo-1', 'oslo-2', 'oslo-3', 'oslo-4'].map(id => first.filter(chosen => chosen === id).length);
		expect(Math.min(...counts)).toBeGreaterThan(50);
	});
});
