/**
 * One node's view of the ledger. The mark is the pair of ledger epoch and
 * configuration version by which a node bounds what it holds. On each new
 * mark a node first lowers what it holds to the shares of that mark, then
 * advertises it; it raises what it holds to the shares of its mark only when
 * every live member advertises exactly that mark. So at every instant all
 * holders keep within the shares of one mark: the latest one by which any
 * node ever raised what it holds. Nobody raises request tokens while the row
 * has a fenced incarnation, nor slots while it has an expired one.
 *
 * A node uses what it holds only while its lease lasts. The lease is renewed
 * by reading the row, or by a majority of at least two members that echo a
 * message of this node; its time is counted from when the read or message was sent. A
 * fenced incarnation is renewed by neither, so that its lease has ended for
 * sure a lease time after every live member knows of the fence.
 *
 * Source for leases: Gray and Cheriton, "Leases: an efficient fault-tolerant
 * mechanism for distributed file cache consistency", SOSP 1989.
 */
import {
	type Ledger, type LedgerMember, emptyLedger, isLive,
} from './ledger.js';

export type LedgerPosition = {readonly epoch: number; readonly version: number};

/**
 * What a peer has told of itself, and when. Times are in milliseconds:
 * `heardAt` monotonic, `echoedAt` and all other times of leases by a clock
 * that also counts time that the node was frozen.
 */
export type PeerView = {
	readonly mark: LedgerPosition;
	/** Targets at which the peer still uses more than its share of the mark. */
	readonly overhang: ReadonlySet<string>;
	readonly receivedAt: number;
	/** The peer's own time in its latest message, to be echoed. */
	readonly sentAt: number;
	/** The time of the latest message of this node that the peer has echoed. */
	readonly echoedAt: number;
};

export type LedgerView = {
	readonly incarnation: string;
	readonly ledger: Ledger;
	readonly version: number;
	readonly peers: ReadonlyMap<string, PeerView>;
	/** When this node last began a read that showed it live. */
	readonly readAt: number;
	/** Since when all live members are known to know of a fence or expiry, by incarnation. */
	readonly standingAcknowledgedAt: ReadonlyMap<string, number>;
	/** When each member was first seen in the row, by incarnation. */
	readonly firstObservedAt: ReadonlyMap<string, number>;
	/** When this node resumed from a pause, until its membership is confirmed again. */
	readonly resumedAt: number | undefined;
};

export type PeerReport = {
	readonly incarnation: string;
	readonly position: LedgerPosition;
	readonly overAllocations: readonly string[];
	readonly sentAt: number;
	/** Undefined when the peer has heard nothing of this incarnation or knows it as fenced. */
	readonly echoedAt: number | undefined;
};

export function createLedgerView(incarnation: string): LedgerView {
	return {
		incarnation,
		ledger: emptyLedger,
		version: 0,
		peers: new Map(),
		readAt: Number.NEGATIVE_INFINITY,
		standingAcknowledgedAt: new Map(),
		firstObservedAt: new Map(),
		resumedAt: undefined,
	};
}

export function getLedgerPosition(view: LedgerView): LedgerPosition {
	return {epoch: view.ledger.epoch, version: view.version};
}

/** This node's entry in the row, if it is live there. */
export function isLiveMember(view: LedgerView): boolean {
	return view.ledger.members.some(member => member.incarnation === view.incarnation && isLive(member));
}

/** Takes a row that was read; `readAt` is when the read began. A lower epoch is ignored. */
export function updateLedger(view: LedgerView, ledger: Ledger, readAt: number, now: number): LedgerView {
	if (ledger.epoch < view.ledger.epoch) {
		return view;
	}

	const isSame = ledger.epoch === view.ledger.epoch;
	const next = isSame ? view : {...view, ledger, firstObservedAt: getSeenTimes(view, ledger, now)};
	const confirmed = isLiveMember(next) ? Math.max(next.readAt, readAt) : next.readAt;
	return updateFences({...next, readAt: confirmed}, now);
}

