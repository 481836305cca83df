/** Floors: whole numbers that add up to the limit, on members of two regions. */
import {expect, test} from 'vitest';
import {
	type Customer, type QuotaMember, type Member, type Target, emptyLedger, getCustomerMembers, getQuotaMembers, getTokenAllocation, getSlotAllocation, joinLedger,
} from '../src/index.js';

const regions = ['ost', 'sued', 'west'];

function createHolders(count: number): QuotaMember[] {
	return Array.from({length: count}, (_, index) => ({
		id: `node-${index}`, incarnation: `run-${index}`, region: regions[index % regions.length]!, zone: 'a',
	}));
}

function createTarget(slots: number, region: string): Target {
	return {
		name: 'status-1', service: 'status', version: '1', region, zone: 'a', address: '10.0.0.1:80', slots,
	};
}

const holders = createHolders(12);

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
])('customer $name sits on $members members and its floors add up to its limits', customer => {
	const members = getCustomerMembers(customer, holders);
	const floors = holders.map(holder => getTokenAllocation(customer, holder.incarnation, holders));
	expect(members).toHaveLength(customer.members);
	expect(new Set(members.map(member => member.region)).size).toBeGreaterThan(1);
	expect(floors.reduce((sum, floor) => sum + floor.burst, 0)).toBe(customer.burst);
	expect(floors.reduce((sum, floor) => sum + floor.rate, 0)).toBeCloseTo(customer.rate);
	expect(floors.every(floor => Number.isInteger(floor.burst))).toBe(true);
});

test.each([
	{name: 'its own region', region: 'ost', holding: 4},
	{name: 'the fleet if its region has none', region: 'nord', holding: 5},
])('slots of a target go to $name', ({region, holding}) => {
	const floors = holders.map(holder => getSlotAllocation(createTarget(5, region), holder.incarnation, holders));
	expect(floors.reduce((sum, floor) => sum + floor, 0)).toBe(5);
	expect(floors.filter(floor => floor > 0)).toHaveLength(holding);
});

test('a member without the role of an entry holds no share, and the others hold all', () => {
	const members = createHolders(3).map((holder): Member => ({
		...holder, callerAddress: '', peerAddress: '', state: 'live', isEntry: holder.id !== 'node-0',
	}));
	let ledger = emptyLedger;
	for (const member of members) {
		ledger = joinLedger(ledger, member);
	}

	const sharers = getQuotaMembers(ledger);
	const customer = {name: 'kommune', rate: 400, burst: 600};
	const bursts = members.map(({incarnation}) => getTokenAllocation(customer, incarnation, sharers).burst);
	const slots = members.map(({incarnation}) => getSlotAllocation(createTarget(5, 'ost'), incarnation, sharers));
	expect(bursts[0]).toBe(0);
	expect(slots[0]).toBe(0);
	expect(bursts.reduce((sum, burst) => sum + burst, 0)).toBe(customer.burst);
	expect(slots.reduce((sum, share) => sum + share, 0)).toBe(5);
});
