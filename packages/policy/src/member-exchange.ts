/**
 * Decides when a node requests the list of members from a peer. Nodes report a
 * digest of the members that they know; only a difference that persists is worth
 * a list. While many nodes start together, their digests differ for a moment
 * with each new link, and lists sent for each of them would add up to the cube
 * of the fleet's size.
 */

export type MemberExchange = {
	/** Records the digest that the peer reported. */
	recordDigest: (peer: string, digest: string) => void;
	/** Records that a list of the peer was received; the peer isn't asked again until its digest or the own one changes. */
	recordList: (peer: string, ownDigest: string) => void;
	removePeer: (peer: string) => void;
	/** Returns the peer to request a list from now; undefined if none. */
	choosePeer: (ownDigest: string, now: number) => string | undefined;
};

/** A node that has received no list yet requests one at once, then at this interval. */
const requestIntervalMilliseconds = 1000;
/** A peer that has just connected adds this node with its first messages. */
const settleMilliseconds = 500;

/** @param pick returns a whole number from 0 up to, but without, the given one; spreads the requests over the peers */
export function createMemberExchange(pick: (count: number) => number): MemberExchange {
	const digests = new Map<string, string>();
	/** Pairs of digests, of the peer and of this node, after the peer's last list. */
	const settledPairs = new Map<string, string>();
	let hasReceivedList = false;
	let requestedAt = Number.NEGATIVE_INFINITY;
	let lastOwnDigest = '';
	let ownDigestChangedAt = Number.NEGATIVE_INFINITY;

	const getPair = (peer: string, ownDigest: string): string => `${digests.get(peer)} ${ownDigest}`;

	return {
		recordDigest(peer, digest) {
			digests.set(peer, digest);
		},
		recordList(peer, ownDigest) {
			hasReceivedList = true;
			settledPairs.set(peer, getPair(peer, ownDigest));
		},
		removePeer(peer) {
			digests.delete(peer);
			settledPairs.delete(peer);
		},
		choosePeer(ownDigest, now) {
			if (ownDigest !== lastOwnDigest) {
				lastOwnDigest = ownDigest;
				ownDigestChangedAt = now;
			}

			const isSettled = !hasReceivedList || now - ownDigestChangedAt >= settleMilliseconds;
			if (!isSettled || now - requestedAt < requestIntervalMilliseconds) {
				return undefined;
			}

			const differing = [...digests].filter(([peer, digest]) => digest !== ownDigest && settledPairs.get(peer) !== getPair(peer, ownDigest));
			const chosen = differing[differing.length > 0 ? pick(differing.length) : 0];
			if (chosen) {
				requestedAt = now;
			}

			return chosen?.[0];
		},
	};
}