export function updateVersion(view: LedgerView, version: number): LedgerView {
	return version > view.version ? {...view, version} : view;
}

/** Takes a peer's report; reports may come late, twice or in another order. */
export function updatePeer(view: LedgerView, report: PeerReport, now: number): LedgerView {
	const known = view.peers.get(report.incarnation);
	const peers = new Map(view.peers);
	peers.set(report.incarnation, {
		...mergeMarks(known, report),
		receivedAt: now,
		sentAt: Math.max(known?.sentAt ?? Number.NEGATIVE_INFINITY, report.sentAt),
		echoedAt: Math.max(known?.echoedAt ?? Number.NEGATIVE_INFINITY, report.echoedAt ?? Number.NEGATIVE_INFINITY),
	});
	return updateFences({...view, peers}, now);
}

/** Whether every live member advertises exactly this node's mark. */
export function isPositionAgreed(view: LedgerView): boolean {
	return isLiveMember(view) && getLivePeers(view).every(member => {
		const peer = view.peers.get(member.incarnation);
		return peer?.mark.epoch === view.ledger.epoch && peer.mark.version === view.version;
	});
}

/** Targets at which some live member still uses more than its share. */
export function getOverAllocations(view: LedgerView): Set<string> {
	return new Set(getLivePeers(view).flatMap(member => [...view.peers.get(member.incarnation)?.overhang ?? []]));
}

/** The time from which this node's lease counts. */
export function getLeaseRenewedAt(view: LedgerView, now: number): number {
	if (!isLiveMember(view)) {
		return Number.NEGATIVE_INFINITY;
	}

	const peers = getLivePeers(view);
	if (peers.length === 0) {
		// Alone, a node can't know without the table whether it was replaced.
		return view.readAt;
	}

	const echoes = peers.map(member => view.peers.get(member.incarnation)?.echoedAt ?? Number.NEGATIVE_INFINITY);
	echoes.push(now);
	echoes.sort((left, right) => right - left);
	const majority = Math.floor(echoes.length / 2);
	return Math.max(view.readAt, echoes[majority] ?? Number.NEGATIVE_INFINITY);
}

/**
 * What to echo to a peer: the time of its latest message. Undefined if it is
 * fenced, or while this node's own knowledge may stem from before a pause.
 */
export function getEchoTime(view: LedgerView, member: LedgerMember): number | undefined {
	return isLive(member) && view.resumedAt === undefined ? view.peers.get(member.incarnation)?.sentAt : undefined;
}

/** Whether request tokens may be raised to the shares of the mark. */
export function isTokenIncreaseAllowed(view: LedgerView): boolean {
	return isPositionAgreed(view) && view.ledger.members.every(member => member.standing.kind !== 'fenced');
}

/** Whether slots may be raised to the shares of the mark. */
export function isSlotIncreaseAllowed(view: LedgerView): boolean {
	return isPositionAgreed(view) && view.ledger.members.every(member => isLive(member));
}

/** Fenced incarnations whose lease has ended for sure. */
export function getMembersToExpire(view: LedgerView, leaseMilliseconds: number, now: number): Set<string> {
	return getSettled(view, 'fenced', leaseMilliseconds, now);
}

/** Expired incarnations whose requests have ended for sure. */
export function getMembersToRemove(view: LedgerView, requestMilliseconds: number, now: number): Set<string> {
	return getSettled(view, 'expired', requestMilliseconds, now);
}

/** The view after a pause of this node: silence of others during it says nothing. */
export function resumeView(view: LedgerView, resumedAt: number, now: number): LedgerView {
	return {...view, resumedAt, firstObservedAt: new Map(view.ledger.members.map(({incarnation}) => [incarnation, now]))};
}

