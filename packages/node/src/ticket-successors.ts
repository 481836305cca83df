/**
 * The successors of stopped incarnations, which resolve their tickets: this
 * node, if it received the recorded outcomes, or another one.
 */
import type {Clock} from '@catkindale/common';
import {
	type TicketClaim, type TicketOutcome, type RecordedTicket, type TicketStore, createTicketStore, ticketLifetimeMilliseconds,
} from '@catkindale/policy';

export type HandedOverOutcome
	= | {readonly kind: 'finished'; readonly outcome: TicketOutcome}
		| {readonly kind: 'mismatch'}
	/** All outcomes were received without this request: it never ran and never will. */
		| {readonly kind: 'never-ran'}
		| {readonly kind: 'unknown'};

export type HandoverChunk = {
	readonly incarnation: string;
	/** The ticket clock of the stopping entry when it sent the chunk. */
	readonly clock: number;
	/** Index of the chunk, counted from 0. */
	readonly part: number;
	readonly isLast: boolean;
	readonly requests: readonly RecordedTicket[];
};

export type TicketSuccessors = {
	/** Returns whether this chunk completes the handover. */
	receive: (chunk: HandoverChunk) => boolean;
	/** Returns undefined if this node isn't the successor of the incarnation. */
	getHandedOverOutcome: (incarnation: string, claim: TicketClaim, expiresAt: number) => HandedOverOutcome | undefined;
	setSuccessor: (incarnation: string, nodeId: string) => void;
	/** Returns the identifier of the node that is the incarnation's successor, if it is another one. */
	getSuccessor: (incarnation: string) => string | undefined;
};

type ReceivedHandover = {
	readonly ticketStore: TicketStore;
	/** The stopped entry's ticket clock minus this node's monotonic clock; too small by the latency of the first chunk. */
	readonly clockOffset: number;
	readonly receivedAt: number;
	receivedChunks: number;
	isComplete: boolean;
};

type Successor = {readonly nodeId: string; readonly recordedAt: number};

/** Covers the network latency of a chunk, during which the stopped entry's clock advanced. */
const transitMarginMilliseconds = 10_000;
const unlimitedTickets = {requests: Infinity, requestsPerCustomer: Infinity, bodyBytes: Infinity};

export function createTicketSuccessors(clock: Clock): TicketSuccessors {
	const handovers = new Map<string, ReceivedHandover>();
	const successors = new Map<string, Successor>();

	const removeExpired = (): void => {
		const now = clock.monotonic();
		const expiredBefore = now - ticketLifetimeMilliseconds - transitMarginMilliseconds;
		for (const [incarnation, {recordedAt}] of successors) {
			if (recordedAt < expiredBefore) {
				successors.delete(incarnation);
			}
		}

		for (const [incarnation, {receivedAt}] of handovers) {
			if (receivedAt < expiredBefore) {
				handovers.delete(incarnation);
			}
		}
	};

	const getOrCreateHandover = (chunk: HandoverChunk): ReceivedHandover => {
		const existing = handovers.get(chunk.incarnation);
		if (existing) {
			return existing;
		}

		const receivedAt = clock.monotonic();
		const created: ReceivedHandover = {
			ticketStore: createTicketStore(unlimitedTickets), clockOffset: chunk.clock - receivedAt, receivedAt, receivedChunks: 0, isComplete: false,
		};
		handovers.set(chunk.incarnation, created);
		return created;
	};

	return {
		receive(chunk) {
			removeExpired();
			const handover = getOrCreateHandover(chunk);
			// A missing chunk leaves the handover incomplete permanently.
			if (chunk.part !== handover.receivedChunks) {
				return false;
			}

			handover.receivedChunks += 1;
			for (const request of chunk.requests) {
				handover.ticketStore.restore(request);
			}

			handover.isComplete = chunk.isLast;
			return chunk.isLast;
		},
		getHandedOverOutcome(incarnation, claim, expiresAt) {
			const handover = handovers.get(incarnation);
			if (!handover) {
				return undefined;
			}

			const entryNow = clock.monotonic() + handover.clockOffset + transitMarginMilliseconds;
			const result = handover.ticketStore.begin(claim, -Infinity);
			switch (result.kind) {
				case 'finished':
				case 'mismatch': {
					return result;
				}

				case 'begun': {
					handover.ticketStore.remove(claim.id);
					return {kind: handover.isComplete && entryNow < expiresAt ? 'never-ran' : 'unknown'};
				}

				case 'running':
				case 'full': {
					return {kind: 'unknown'};
				}
			}
		},
		setSuccessor(incarnation, nodeId) {
			removeExpired();
			successors.set(incarnation, {nodeId, recordedAt: clock.monotonic()});
		},
		getSuccessor: incarnation => successors.get(incarnation)?.nodeId,
	};
}
