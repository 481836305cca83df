/**
 * One node's view of the ledger. A ledger position is the pair of ledger
 * epoch and configuration version from which a node computes its allocations.
 * On each new position a node first reduces its allocations to those of the
 * new position, then advertises it. It increases its allocations only when
 * every live member advertises exactly its own position. At every instant all
 * members therefore stay within the allocations of one position: the latest
 * one at which any node increased its allocations. No node increases token
 * allocations while the row has a fenced incarnation, nor slot allocations
 * while it has a fenced or expired one.
 *
 * A node uses its allocations only while its lease lasts. The lease is
 * renewed by reading the row, or by a majority of at least two members that
 * echo a message of this node. It runs from the time at which the read began
 * or the message was sent. Neither renews the lease of a fenced incarnation:
 * once every live member has acknowledged the fence, that lease ends within
 * one lease duration.
 *
 * Source for leases: Gray and Cheriton, "Leases: an efficient fault-tolerant
 * mechanism for distributed file cache consistency", SOSP 1989.
 */
import {
	type Ledger, type LedgerMember, emptyLedger, isLive,
} from './ledger.js';

export type LedgerPosition = {readonly epoch: number; readonly version: number};

/**
 * The latest state that a peer reported. Times are in milliseconds:
 * `receivedAt` is monotonic; `echoedAt` and all other lease times come from a
 * clock that also counts the time during which the node was paused.
 */
export type PeerView = {
	readonly position: LedgerPosition;
	/** Targets and links at which the peer still uses more than its allocation at the position. */
	readonly overAllocations: ReadonlySet<string>;
	readonly receivedAt: number;
	/** The sender's time in the peer's latest message, which this node echoes. */
	readonly sentAt: number;
	/** When this node sent the latest message that the peer has echoed. */
	readonly echoedAt: number;
};

export type LedgerView = {
	readonly incarnation: string;
	readonly ledger: Ledger;
	readonly version: number;
	readonly peers: ReadonlyMap<string, PeerView>;
	/** Start of the latest read of the row in which this node was live. */
	readonly readAt: number;
	/** By standing and incarnation: when this node found that every live member had acknowledged the fence, or when it first observed the expiry. */
	readonly standingAcknowledgedAt: ReadonlyMap<string, number>;
	/** When this node first observed each member in the row, by incarnation. */
	readonly firstObservedAt: ReadonlyMap<string, number>;
	/** When this node resumed from a pause; undefined once its membership has been confirmed since. */
	readonly resumedAt: number | undefined;
};

