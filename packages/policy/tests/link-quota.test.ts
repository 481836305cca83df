/** A node's quota of a link: reservations, the effects of changed allocations, and the order of the classes. */
import {expect, test} from 'vitest';
import {
	type QuotaMember, type Link, type LinkQuota, type WaitingLinkBytes, createLinkQuota, fillLinkQuota, getLinkBurst, getLinkAllocation, getLinkMembers, getNextLinkClass,
	isLinkOverAllocated, maximumLinkReadBytes, reduceLinkAllocation, parseConfiguration, releaseLinkBytes, reserveLinkBytes, setLinkAllocation, consumeLinkBytes,
} from '@catkindale/policy';

const burst = 1000;
const rate = 100;
const fullAllocation = {rate, burst};

type Case = {
	readonly title: string;
	readonly change: (quota: LinkQuota) => LinkQuota;
	readonly tokens: number;
	readonly reserved: number;
};

const reserve = (quota: LinkQuota, bytes: number): LinkQuota => reserveLinkBytes(quota, bytes)!;
const cases: Case[] = [
	{
		title: 'an added allocation starts empty', change: () => setLinkAllocation(createLinkQuota(0), fullAllocation, 0), tokens: 0, reserved: 0,
	},
	{
		title: 'reserved bytes count against the burst', change: quota => fillLinkQuota(reserve(quota, 300), 1_000_000), tokens: 700, reserved: 300,
	},
	{
		title: 'tokens accrue again once the bytes have crossed', change: quota => fillLinkQuota(consumeLinkBytes(reserve(quota, 300), 300, 20_000), 21_000), tokens: 800, reserved: 0,
	},
	{
		title: 'no tokens accrue later for time during which the bucket was full',
		change: quota => fillLinkQuota(consumeLinkBytes(reserve(quota, 300), 300, 1_000_000), 1_000_000), tokens: 700, reserved: 0,
	},
	{
		title: 'bytes that didn\'t cross are released', change: quota => releaseLinkBytes(reserve(quota, 300), 300, 20_000), tokens: 1000, reserved: 0,
	},
	{
		title: 'a reduced allocation drops tokens', change: quota => reduceLinkAllocation(quota, {rate, burst: 400}, 20_000), tokens: 400, reserved: 0,
	},
	{
		title: 'a reduced allocation leaves reserved bytes', change: quota => reduceLinkAllocation(reserve(quota, 700), {rate, burst: 400}, 20_000), tokens: 0, reserved: 700,
	},
	{
		title: 'bytes released above the reduced allocation are dropped',
		change: quota => releaseLinkBytes(reduceLinkAllocation(reserve(quota, 700), {rate, burst: 400}, 20_000), 500, 20_000), tokens: 200, reserved: 200,
	},
];

test.each(cases)('$title', ({change, tokens, reserved}) => {
	const full = fillLinkQuota(setLinkAllocation(createLinkQuota(0), fullAllocation, 0), 20_000);
	const quota = change(full);
	expect(quota).toMatchObject({tokens, reserved});
	expect(isLinkOverAllocated(quota)).toBe(reserved > quota.allocation.burst);
	expect(reserveLinkBytes(quota, tokens + 1)).toBeUndefined();
});

const classCases: Array<{readonly title: string; readonly waits: WaitingLinkBytes; readonly interactiveBytes: number; readonly next: string | undefined}> = [
	{
		title: 'no class', waits: {interactive: undefined, bulk: undefined}, interactiveBytes: 0, next: undefined,
	},
	{
		title: 'bulk alone', waits: {interactive: undefined, bulk: 10}, interactiveBytes: 0, next: 'bulk',
	},
	{
		title: 'interactive before bulk', waits: {interactive: 10, bulk: 10}, interactiveBytes: 89, next: 'interactive',
	},
	{
		title: 'bulk for a tenth of the bytes', waits: {interactive: 10, bulk: 10}, interactiveBytes: 90, next: 'bulk',
	},
];

test.each(classCases)('the next class to reserve: $title', ({waits, interactiveBytes, next}) => {
	expect(getNextLinkClass(waits, interactiveBytes)).toBe(next);
});

const members: QuotaMember[] = ['oslo', 'bergen', 'tromso'].flatMap(region => [1, 2, 3].map(index => ({
	id: `${region}-${index}`, incarnation: `${region}-${index}/1`, region, zone: `${region}-a`,
})));

test.each([
	{title: 'a fast link is divided among all nodes of its regions', bytesPerSecond: 37_500_000, count: 6},
	{title: 'a slow link is divided among few nodes', bytesPerSecond: 600_000, count: 2},
	{title: 'the slowest link belongs to one node', bytesPerSecond: 1000, count: 1},
])('$title', ({bytesPerSecond, count}) => {
	const link: Link = {from: 'oslo', to: 'bergen', bytesPerSecond};
	const chosen = getLinkMembers(link, members);
	expect(chosen.length).toBe(count);
	expect(chosen.every(({region}) => region !== 'tromso')).toBe(true);
	expect(new Set(chosen.map(({region}) => region)).size).toBe(Math.min(2, count));
	const allocations = members.map(member => getLinkAllocation(link, member.incarnation, members));
	expect(allocations.reduce((sum, allocation) => sum + allocation.burst, 0)).toBe(getLinkBurst(link));
	expect(allocations.reduce((sum, allocation) => sum + allocation.rate, 0)).toBeCloseTo(bytesPerSecond, 6);
	expect(allocations.every(allocation => allocation.burst === 0 || allocation.burst >= maximumLinkReadBytes)).toBe(true);
});

const regions = ['oslo', 'bergen'].map(name => ({name, zones: [`${name}-a`]}));
const osloToBergen = {from: 'oslo', to: 'bergen', bytesPerSecond: 1_000_000};

test.each([
	{title: 'in both directions', links: [osloToBergen, {...osloToBergen, from: 'bergen', to: 'oslo'}], reason: undefined},
	{title: 'twice in the same direction', links: [osloToBergen, osloToBergen], reason: 'the link from "oslo" to "bergen" is declared twice'},
	{title: 'within one region', links: [{...osloToBergen, to: 'oslo'}], reason: 'a link must join two different regions'},
])('links declared $title', ({links, reason}) => {
	const parsed = parseConfiguration({regions, links});
	expect(parsed.ok ? undefined : parsed.error[0]?.reason).toBe(reason);
});
