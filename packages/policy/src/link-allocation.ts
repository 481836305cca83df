/**
 * The floor shares of a link's bytes. Only nodes of its two regions let bytes
 * cross it: requests from the one end, answers to it. A small burst sits on
 * few of them, as a part too small for one read would be of no use.
 */
import type {Link} from './configuration.js';
import {divideEvenly} from './token-allocation.js';
import type {QuotaMember} from './ledger.js';
import {type LinkAllocation, emptyLinkAllocation} from './link-quota.js';
import {rankByName} from './name-rank.js';

/** The most that one read of an answer brings, reserved before each read. */
export const linkReadBytes = 131_072;
const leastBurstPerHolder = 2 * linkReadBytes;
const defaultBurstSeconds = 1;

export function getLinkName({from, to}: Pick<Link, 'from' | 'to'>): string {
	return `${from}>${to}`;
}

/** Bytes that may cross the link at once. */
export function getLinkBurst({bytesPerSecond, burstBytes}: Link): number {
	return burstBytes ?? Math.max(leastBurstPerHolder, Math.floor(bytesPerSecond * defaultBurstSeconds));
}

/** The holders of the link's bytes: of both regions in turn, the largest shares first. */
export function getLinkMembers(link: Link, holders: readonly QuotaMember[]): QuotaMember[] {
	const ends = [link.from, link.to].map(region => rankByName(getLinkName(link), holders.filter(holder => holder.region === region)));
	const longest = Math.max(...ends.map(end => end.length));
	const ranked = Array.from({length: longest}, (_, rank) => ends.flatMap(end => end[rank] ?? [])).flat();
	return ranked.slice(0, Math.max(1, Math.floor(getLinkBurst(link) / leastBurstPerHolder)));
}

/** What the incarnation may let cross without asking. */
export function getLinkAllocation(link: Link, incarnation: string, holders: readonly QuotaMember[]): LinkAllocation {
	const chosen = getLinkMembers(link, holders);
	const rank = chosen.findIndex(holder => holder.incarnation === incarnation);
	return rank === -1 ? emptyLinkAllocation : {rate: link.bytesPerSecond / chosen.length, burst: divideEvenly(getLinkBurst(link), chosen.length, rank)};
}
