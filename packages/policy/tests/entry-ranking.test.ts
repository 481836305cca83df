/** Which entries a look-up names. */
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

function ask(members: readonly Member[], question: {customer?: Customer; region?: string; caller?: string; unavailable?: readonly string[]} = {}): Member[] {
	const {customer, region = 'oslo', caller = '10.0.0.1', unavailable = []} = question;
	return rankEntries(createEntryDirectory(members), {
		customer, region, caller, unavailable: new Set(unavailable),
	});
}

describe('a look-up', () => {
	test.each([
		{
			name: 'names entries of the caller\'s region first', perRegion: 4, region: 'bergen', expected: ['bergen', 'bergen', 'bergen', 'bergen'],
		},
		{
			name: 'names at most six of the region when there are more', perRegion: 100, region: 'oslo', expected: ['oslo', 'oslo', 'oslo', 'oslo', 'oslo', 'oslo'],
		},
	])('$name', ({perRegion, region, expected}) => {
		const entries = ask(createMembers(perRegion), {region});
		expect(entries.slice(0, expected.length).map(member => member.region)).toEqual(expected);
		expect(entries.length).toBe(8);
		expect(new Set(entries.slice(expected.length).map(member => member.region)).has(region)).toBe(false);
	});

	test.each([{customer: small}, {customer: large}])('never names a member without the role of an entry, for $customer.name', ({customer}) => {
		const [other, ...entries] = createMembers(1);
		const named = ask([{...other!, isEntry: false}, ...entries], {customer});
		expect(named.map(({id}) => id).toSorted()).toEqual(entries.map(({id}) => id).toSorted());
	});

	test.each([{customer: small}, {customer: large}])('sends the callers of $customer.name to the holders of its floors', ({customer}) => {
		const members = createMembers(4);
		const holders = getCustomerMembers(customer, members).map(member => member.id);
		const entries = ask(members, {customer}).map(member => member.id);
		expect(entries.slice(0, Math.min(8, holders.length)).every(id => holders.includes(id))).toBe(true);
	});

	test.each([
		{name: 'a draining member', members: createMembers(2).map(member => member.id === 'oslo-1' ? {...member, state: 'draining' as const} : member), unavailable: []},
		{name: 'an unavailable member', members: createMembers(2), unavailable: ['oslo-1']},
	])('leaves out $name, also one that holds floors', ({members, unavailable}) => {
		for (const customer of [undefined, small, large]) {
			const entries = ask(members, {unavailable, ...(customer && {customer})});
			expect(entries.map(member => member.id)).not.toContain('oslo-1');
			expect(entries.length).toBe(5);
		}
	});

	test.each([1, 6, 40])('takes the first %i of a ranking in one pass', count => {
		const members = createMembers(10);
		for (const name of ['10.0.0.1', '10.0.0.2', 'wideroe']) {
			expect(rankFirstByName(name, members, count)).toEqual(rankByName(name, members).slice(0, count));
		}
	});

	test('spreads callers over the region', () => {
		const members = createMembers(4);
		const first = Array.from({length: 400}, (_, index) => ask(members, {caller: `10.0.0.${index}`})[0]!.id);
		const counts = ['oslo-1', 'oslo-2', 'oslo-3', 'oslo-4'].map(id => first.filter(other => other === id).length);
		expect(Math.min(...counts)).toBeGreaterThan(50);
	});
});