/** Ends the doubt after a pause once the membership has been confirmed since. */
export function confirmMembership(view: LedgerView, now: number): LedgerView {
	const isConfirmed = view.resumedAt !== undefined && getLeaseRenewedAt(view, now) >= view.resumedAt;
	return isConfirmed ? {...view, resumedAt: undefined} : view;
}

/** The view after this node has taken up a new incarnation, which holds nothing yet. */
export function renewIncarnation(view: LedgerView, incarnation: string): LedgerView {
	const peers = new Map([...view.peers].map(([key, peer]) => [key, {...peer, echoedAt: Number.NEGATIVE_INFINITY}]));
	return {
		...view, incarnation, peers, readAt: Number.NEGATIVE_INFINITY,
	};
}

function getSettled(view: LedgerView, kind: LedgerMember['standing']['kind'], milliseconds: number, now: number): Set<string> {
	const settled = view.ledger.members.filter(({incarnation, standing}) => {
		const knownAt = view.standingAcknowledgedAt.get(`${kind} ${incarnation}`);
		return standing.kind === kind && knownAt !== undefined && now - knownAt >= milliseconds;
	});
	return new Set(settled.map(member => member.incarnation));
}

/** Live members that have been silent for so long and that the platform's list leaves out. */
export function getMembersToFence(view: LedgerView, listed: ReadonlySet<string>, silenceMilliseconds: number, now: number): Set<string> {
	const vanished = getLivePeers(view).filter(member => {
		const heardAt = view.peers.get(member.incarnation)?.receivedAt ?? Number.NEGATIVE_INFINITY;
		const seenAt = view.firstObservedAt.get(member.incarnation) ?? now;
		return !listed.has(member.id) && now - Math.max(heardAt, seenAt) >= silenceMilliseconds;
	});
	return new Set(vanished.map(member => member.incarnation));
}

function getLivePeers(view: LedgerView): LedgerMember[] {
	return view.ledger.members.filter(member => isLive(member) && member.incarnation !== view.incarnation);
}

/** Within one mark an overhang only shrinks, so that the order of reports doesn't matter. */
function mergeMarks(known: PeerView | undefined, report: PeerReport): Pick<PeerView, 'mark' | 'overhang'> {
	const overhang = new Set(report.overAllocations);
	if (!known || isAfter(report.position, known.mark)) {
		return {mark: report.position, overhang};
	}

	if (isAfter(known.mark, report.position)) {
		return known;
	}

	return {mark: known.mark, overhang: new Set([...overhang].filter(target => known.overhang.has(target)))};
}

function isAfter(left: LedgerPosition, right: LedgerPosition): boolean {
	return left.epoch > right.epoch || left.version > right.version;
}

function getSeenTimes(view: LedgerView, ledger: Ledger, now: number): Map<string, number> {
	return new Map(ledger.members.map(({incarnation}) => [incarnation, view.firstObservedAt.get(incarnation) ?? now]));
}

/** Notes since when every live member has known of each fence, and this node of each expiry. */
function updateFences(view: LedgerView, now: number): LedgerView {
	const gone = view.ledger.members.filter(member => !isLive(member));
	const keys = gone.map(member => `${member.standing.kind} ${member.incarnation}`);
	if (keys.length === view.standingAcknowledgedAt.size && keys.every(key => view.standingAcknowledgedAt.has(key))) {
		return view;
	}

	const lowestEpoch = Math.min(view.ledger.epoch, ...getLivePeers(view).map(member => view.peers.get(member.incarnation)?.mark.epoch ?? 0));
	const fencesKnownAt = new Map<string, number>();
	for (const [index, {standing}] of gone.entries()) {
		if (standing.kind === 'expired' || (standing.kind === 'fenced' && lowestEpoch >= standing.epoch)) {
			const key = keys[index]!;
			fencesKnownAt.set(key, view.standingAcknowledgedAt.get(key) ?? now);
		}
	}

	return {...view, standingAcknowledgedAt: fencesKnownAt};
}
