/**
 * Chooses the nodes that read the rows of the table at the full rate: in each
 * region, the two best-ranked reachable members. The others rely on relayed
 * rows, which carry their age, and read the table themselves once these are
 * too old. No node is ever prevented from reading. After a failure the ranks
 * differ between nodes for some time. Then either too many nodes read, or too
 * few do, which the age of the relayed rows shows.
 */
import {type LedgerView, getLeaseRenewedAt, isLiveMember} from './ledger-view.js';
import {isLive} from './ledger.js';
import {rankByName} from './name-rank.js';
import type {QuorumMember} from './quorum.js';

const readersPerRegion = 2;

/** Whether this node is one of its region's readers. A node that isn't a member yet always reads. */
export function isTableReader(ownId: string, members: readonly QuorumMember[], isReachable: (id: string) => boolean): boolean {
	const own = members.find(({id}) => id === ownId);
	if (!own) {
		return true;
	}

	const candidates = members.filter(({id, region}) => region === own.region && (id === ownId || isReachable(id)));
	return rankByName(own.region, candidates).slice(0, readersPerRegion).includes(own);
}

/**
 * Whether a node must read the ledger's row regardless of its rank: it isn't a
 * live member, has resumed from a pause, a member reports a later epoch, or
 * its lease hasn't been renewed within the limit.
 */
export function isLedgerReadNeeded(view: LedgerView, limitMilliseconds: number, now: number): boolean {
	const isBehind = view.ledger.members.some(member => isLive(member) && (view.peers.get(member.incarnation)?.position.epoch ?? 0) > view.ledger.epoch);
	return isBehind || view.resumedAt !== undefined || !isLiveMember(view) || now - getLeaseRenewedAt(view, now) > limitMilliseconds;
}
