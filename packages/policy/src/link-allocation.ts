/**
 * Divides a link's bytes among members. Only nodes of its two regions send
 * bytes across it, as requests or responses. Few members have a part of a
 * small burst, as a part too small for a single read would be useless.
 */
import type {Link} from './configuration.js';
import {divideEvenly} from './token-allocation.js';
import type {QuotaMember} from './ledger.js';
import {type LinkAllocation, emptyLinkAllocation} from './link-quota.js';
import {rankByName} from './name-rank.js';

/** Maximum bytes of one read of a response, reserved before each read. */
export const maximumLinkReadBytes = 131_072;
const minimumBurstPerMember = 2 * maximumLinkReadBytes;
const defaultBurstSeconds = 1;

export function getLinkName({from, to}: Pick<Link, 'from' | 'to'>): string {
	return `${from}>${to}`;
}

/** Bytes that may cross the link at once. */
export function getLinkBurst({bytesPerSecond, burstBytes}: Link): number {
	return burstBytes ?? Math.max(minimumBurstPerMember, Math.floor(bytesPerSecond * defaultBurstSeconds));
}

/** The members with an allocation of the link: of both regions alternately, the largest allocations first. */
export function getLinkMembers(link: Link, members: readonly QuotaMember[]): QuotaMember[] {
	const membersByEnd = [link.from, link.to].map(region => rankByName(getLinkName(link), members.filter(member => member.region === region)));
	const maximumLength = Math.max(...membersByEnd.map(end => end.length));
	const ranked = Array.from({length: maximumLength}, (_, rank) => membersByEnd.flatMap(end => end[rank] ?? [])).flat();
	return ranked.slice(0, Math.max(1, Math.floor(getLinkBurst(link) / minimumBurstPerMember)));
}

/** The allocation of one incarnation; empty if it isn't among the link's members. */
export function getLinkAllocation(link: Link, incarnation: string, members: readonly QuotaMember[]): LinkAllocation {
	const chosen = getLinkMembers(link, members);
	const rank = chosen.findIndex(member => member.incarnation === incarnation);
	return rank === -1 ? emptyLinkAllocation : {rate: link.bytesPerSecond / chosen.length, burst: divideEvenly(getLinkBurst(link), chosen.length, rank)};
}
