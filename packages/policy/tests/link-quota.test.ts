/** A node's part of a link: reservations, what follows from changed floors, and whose turn it is. */
import {expect, test} from 'vitest';
import {
	type QuotaMember, type Link, type LinkQuota, type WaitingLinkBytes, createLinkQuota, fillLinkQuota, getLinkBurst, getLinkAllocation, getLinkMembers, getNextLinkClass,
	isLinkOverAllocated, linkReadBytes, reduceLinkAllocation, parseConfiguration, releaseLinkBytes, reserveLinkBytes, setLinkAllocation, consumeLinkBytes,
} from '@catkindale/policy';

const burst = 1000;
const rate = 100;
const floor = {rate, burst};

type Case = {
	readonly title: string;
	readonly change: (quota: LinkQuota) => LinkQuota;
	readonly tokens: number;
	readonly reserved: number;
};

const reserve = (quota: LinkQuota, bytes: number): LinkQuota => reserveLinkBytes(quota, bytes)!;
const cases: Case[] = [
	{
		title: 'a gained floor starts empty', change: () => setLinkAllocation(createLinkQuota(0), floor, 0), tokens: 0, reserved: 0,
	},
	{
		title: 'reserved bytes count against the burst', change: quota => fillLinkQuota(reserve(quota, 300), 1_000_000), tokens: 700, reserved: 300,
	},
	{
		title: 'tokens grow again once the bytes have crossed', change: quota => fillLinkQuota(consumeLinkBytes(reserve(quota, 300), 300, 20_000), 21_000), tokens: 800, reserved: 0,
	},
	{
		title: 'time that found the bucket full makes no tokens later', change: quota => fillLinkQuota(consumeLinkBytes(reserve(quota, 300), 300, 1_000_000), 1_000_000), tokens: 700, reserved: 0,
	},
	{
		title: 'what isn\'t used is given back', change: quota => releaseLinkBytes(reserve(quota, 300), 300, 20_000), tokens: 1000, reserved: 0,
	},
	{
		title: 'a lowered floor takes tokens away', change: quota => reduceLinkAllocation(quota, {rate, burst: 400}, 20_000), tokens: 400, reserved: 0,
	},
	{
		title: 'a lowered floor leaves what is reserved', change: quota => reduceLinkAllocation(reserve(quota, 700), {rate, burst: 400}, 20_000), tokens: 0, reserved: 700,
	},
	{
		title: 'what is given back beyond the floor is gone',
		change: quota => releaseLinkBytes(reduceLinkAllocation(reserve(quota, 700), {rate, burst: 400}, 20_000), 500, 20_000), tokens: 200, reserved: 200,
	},
];

test.each(cases)('$title', ({change, tokens, reserved}) => {
	const full = fillLinkQuota(setLinkAllocation(createLinkQuota(0), floor, 0), 20_000);
	const quota = change(full);
	expect(quota).toMatchObject({tokens, reserved});
	expect(isLinkOverAllocated(quota)).toBe(reserved > quota.allocation.burst);
	expect(reserveLinkBytes(quota, tokens + 1)).toBeUndefined();
});

const turns: Array<{readonly title: string; readonly waits: WaitingLinkBytes; readonly interactiveBytes: number; readonly next: string | undefined}> = [
	{
		title: 'nobody', waits: {interactive: undefined, bulk: undefined}, interactiveBytes: 0, next: undefined,
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

test.each(turns)('the next turn: $title', ({waits, interactiveBytes, next}) => {
	expect(getNextLinkClass(waits, interactiveBytes)).toBe(next);
});

const holders: QuotaMember[] = ['oslo', 'bergen', 'tromso'].flatMap(region => [1, 2, 3].map(index => ({
	id: `${region}-${index}`, incarnation: `${region}-${index}/1`, region, zone: `${region}-a`,
})));

test.each([
	{title: 'a wide link sits on all nodes of its regions', bytesPerSecond: 37_500_000, count: 6},
	{title: 'a narrow one on few', bytesPerSecond: 600_000, count: 2},
	{title: 'the narrowest on one', bytesPerSecond: 1000, count: 1},
])('$title', ({bytesPerSecond, count}) => {
	const link: Link = {from: 'oslo', to: 'bergen', bytesPerSecond};
	const chosen = getLinkMembers(link, holders);
	expect(chosen.length).toBe(count);
	expect(chosen.every(({region}) => region !== 'tromso')).toBe(true);
	expect(new Set(chosen.map(({region}) => region)).size).toBe(Math.min(2, count));
	const floors = holders.map(holder => getLinkAllocation(link, holder.incarnation, holders));
	expect(floors.reduce((sum, part) => sum + part.burst, 0)).toBe(getLinkBurst(link));
	expect(floors.reduce((sum, part) => sum + part.rate, 0)).toBeCloseTo(bytesPerSecond, 6);
	expect(floors.every(part => part.burst === 0 || part.burst >= linkReadBytes)).toBe(true);
});

const regions = ['oslo', 'bergen'].map(name => ({name, zones: [`${name}-a`]}));
const there = {from: 'oslo', to: 'bergen', bytesPerSecond: 1_000_000};

test.each([
	{title: 'both ways', links: [there, {...there, from: 'bergen', to: 'oslo'}], reason: undefined},
	{title: 'the same way twice', links: [there, there], reason: 'the link from "oslo" to "bergen" is declared twice'},
	{title: 'within one region', links: [{...there, to: 'oslo'}], reason: 'a link must join two different regions'},
])('links declared $title', ({links, reason}) => {
	const parsed = parseConfiguration({regions, links});
	expect(parsed.ok ? undefined : parsed.error[0]?.reason).toBe(reason);
});
