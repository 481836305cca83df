/**
 * Finds out when a peer's heartbeat was sent at the earliest, by the own
 * clock alone: a heartbeat that echoes a sequence number was sent after that
 * number was. Needs no synchronised clocks and covers the transit time.
 */

export type HeartbeatEchoes = {
	/** Starts the next heartbeat and returns its sequence number. */
	startHeartbeat: (now: number) => number;
	/** The last sequence number received from the peer. */
	getEcho: (peer: string) => number | undefined;
	/** Notes the peer's heartbeat; returns the time before which it can't have been sent. */
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
