/**
 * The floor shares of a link's bytes. Only nodes of its two regions let bytes
 * cross it: requests from the one end, answers to it. A small burst sits on
 * few of them, as a part too small for one read would be of no use.
 */
import type {Link} from './configuration.js';
import {getWholeShare} from './customer-floors.js';
import type {Holder} from './ledger.js';
import {type LinkFloor, emptyLinkFloor} from './link-quota.js';
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
export function getLinkHolders(link: Link, holders: readonly Holder[]): Holder[] {
	const ends = [link.from, link.to].map(region => rankByName(getLinkName(link), holders.filter(holder => holder.region === region)));
	const longest = Math.max(...ends.map(end => end.length));
	const ranked = Array.from({length: longest}, (_, rank) => ends.flatMap(end => end[rank] ?? [])).flat();
	return ranked.slice(0, Math.max(1, Math.floor(getLinkBurst(link) / leastBurstPerHolder)));
}

/** What the incarnation may let cross without asking. */
export function getLinkFloor(link: Link, incarnation: string, holders: readonly Holder[]): LinkFloor {
	const chosen = getLinkHolders(link, holders);
	const rank = chosen.findIndex(holder => holder.incarnation === incarnation);
	return rank === -1 ? emptyLinkFloor : {rate: link.bytesPerSecond / chosen.length, burst: getWholeShare(getLinkBurst(link), chosen.length, rank)};
}
