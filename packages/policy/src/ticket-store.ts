/**
 * One entry's record of requests that may run only once: which are running,
 * and how the others ended. The store is bounded. A request for which it has
 * no room is refused before it runs, because a request without a record could
 * run again.
 */

/** A response as it is stored for repetitions of its request. */
export type RecordedResponse = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	/** Undefined if the body was too large to store. */
	readonly body: Uint8Array | undefined;
};

export type TicketOutcome
	= | {readonly kind: 'ran'; readonly answer: RecordedResponse}
		| {readonly kind: 'unknown'};

/** The claim of a request to run. */
export type TicketClaim = {
	readonly id: string;
	readonly customer: string;
	/** A hash of the request's content, by which a different request with the same identifier is refused. */
	readonly fingerprint: string;
	/** Time at which the record expires; from then on a repetition is refused without it. */
	readonly forgetAt: number;
};

export type RecordedTicket = TicketClaim & {readonly outcome: TicketOutcome};

export type TicketClaimResult
	/** The request may run now; its repetitions may not. */
	= | {readonly kind: 'begun'}
		| {readonly kind: 'running'}
		| {readonly kind: 'finished'; readonly outcome: TicketOutcome}
	/** The identifier belongs to another customer or another request. */
		| {readonly kind: 'mismatch'}
		| {readonly kind: 'full'};

export type TicketStoreLimits = {
	readonly requests: number;
	/** Maximum stored requests of one customer. */
	readonly requestsPerCustomer: number;
	/** Maximum bytes of all stored bodies; beyond it, outcomes are stored without bodies. */
	readonly bodyBytes: number;
};

export type TicketStore = {
	begin: (claim: TicketClaim, now: number) => TicketClaimResult;
	finish: (id: string, outcome: TicketOutcome) => void;
	has: (id: string) => boolean;
	/** Removes a request that provably never ran. */
	remove: (id: string) => void;
	/** Changes the time at which a request's record expires. */
	setExpiry: (id: string, forgetAt: number) => void;
	/** Adds a request recorded by another entry, unless one with its identifier is stored. */
	restore: (request: RecordedTicket) => void;
	/** The unexpired requests, which a stopping entry hands over; the outcome of a running one is unknown. */
	getUnexpired: (now: number) => RecordedTicket[];
	getSize: () => number;
};

export const ticketLifetimeMilliseconds = 300_000;
export const defaultTicketStoreLimits: TicketStoreLimits = {requests: 50_000, requestsPerCustomer: 25_000, bodyBytes: 33_554_432};
const sweepIntervalMilliseconds = 1000;

type TicketState = {claim: TicketClaim; outcome: TicketOutcome | undefined};

export function createTicketStore(limits: TicketStoreLimits = defaultTicketStoreLimits): TicketStore {
	const tickets = new Map<string, TicketState>();
	const countByCustomer = new Map<string, number>();
	let bodyBytes = 0;
	let sweptAt = -Infinity;

	const remove = (id: string): void => {
		const ticket = tickets.get(id);
		if (!ticket) {
			return;
		}

		const {customer} = ticket.claim;
		const remaining = (countByCustomer.get(customer) ?? 1) - 1;
		if (remaining > 0) {
			countByCustomer.set(customer, remaining);
		} else {
			countByCustomer.delete(customer);
		}

		bodyBytes -= getBodyBytes(ticket.outcome);
		tickets.delete(id);
	};

	const add = (claim: TicketClaim): TicketState => {
		const ticket: TicketState = {claim, outcome: undefined};
		tickets.set(claim.id, ticket);
		countByCustomer.set(claim.customer, (countByCustomer.get(claim.customer) ?? 0) + 1);
		return ticket;
	};

	const sweep = (now: number): void => {
		if (now - sweptAt < sweepIntervalMilliseconds) {
			return;
		}

		sweptAt = now;
		for (const [id, {claim}] of tickets) {
			if (claim.forgetAt <= now) {
				remove(id);
			}
		}
	};

	const setOutcome = (ticket: TicketState, outcome: TicketOutcome): void => {
		const stored = bodyBytes + getBodyBytes(outcome) > limits.bodyBytes ? removeBody(outcome) : outcome;
		bodyBytes += getBodyBytes(stored) - getBodyBytes(ticket.outcome);
		ticket.outcome = stored;
	};

	return {
		begin(claim, now) {
			sweep(now);
			const existing = tickets.get(claim.id);
			if (existing) {
				return getRepeatedResult(existing, claim);
			}

			if (tickets.size >= limits.requests || (countByCustomer.get(claim.customer) ?? 0) >= limits.requestsPerCustomer) {
				return {kind: 'full'};
			}

			add(claim);
			return {kind: 'begun'};
		},
		finish(id, outcome) {
			const ticket = tickets.get(id);
			if (ticket) {
				setOutcome(ticket, outcome);
			}
		},
		has: id => tickets.has(id),
		remove,
		setExpiry(id, forgetAt) {
			const ticket = tickets.get(id);
			if (ticket) {
				ticket.claim = {...ticket.claim, forgetAt};
			}
		},
		restore({outcome, ...claim}) {
			if (!tickets.has(claim.id)) {
				setOutcome(add(claim), outcome);
			}
		},
		getUnexpired(now) {
			const unexpired = [...tickets.values()].filter(({claim}) => claim.forgetAt > now);
			return unexpired.map(({claim, outcome}) => ({...claim, outcome: outcome ?? {kind: 'unknown'}}));
		},
		getSize: () => tickets.size,
	};
}

function getRepeatedResult({claim, outcome}: TicketState, repeated: TicketClaim): TicketClaimResult {
	if (claim.customer !== repeated.customer || claim.fingerprint !== repeated.fingerprint) {
		return {kind: 'mismatch'};
	}

	return outcome ? {kind: 'finished', outcome} : {kind: 'running'};
}

function getBodyBytes(outcome: TicketOutcome | undefined): number {
	return outcome?.kind === 'ran' ? outcome.answer.body?.length ?? 0 : 0;
}

function removeBody(outcome: TicketOutcome): TicketOutcome {
	return outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, body: undefined}} : outcome;
}
