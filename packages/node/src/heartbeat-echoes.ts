/**
 * Computes the earliest time at which a peer can have sent a heartbeat, using
 * only this node's clock: a heartbeat that echoes a sequence number was sent
 * after this node sent that number. The bound needs no synchronised clocks and
 * accounts for the network latency.
 */

export type HeartbeatEchoes = {
	/** Records the send time of the next heartbeat and returns its sequence number. */
	startHeartbeat: (now: number) => number;
	/** The last sequence number received from the peer. */
	getEcho: (peer: string) => number | undefined;
	/**
	 * Records a peer's heartbeat. Returns the monotonic time before which it
	 * can't have been sent, or undefined if it has no echo or one that is no
	 * longer kept.
	 */
	recordHeartbeat: (peer: string, sequence: number, echo: number | undefined) => number | undefined;
	removePeer: (peer: string) => void;
};

const maximumSequences = 256;

export function createHeartbeatEchoes(): HeartbeatEchoes {
	let sequence = 0;
	const sentAt = new Map<number, number>();
	const lastReceived = new Map<string, number>();
	return {
		startHeartbeat(now) {
			sequence += 1;
			sentAt.set(sequence, now);
			sentAt.delete(sequence - maximumSequences);
			return sequence;
		},
		getEcho: peer => lastReceived.get(peer),
		recordHeartbeat(peer, received, echo) {
			lastReceived.set(peer, received);
			return echo === undefined ? undefined : sentAt.get(echo);
		},
		removePeer(peer) {
			lastReceived.delete(peer);
		},
	};
}
