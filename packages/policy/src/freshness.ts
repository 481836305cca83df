/**
 * The age of a node's state: the time since its content was read from the
 * table, by the node itself or by the first node of a chain that relayed it.
 * When the table is unreachable, a quorum of nodes that have no higher version
 * attests instead that the state is current.
 */
import {type QuorumMember, getQuorumValue} from './quorum.js';

/** The freshness that a peer reports in its heartbeat. */
export type Attestation = {
	/** This node's monotonic time in milliseconds before which the peer can't have sent the heartbeat. */
	readonly sentAt: number;
	/** The peer's highest version of the configuration. */
	readonly version: number;
	/** Milliseconds between the read of the peer's state from the table and the sending of the heartbeat. */
	readonly tableAgeMilliseconds: number;
	/** Whether the peer's state has been current at some time since the peer started. */
	readonly isEstablished: boolean;
};

/** A node whose membership lists only itself needs the table to find out whether others have joined since. */
const minimumAttestingMembers = 2;

export type FreshnessState = {
	readonly ownId: string;
	/** This node's highest version of the configuration. */
	readonly version: number;
	readonly isEstablished: boolean;
	/** Monotonic time in milliseconds at which the latest successful read of the table began. */
	readonly tableReadAt: number;
	readonly members: readonly QuorumMember[];
	readonly attestations: ReadonlyMap<string, Attestation>;
};

/** The state at start-up, before anything is received. */
export function createFreshnessState(ownId: string): FreshnessState {
	return {
		ownId, version: 0, isEstablished: false, tableReadAt: Number.NEGATIVE_INFINITY, members: [], attestations: new Map(),
	};
}

/** Upper bound of the milliseconds since the state was read from the table; infinite if it never was. */
export function getTableAge(state: FreshnessState, now: number): number {
	const relayedAges = [...state.attestations.values()]
		.filter(attestation => attestation.isEstablished && attestation.version <= state.version)
		.map(attestation => now - attestation.sentAt + attestation.tableAgeMilliseconds);
	return Math.min(now - state.tableReadAt, ...relayedAges);
}

/** Upper bound of the milliseconds since a quorum had no higher version; infinite without a quorum. */
export function getAttestedAge(state: FreshnessState, now: number): number {
	if (state.members.length < minimumAttestingMembers) {
		return Number.POSITIVE_INFINITY;
	}

	return getQuorumValue(state.members, id => {
		if (id === state.ownId) {
			return state.isEstablished ? 0 : Number.POSITIVE_INFINITY;
		}

		const attestation = state.attestations.get(id);
		const isUsable = attestation?.isEstablished && attestation.version <= state.version;
		return isUsable ? now - attestation.sentAt : Number.POSITIVE_INFINITY;
	});
}

/**
 * The age of the state: the lower of its table age and its attested age. A node
 * that just started takes no age from a single peer: that one may have been cut off
 * since, and the node may have served a higher version before.
 */
export function getStateAge(state: FreshnessState, now: number): number {
	const tableAge = state.isEstablished ? getTableAge(state, now) : now - state.tableReadAt;
	return Math.min(tableAge, getAttestedAge(state, now));
}
