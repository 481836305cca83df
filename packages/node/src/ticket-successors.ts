/**
 * Who answers for the tickets of an incarnation that has stopped: this node,
 * if it took the remembered outcomes over, or another one.
 */
import type {Clock} from '@catkindale/common';
import {
	type TicketClaim, type TicketOutcome, type RecordedTicket, type TicketStore, createTicketStore, ticketLifetimeMilliseconds,
} from '@catkindale/policy';

export type HandedOverOutcome
	= | {readonly kind: 'finished'; readonly outcome: TicketOutcome}
		| {readonly kind: 'mismatch'}
	/** All outcomes are here and this request isn't among them: it never ran and never will. */
		| {readonly kind: 'never-ran'}
		| {readonly kind: 'unknown'};

export type HandoverChunk = {
	readonly incarnation: string;
	/** The ticket clock of the stopping entry when it sent the part. */
	readonly clock: number;
	readonly part: number;
	readonly isLast: boolean;
	readonly requests: readonly RecordedTicket[];
};

export type TicketSuccessors = {
	/** Returns whether all parts are here now. */
	receive: (part: HandoverChunk) => boolean;
	/** Undefined if this node isn't the heir of the incarnation. */
	getHandedOverOutcome: (incarnation: string, claim: TicketClaim, expiresAt: number) => HandedOverOutcome | undefined;
	setSuccessor: (incarnation: string, heir: string) => void;
	/** The identifier of the node that answers for the incarnation, if another one does. */
	getSuccessor: (incarnation: string) => string | undefined;
};

type Inheritance = {
	readonly memory: TicketStore;
	/** The stopped entry's ticket clock minus this node's monotonic clock, at most. */
	readonly clockOffset: number;
	readonly receivedAt: number;
	parts: number;
	isWhole: boolean;
};

type Heir = {readonly heir: string; readonly since: number};

/** Covers the time that a part was on its way, in which the stopped entry's clock went on. */
const transitMarginMilliseconds = 10_000;
const unlimited = {requests: Infinity, requestsPerCustomer: Infinity, bodyBytes: Infinity};

export function createTicketSuccessors(clock: Clock): TicketSuccessors {
	const inheritances = new Map<string, Inheritance>();
	const heirs = new Map<string, Heir>();

	const forgetOld = (): void => {
		const now = clock.monotonic();
		const oldest = now - ticketLifetimeMilliseconds - transitMarginMilliseconds;
		for (const [incarnation, {since}] of heirs) {
			if (since < oldest) {
				heirs.delete(incarnation);
			}
		}

		for (const [incarnation, {receivedAt}] of inheritances) {
			if (receivedAt < oldest) {
				inheritances.delete(incarnation);
			}
		}
	};

	const open = (part: HandoverChunk): Inheritance => {
		const known = inheritances.get(part.incarnation);
		if (known) {
			return known;
		}

		const receivedAt = clock.monotonic();
		const opened: Inheritance = {
			memory: createTicketStore(unlimited), clockOffset: part.clock - receivedAt, receivedAt, parts: 0, isWhole: false,
		};
		inheritances.set(part.incarnation, opened);
		return opened;
	};

	return {
		receive(part) {
			forgetOld();
			const inheritance = open(part);
			// A part that is missing leaves the inheritance incomplete for good.
			if (part.part !== inheritance.parts) {
				return false;
			}

			inheritance.parts += 1;
			for (const request of part.requests) {
				inheritance.memory.restore(request);
			}

			inheritance.isWhole = part.isLast;
			return part.isLast;
		},
		getHandedOverOutcome(incarnation, claim, expiresAt) {
			const inheritance = inheritances.get(incarnation);
			if (!inheritance) {
				return undefined;
			}

			const homeNow = clock.monotonic() + inheritance.clockOffset + transitMarginMilliseconds;
			const result = inheritance.memory.begin(claim, -Infinity);
			switch (result.kind) {
				case 'finished':
				case 'mismatch': {
					return result;
				}

				case 'begun': {
					inheritance.memory.remove(claim.id);
					return {kind: inheritance.isWhole && homeNow < expiresAt ? 'never-ran' : 'unknown'};
				}

				case 'running':
				case 'full': {
					return {kind: 'unknown'};
				}
			}
		},
		setSuccessor(incarnation, heir) {
			forgetOld();
			heirs.set(incarnation, {heir, since: clock.monotonic()});
		},
		getSuccessor: incarnation => heirs.get(incarnation)?.heir,
	};
}
