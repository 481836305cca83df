/** Allocations are whole numbers that add up to the limit, and a customer's members are in at least two regions. */
import {expect, test} from 'vitest';
import {
	type Customer, type QuotaMember, type Member, type Target, emptyLedger, getCustomerMembers, getQuotaMembers, getTokenAllocation, getSlotAllocation, joinLedger,
} from '../src/index.js';

const regions = ['ost', 'sued', 'west'];

function createQuotaMembers(count: number): QuotaMember[] {
	return Array.from({length: count}, (_, index) => ({
		id: `node-${index}`, incarnation: `run-${index}`, region: regions[index % regions.length]!, zone: 'a',
	}));
}

function createTarget(slots: number, region: string): Target {
	return {
		name: 'status-1', service: 'status', version: '1', region, zone: 'a', address: '10.0.0.1:80', slots,
	};
}

const fleet = createQuotaMembers(12);

test.each<Customer & {readonly members: number}>([
	{
		name: 'school', rate: 5, burst: 5, members: 2,
	},
	{
		name: 'single', rate: 1, burst: 1, members: 2,
	},
	{
		name: 'kiel', rate: 50, burst: 100, members: 2,
	},
	{
		name: 'kommune', rate: 400, burst: 600, members: 8,
	},
	{
		name: 'all', rate: 10_000, burst: 10_000, members: 12,
	},
])('customer $name has $members members, whose allocations add up to its limits', customer => {
	const members = getCustomerMembers(customer, fleet);
	const allocations = fleet.map(member => getTokenAllocation(customer, member.incarnation, fleet));
	expect(members).toHaveLength(customer.members);
	expect(new Set(members.map(member => member.region)).size).toBeGreaterThan(1);
	expect(allocations.reduce((sum, allocation) => sum + allocation.burst, 0)).toBe(customer.burst);
	expect(allocations.reduce((sum, allocation) => sum + allocation.rate, 0)).toBeCloseTo(customer.rate);
	expect(allocations.every(allocation => Number.isInteger(allocation.burst))).toBe(true);
});

test.each([
	{name: 'its own region', region: 'ost', memberCount: 4},
	{name: 'the fleet if its region has none', region: 'nord', memberCount: 5},
])('slots of a target are divided among the members of $name', ({region, memberCount}) => {
	const allocations = fleet.map(member => getSlotAllocation(createTarget(5, region), member.incarnation, fleet));
	expect(allocations.reduce((sum, allocation) => sum + allocation, 0)).toBe(5);
	expect(allocations.filter(allocation => allocation > 0)).toHaveLength(memberCount);
});

test('a member without the entry role has no allocation, and the others have the whole limit', () => {
	const members = createQuotaMembers(3).map((member): Member => ({
		...member, callerAddress: '', peerAddress: '', state: 'live', isEntry: member.id !== 'node-0',
	}));
	let ledger = emptyLedger;
	for (const member of members) {
		ledger = joinLedger(ledger, member);
	}

	const quotaMembers = getQuotaMembers(ledger);
	const customer = {name: 'kommune', rate: 400, burst: 600};
	const bursts = members.map(({incarnation}) => getTokenAllocation(customer, incarnation, quotaMembers).burst);
	const slots = members.map(({incarnation}) => getSlotAllocation(createTarget(5, 'ost'), incarnation, quotaMembers));
	expect(bursts[0]).toBe(0);
	expect(slots[0]).toBe(0);
	expect(bursts.reduce((sum, burst) => sum + burst, 0)).toBe(customer.burst);
	expect(slots.reduce((sum, allocation) => sum + allocation, 0)).toBe(5);
});
