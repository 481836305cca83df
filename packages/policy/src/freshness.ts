/**
 * The age of a node's knowledge: the time since the table was read, by the
 * node itself or by the chain of nodes that relayed it. When the table can't
 * be reached, a quorum of nodes that know no higher version stands in.
 */
import {type QuorumMember, getQuorumValue} from './quorum.js';

/** What a peer's heartbeat says about its knowledge. */
export type Attestation = {
	/** Own monotonic time in milliseconds before which the peer can't have sent it. */
	readonly sentAt: number;
	/** The highest version that the peer knows. */
	readonly version: number;
	/** Milliseconds since the peer's knowledge left the table, at sending. */
	readonly tableAgeMilliseconds: number;
	/** Whether the peer's knowledge has been current since its start. */
	readonly isEstablished: boolean;
};

/** A node that knows only itself can't tell without the table whether others have joined since. */
const leastAttestingMembers = 2;

export type FreshnessState = {
	readonly ownId: string;
	/** The highest version that this node knows. */
	readonly version: number;
	readonly isEstablished: boolean;
	/** Monotonic time at which the last answered read of the table began. */
	readonly tableReadAt: number;
	readonly members: readonly QuorumMember[];
	readonly attestations: ReadonlyMap<string, Attestation>;
};

/** A knowledge that nothing is known about yet. */
export function createFreshnessState(ownId: string): FreshnessState {
	return {
		ownId, version: 0, isEstablished: false, tableReadAt: Number.NEGATIVE_INFINITY, members: [], attestations: new Map(),
	};
}

/** Milliseconds since the knowledge left the table, at most; infinite if it never did. */
export function getTableAge(knowledge: FreshnessState, now: number): number {
	const relayed = [...knowledge.attestations.values()]
		.filter(attestation => attestation.isEstablished && attestation.version <= knowledge.version)
		.map(attestation => now - attestation.sentAt + attestation.tableAgeMilliseconds);
	return Math.min(now - knowledge.tableReadAt, ...relayed);
}

/** Milliseconds since a quorum knew no higher version, at most; infinite without a quorum. */
export function getAttestedAge(knowledge: FreshnessState, now: number): number {
	if (knowledge.members.length < leastAttestingMembers) {
		return Number.POSITIVE_INFINITY;
	}

	return getQuorumValue(knowledge.members, id => {
		if (id === knowledge.ownId) {
			return knowledge.isEstablished ? 0 : Number.POSITIVE_INFINITY;
		}

		const attestation = knowledge.attestations.get(id);
		const isUsable = attestation?.isEstablished && attestation.version <= knowledge.version;
		return isUsable ? now - attestation.sentAt : Number.POSITIVE_INFINITY;
	});
}

/** The age by which the knowledge is judged: the better of both proofs. */
export function getStateAge(knowledge: FreshnessState, now: number): number {
	return Math.min(getTableAge(knowledge, now), getAttestedAge(knowledge, now));
}
