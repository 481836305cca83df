/**
 * What one entry remembers of requests that may run only once: which run, and
 * how the others ended. The memory is bounded; a request that finds no room is
 * refused before it runs, because a forgotten request could run again.
 */

/** An answer as it is remembered. */
export type RecordedResponse = {
	readonly status: number;
	/** A flat list of names and values. */
	readonly headers: readonly string[];
	/** Undefined if the body was too large to keep. */
	readonly body: Uint8Array | undefined;
};

export type TicketOutcome
	= | {readonly kind: 'ran'; readonly answer: RecordedResponse}
		| {readonly kind: 'unknown'};

/** A request as it claims its right to run. */
export type TicketClaim = {
	readonly id: string;
	readonly customer: string;
	/** A hash of what is asked for; the same identifier may not stand for another request. */
	readonly fingerprint: string;
	/** The time after which a repetition is refused without the memory. */
	readonly forgetAt: number;
};

export type RecordedTicket = TicketClaim & {readonly outcome: TicketOutcome};

export type TicketClaimResult
	/** The request may run now, and only this one. */
	= | {readonly kind: 'begun'}
		| {readonly kind: 'running'}
		| {readonly kind: 'finished'; readonly outcome: TicketOutcome}
	/** The identifier belongs to another customer or another request. */
		| {readonly kind: 'mismatch'}
		| {readonly kind: 'full'};

export type TicketStoreLimits = {
	readonly requests: number;
	/** Requests that one customer may fill. */
	readonly requestsPerCustomer: number;
	/** Bytes of kept bodies; beyond it, outcomes are kept without them. */
	readonly bodyBytes: number;
};

export type TicketStore = {
	begin: (claim: TicketClaim, now: number) => TicketClaimResult;
	finish: (id: string, outcome: TicketOutcome) => void;
	has: (id: string) => boolean;
	/** Forgets a request that provably never ran. */
	remove: (id: string) => void;
	/** Shortens or lengthens how long a request is remembered. */
	setExpiry: (id: string, forgetAt: number) => void;
	/** Takes over a remembered request of another entry. */
	restore: (request: RecordedTicket) => void;
	/** What a stopping entry hands over; a request that still runs counts as unknown. */
	getUnexpired: (now: number) => RecordedTicket[];
	getSize: () => number;
};

export const ticketLifetimeMilliseconds = 300_000;
export const defaultTicketStoreLimits: TicketStoreLimits = {requests: 50_000, requestsPerCustomer: 25_000, bodyBytes: 33_554_432};
const sweepMilliseconds = 1000;

type Entry = {claim: TicketClaim; outcome: TicketOutcome | undefined};

export function createTicketStore(limits: TicketStoreLimits = defaultTicketStoreLimits): TicketStore {
	const entries = new Map<string, Entry>();
	const countByCustomer = new Map<string, number>();
	let bodyBytes = 0;
	let sweptAt = -Infinity;

	const remove = (id: string): void => {
		const entry = entries.get(id);
		if (!entry) {
			return;
		}

		const {customer} = entry.claim;
		const left = (countByCustomer.get(customer) ?? 1) - 1;
		if (left > 0) {
			countByCustomer.set(customer, left);
		} else {
			countByCustomer.delete(customer);
		}

		bodyBytes -= getBodyBytes(entry.outcome);
		entries.delete(id);
	};

	const add = (claim: TicketClaim): Entry => {
		const entry: Entry = {claim, outcome: undefined};
		entries.set(claim.id, entry);
		countByCustomer.set(claim.customer, (countByCustomer.get(claim.customer) ?? 0) + 1);
		return entry;
	};

	const sweep = (now: number): void => {
		if (now - sweptAt < sweepMilliseconds) {
			return;
		}

		sweptAt = now;
		for (const [id, {claim}] of entries) {
			if (claim.forgetAt <= now) {
				remove(id);
			}
		}
	};

	const setOutcome = (entry: Entry, outcome: TicketOutcome): void => {
		const kept = bodyBytes + getBodyBytes(outcome) > limits.bodyBytes ? dropBody(outcome) : outcome;
		bodyBytes += getBodyBytes(kept) - getBodyBytes(entry.outcome);
		entry.outcome = kept;
	};

	return {
		begin(claim, now) {
			sweep(now);
			const known = entries.get(claim.id);
			if (known) {
				return getKnownResult(known, claim);
			}

			if (entries.size >= limits.requests || (countByCustomer.get(claim.customer) ?? 0) >= limits.requestsPerCustomer) {
				return {kind: 'full'};
			}

			add(claim);
			return {kind: 'begun'};
		},
		finish(id, outcome) {
			const entry = entries.get(id);
			if (entry) {
				setOutcome(entry, outcome);
			}
		},
		has: id => entries.has(id),
		remove,
		setExpiry(id, forgetAt) {
			const entry = entries.get(id);
			if (entry) {
				entry.claim = {...entry.claim, forgetAt};
			}
		},
		restore({outcome, ...claim}) {
			if (!entries.has(claim.id)) {
				setOutcome(add(claim), outcome);
			}
		},
		getUnexpired(now) {
			const remembered = [...entries.values()].filter(({claim}) => claim.forgetAt > now);
			return remembered.map(({claim, outcome}) => ({...claim, outcome: outcome ?? {kind: 'unknown'}}));
		},
		getSize: () => entries.size,
	};
}

function getKnownResult({claim, outcome}: Entry, asked: TicketClaim): TicketClaimResult {
	if (claim.customer !== asked.customer || claim.fingerprint !== asked.fingerprint) {
		return {kind: 'mismatch'};
	}

	return outcome ? {kind: 'finished', outcome} : {kind: 'running'};
}

function getBodyBytes(outcome: TicketOutcome | undefined): number {
	return outcome?.kind === 'ran' ? outcome.answer.body?.length ?? 0 : 0;
}

function dropBody(outcome: TicketOutcome): TicketOutcome {
	return outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, body: undefined}} : outcome;
}