export type PeerReport = {
	readonly incarnation: string;
	readonly position: LedgerPosition;
	readonly overAllocations: readonly string[];
	readonly sentAt: number;
	/** Undefined if the peer has received no message of this incarnation or regards it as fenced. */
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

/** Whether the row lists this node's incarnation as live. */
export function isLiveMember(view: LedgerView): boolean {
	return view.ledger.members.some(member => member.incarnation === view.incarnation && isLive(member));
}

/** Applies a row of the table. `readAt` is when the read began; a lower epoch is ignored. */
export function updateLedger(view: LedgerView, ledger: Ledger, readAt: number, now: number): LedgerView {
	if (ledger.epoch < view.ledger.epoch) {
		return view;
	}

	const isSame = ledger.epoch === view.ledger.epoch;
	const next = isSame ? view : {...view, ledger, firstObservedAt: getFirstObservedTimes(view, ledger, now)};
	const confirmedReadAt = isLiveMember(next) ? Math.max(next.readAt, readAt) : next.readAt;
	return updateAcknowledgements({...next, readAt: confirmedReadAt}, now);
}

export function updateVersion(view: LedgerView, version: number): LedgerView {
	return version > view.version ? {...view, version} : view;
}

/** Applies a peer's report. Reports may be delayed, duplicated or reordered. */
export function updatePeer(view: LedgerView, report: PeerReport, now: number): LedgerView {
	const previous = view.peers.get(report.incarnation);
	const peers = new Map(view.peers);
	peers.set(report.incarnation, {
		...mergePositions(previous, report),
		receivedAt: now,
		sentAt: Math.max(previous?.sentAt ?? Number.NEGATIVE_INFINITY, report.sentAt),
		echoedAt: Math.max(previous?.echoedAt ?? Number.NEGATIVE_INFINITY, report.echoedAt ?? Number.NEGATIVE_INFINITY),
	});
	return updateAcknowledgements({...view, peers}, now);
}

/** Whether every live member advertises exactly this node's position. */
export function isPositionAgreed(view: LedgerView): boolean {
	return isLiveMember(view) && getLivePeers(view).every(member => {
		const peer = view.peers.get(member.incarnation);
		return peer?.position.epoch === view.ledger.epoch && peer.position.version === view.version;
	});
}

/** Targets and links at which some other live member still uses more than its allocation. */
export function getOverAllocations(view: LedgerView): Set<string> {
	return new Set(getLivePeers(view).flatMap(member => [...view.peers.get(member.incarnation)?.overAllocations ?? []]));
}

/** The time from which this node's lease runs; negative infinity without a lease. */
export function getLeaseRenewedAt(view: LedgerView, now: number): number {
	if (!isLiveMember(view)) {
		return Number.NEGATIVE_INFINITY;
	}

	const peers = getLivePeers(view);
	if (peers.length === 0) {
		// A single node can only find out from the table whether it was replaced.
		return view.readAt;
	}

	const echoes = peers.map(member => view.peers.get(member.incarnation)?.echoedAt ?? Number.NEGATIVE_INFINITY);
	echoes.push(now);
	echoes.sort((left, right) => right - left);
	const majority = Math.floor(echoes.length / 2);
	return Math.max(view.readAt, echoes[majority] ?? Number.NEGATIVE_INFINITY);
}

/**
 * The time to echo to a peer: when it sent its latest message. Undefined if
 * the peer is fenced, or while this node's view may predate a pause.
 */
export function getEchoTime(view: LedgerView, member: LedgerMember): number | undefined {
	return isLive(member) && view.resumedAt === undefined ? view.peers.get(member.incarnation)?.sentAt : undefined;
}

/** Whether this node may increase its token allocations to those of its position. */
export function isTokenIncreaseAllowed(view: LedgerView): boolean {
	return isPositionAgreed(view) && view.ledger.members.every(member => member.standing.kind !== 'fenced');
}

/** Whether this node may increase its slot allocations to those of its position. */
export function isSlotIncreaseAllowed(view: LedgerView): boolean {
	return isPositionAgreed(view) && view.ledger.members.every(member => isLive(member));
}

/** Fenced incarnations whose lease has certainly ended. */
export function getMembersToExpire(view: LedgerView, leaseMilliseconds: number, now: number): Set<string> {
	return getMembersWithStanding(view, 'fenced', leaseMilliseconds, now);
}

/** Expired incarnations whose requests have certainly ended. */
export function getMembersToRemove(view: LedgerView, requestMilliseconds: number, now: number): Set<string> {
	return getMembersWithStanding(view, 'expired', requestMilliseconds, now);
}

/** The view after a pause of this node. No message could be received during it, so members count as first observed now. */
export function resumeView(view: LedgerView, resumedAt: number, now: number): LedgerView {
	return {...view, resumedAt, firstObservedAt: new Map(view.ledger.members.map(({incarnation}) => [incarnation, now]))};
}

/** Clears `resumedAt` once the membership has been confirmed since the pause. */
export function confirmMembership(view: LedgerView, now: number): LedgerView {
	const isConfirmed = view.resumedAt !== undefined && getLeaseRenewedAt(view, now) >= view.resumedAt;
	return isConfirmed ? {...view, resumedAt: undefined} : view;
}

/** The view after this node has started a new incarnation, which has no lease yet. */
export function renewIncarnation(view: LedgerView, incarnation: string): LedgerView {
	const peers = new Map([...view.peers].map(([key, peer]) => [key, {...peer, echoedAt: Number.NEGATIVE_INFINITY}]));
	return {
		...view, incarnation, peers, readAt: Number.NEGATIVE_INFINITY,
	};
}

/** Incarnations whose fence or expiry was recorded at least that long ago. */
function getMembersWithStanding(view: LedgerView, kind: LedgerMember['standing']['kind'], milliseconds: number, now: number): Set<string> {
	const members = view.ledger.members.filter(({incarnation, standing}) => {
		const acknowledgedAt = view.standingAcknowledgedAt.get(`${kind} ${incarnation}`);
		return standing.kind === kind && acknowledgedAt !== undefined && now - acknowledgedAt >= milliseconds;
	});
	return new Set(members.map(member => member.incarnation));
}

/** Live members that have been unresponsive for at least that time and are missing from the platform's list of VMs. */
export function getMembersToFence(view: LedgerView, listed: ReadonlySet<string>, unresponsiveMilliseconds: number, now: number): Set<string> {
	const unresponsive = getLivePeers(view).filter(member => {
		const receivedAt = view.peers.get(member.incarnation)?.receivedAt ?? Number.NEGATIVE_INFINITY;
		const observedAt = view.firstObservedAt.get(member.incarnation) ?? now;
		return !listed.has(member.id) && now - Math.max(receivedAt, observedAt) >= unresponsiveMilliseconds;
	});
	return new Set(unresponsive.map(member => member.incarnation));
}

function getLivePeers(view: LedgerView): LedgerMember[] {
	return view.ledger.members.filter(member => isLive(member) && member.incarnation !== view.incarnation);
}

/** Within one position the over-allocations only shrink, so the order of reports doesn't matter. */
function mergePositions(previous: PeerView | undefined, report: PeerReport): Pick<PeerView, 'position' | 'overAllocations'> {
	const overAllocations = new Set(report.overAllocations);
	if (!previous || isAfter(report.position, previous.position)) {
		return {position: report.position, overAllocations};
	}

	if (isAfter(previous.position, report.position)) {
		return previous;
	}

	return {position: previous.position, overAllocations: new Set([...overAllocations].filter(target => previous.overAllocations.has(target)))};
}

function isAfter(left: LedgerPosition, right: LedgerPosition): boolean {
	return left.epoch > right.epoch || left.version > right.version;
}

function getFirstObservedTimes(view: LedgerView, ledger: Ledger, now: number): Map<string, number> {
	return new Map(ledger.members.map(({incarnation}) => [incarnation, view.firstObservedAt.get(incarnation) ?? now]));
}

/** Records when every live member has acknowledged each fence, and when this node first observed each expiry. */
function updateAcknowledgements(view: LedgerView, now: number): LedgerView {
	const departing = view.ledger.members.filter(member => !isLive(member));
	const keys = departing.map(member => `${member.standing.kind} ${member.incarnation}`);
	if (keys.length === view.standingAcknowledgedAt.size && keys.every(key => view.standingAcknowledgedAt.has(key))) {
		return view;
	}

	const minimumEpoch = Math.min(view.ledger.epoch, ...getLivePeers(view).map(member => view.peers.get(member.incarnation)?.position.epoch ?? 0));
	const acknowledgedAt = new Map<string, number>();
	for (const [index, {standing}] of departing.entries()) {
		if (standing.kind === 'expired' || (standing.kind === 'fenced' && minimumEpoch >= standing.epoch)) {
			const key = keys[index]!;
			acknowledgedAt.set(key, view.standingAcknowledgedAt.get(key) ?? now);
		}
	}

	return {...view, standingAcknowledgedAt: acknowledgedAt};
}
