/**
 * Who reads the rows of the table at the full pace. In each region the two
 * best-ranked members that can be reached do; the others rely on what is
 * relayed with its age, and read for themselves once that is too old. Reading
 * is never withheld by this: ranks differ between nodes for a while after a
 * failure, and then too many read, or the age tells that too few do.
 */
import {type LedgerView, getLeaseRenewedAt, isLiveMember} from './ledger-view.js';
import {isLive} from './ledger.js';
import {rankByName} from './name-rank.js';
import type {QuorumMember} from './quorum.js';

const readersOfRegion = 2;

/** Whether this node is one of its region's readers; a node that isn't a member yet always is. */
export function isTableReader(ownId: string, members: readonly QuorumMember[], isReachable: (id: string) => boolean): boolean {
	const own = members.find(({id}) => id === ownId);
	if (!own) {
		return true;
	}

	const candidates = members.filter(({id, region}) => region === own.region && (id === ownId || isReachable(id)));
	return rankByName(own.region, candidates).slice(0, readersOfRegion).includes(own);
}

/**
 * Whether a node must read the ledger's row whatever its rank: it isn't a live
 * member yet, comes back from a pause, has heard of a later epoch, or its lease
 * wasn't renewed for so long.
 */
export function isLedgerReadNeeded(view: LedgerView, limitMilliseconds: number, now: number): boolean {
	const isBehind = view.ledger.members.some(member => isLive(member) && (view.peers.get(member.incarnation)?.mark.epoch ?? 0) > view.ledger.epoch);
	return isBehind || view.resumedAt !== undefined || !isLiveMember(view) || now - getLeaseRenewedAt(view, now) > limitMilliseconds;
}
