/**
 * The request tokens that this node may give out for each customer. It asks
 * the customer's other members for a loan when it runs short, and lends to
 * them what its own callers don't need.
 */
import {
	type Customer, type CustomerQuota, type QuotaMember, type TokenAllocation, createCustomerQuota, emptyTokenAllocation, fillCustomerQuota, getCapacity, getFillRate, getTokenAllocation, getCustomerTokenDelay,
	isOverLent, reduceTokenAllocation, setTokenAllocation, shortenTokenLoans, takeCustomerToken,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import {type LoanMessage, createTokenLoans} from './token-loans.js';

export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** The shares of a ledger epoch from the point of view of one incarnation. */
export type AllocationBasis = {
	readonly incarnation: string;
	readonly members: readonly QuotaMember[];
};

export type RequestQuotas = {
	/** Takes the limits of a configuration; the floors follow by `lower` and `raise`. */
	setCustomers: (customers: readonly Customer[]) => void;
	/** Lowers all floors to at most these shares. */
	reduceAllocations: (shares: AllocationBasis) => void;
	/** Raises all floors to the shares of the last call of `lower`. */
	increaseAllocations: () => void;
	/** Whether more is lent than the floors cover. */
	isOverAllocated: () => boolean;
	admit: (customer: string) => Admission;
	/**
	 * Admits within a short time, and by the given monotonic time, if tokens come
	 * by then: by time, from another member, or with the first shares.
	 */
	admitOrWait: (customer: string, latestAt?: number) => Promise<Admission>;
	/** What this node may give out now, by its floor and by loans. */
	getUsableQuota: (customer: string) => TokenAllocation;
	receive: (from: string, message: PeerMessage) => void;
	tick: () => void;
};

export type RequestQuotasOptions = {
	readonly ownId: string;
	readonly zone: string;
	readonly region: string;
	readonly clock: LeaseClock;
	readonly lease: QuotaLease;
	readonly send: (to: string, message: PeerMessage) => void;
	/** Runs the function after so many milliseconds; returns how to call it off. */
	readonly schedule: (run: () => void, milliseconds: number) => () => void;
	/** Off in trials that show what borrowing is worth. */
	readonly isBorrowing?: boolean;
};

/** What a node knows of one customer's quota. */
export type CustomerState = {
	customer: Customer;
	quota: CustomerQuota;
	basis: AllocationBasis | undefined;
	/** Nobody has held any of it since this time, if that is known. */
	unallocatedSince: number | undefined;
	/** Requests since the last tick, and their rate per second. */
	arrivals: number;
	demandPerSecond: number;
	lastShortageAt: number;
	readonly waiters: TokenWaiter[];
	/** Calls off the look at the waiters that is due when the next token has grown. */
	cancelWake: (() => void) | undefined;
};

export type TokenWaiter = {
	readonly waitingSince: number;
	readonly deadlineAt: number;
	readonly resolve: (admission: Admission) => void;
	readonly cancelTimeout: () => void;
};

/** How long a request may wait for a token. */
const patienceMilliseconds = 3000;
/** How long it may wait while the members haven't agreed on the shares. */
const agreementPatienceMilliseconds = 2000;
const leastWaiters = 4;
/** The rest of a token that rounding leaves would else be looked at over and over. */
const leastWakeMilliseconds = 1;
const demandSmoothing = 0.1;
const forgottenDemand = 0.01;
const millisecondsPerSecond = 1000;

export function createRequestQuotas(options: RequestQuotasOptions): RequestQuotas {
	const {clock, lease, schedule} = options;
	const entries = new Map<string, CustomerState>();
	const active = new Set<CustomerState>();
	let customers = new Map<string, Customer>();
	let raisedAt: number | undefined;
	let isRaised = false;
	let tickedAt = clock.monotonic();
	const loans = createTokenLoans(options, entries);

	// A loan ends for its borrower by the time that was frozen earlier.
	clock.onPause(milliseconds => {
		for (const entry of entries.values()) {
			entry.quota = shortenTokenLoans(entry.quota, milliseconds);
		}
	});

	const findEntry = (name: string): CustomerState | undefined => {
		const entry = entries.get(name);
		if (entry) {
			clock.pauseAdjusted();
			entry.quota = fillCustomerQuota(entry.quota, clock.monotonic());
		}

		return entry;
	};

	const take = (entry: CustomerState): boolean => {
		// A node without a floor lives on loans, which end by themselves.
		if (entry.quota.allocation.burst > 0 && !lease.isValid()) {
			return false;
		}

		const taken = takeCustomerToken(entry.quota);
		entry.quota = taken ?? entry.quota;
		return taken !== undefined;
	};

	/** Looks at the waiters again when time will have made the next token. */
	const wakeLater = (entry: CustomerState): void => {
		const milliseconds = getCustomerTokenDelay(entry.quota);
		entry.cancelWake?.();
		entry.cancelWake = undefined;
		// A whole token that can't be taken waits for the lease, which the tick looks at.
		if (entry.waiters.length > 0 && milliseconds > 0 && milliseconds < patienceMilliseconds) {
			entry.cancelWake = schedule(() => {
				entry.cancelWake = undefined;
				attendWaiters(entry);
			}, Math.max(leastWakeMilliseconds, milliseconds));
		}
	};

	const serveWaiters = (entry: CustomerState): void => {
		clock.pauseAdjusted();
		entry.quota = fillCustomerQuota(entry.quota, clock.monotonic());
		while (entry.waiters.length > 0 && take(entry)) {
			const waiter = entry.waiters.shift();
			waiter?.cancelTimeout();
			waiter?.resolve({kind: 'admitted'});
		}

		loans.returnUsedLoans(entry);
		wakeLater(entry);
	};

	const refuse = (entry: CustomerState): Admission => {
		entry.lastShortageAt = clock.monotonic();
		if (lease.isValid() || entry.quota.allocation.burst === 0) {
			loans.requestLoan(entry);
		}

		const delay = getCustomerTokenDelay(entry.quota);
		return {kind: 'refused', retryAfterMilliseconds: Number.isFinite(delay) ? delay : millisecondsPerSecond};
	};

	const admit = (name: string): Admission => {
		const entry = findEntry(name);
		if (!entry) {
			return {kind: 'refused', retryAfterMilliseconds: 0};
		}

		entry.arrivals += 1;
		active.add(entry);
		return entry.waiters.length === 0 && take(entry) ? {kind: 'admitted'} : refuse(entry);
	};

	const attendWaiters = (entry: CustomerState): void => {
		serveWaiters(entry);
		endWaiters(entry, clock.monotonic());
	};

	return {
		setCustomers(next) {
			customers = new Map(next.map(customer => [customer.name, customer]));
			for (const customer of next) {
				const entry = entries.get(customer.name);
				if (entry) {
					entry.customer = customer;
					continue;
				}

				entries.set(customer.name, createEntry(customer, raisedAt, clock.monotonic()));
			}
		},
		reduceAllocations(shares) {
			const now = clock.monotonic();
			isRaised = false;
			for (const entry of entries.values()) {
				// Only the first mark that has the customer may count the time before it.
				entry.unallocatedSince = entry.basis ? undefined : entry.unallocatedSince;
				entry.basis = shares;
				const isKnown = customers.has(entry.customer.name);
				const floor = isKnown ? getTokenAllocation(entry.customer, shares.incarnation, shares.members) : emptyTokenAllocation;
				entry.quota = reduceTokenAllocation(entry.quota, floor, now);
			}
		},
		increaseAllocations() {
			if (isRaised) {
				return;
			}

			const now = clock.monotonic();
			isRaised = true;
			raisedAt = now;
			for (const [name, entry] of entries) {
				if (!customers.has(name)) {
					entries.delete(name);
					active.delete(entry);
					continue;
				}

				raiseEntry(entry, now);
				serveWaiters(entry);
			}
		},
		isOverAllocated() {
			const now = clock.monotonic();
			return loans.getLendingStates().some(entry => {
				entry.quota = fillCustomerQuota(entry.quota, now);
				return isOverLent(entry.quota);
			});
		},
		admit,
		async admitOrWait(name, latestAt = Number.POSITIVE_INFINITY) {
			const admission = admit(name);
			const entry = entries.get(name);
			const since = clock.monotonic();
			const endsAt = Math.min(latestAt, since + (isRaised ? patienceMilliseconds : agreementPatienceMilliseconds));
			if (admission.kind === 'admitted' || !entry || !isWorthWaiting(entry, endsAt - since)) {
				return admission;
			}

			return new Promise(resolve => {
				const callOff = schedule(() => {
					attendWaiters(entry);
				}, endsAt - since);
				entry.waiters.push({
					waitingSince: since, deadlineAt: endsAt, resolve, cancelTimeout: callOff,
				});
				if (!entry.cancelWake) {
					wakeLater(entry);
				}
			});
		},
		getUsableQuota(name) {
			const entry = findEntry(name);
			const isUsable = entry && (entry.quota.allocation.burst === 0 || lease.isValid());
			return isUsable ? {rate: getFillRate(entry.quota), burst: getCapacity(entry.quota)} : emptyTokenAllocation;
		},
		receive(from, message) {
			const entry = isLoanMessage(message) ? findEntry(message.customer) : undefined;
			if (entry && isLoanMessage(message)) {
				loans.receive(from, message, entry);
				serveWaiters(entry);
			}
		},
		tick() {
			const now = clock.monotonic();
			const seconds = Math.max(1, now - tickedAt) / millisecondsPerSecond;
			tickedAt = now;
			loans.removeEnded();
			for (const entry of active) {
				entry.quota = fillCustomerQuota(entry.quota, now);
				entry.demandPerSecond += demandSmoothing * ((entry.arrivals / seconds) - entry.demandPerSecond);
				entry.arrivals = 0;
				attendWaiters(entry);
				loans.renewLoan(entry);
				if (entry.waiters.length > 0) {
					loans.requestLoan(entry);
				}

				if (entry.demandPerSecond < forgottenDemand && entry.waiters.length === 0) {
					active.delete(entry);
				}
			}
		},
	};
}

function isLoanMessage(message: PeerMessage): message is LoanMessage {
	return message.type === 'request-loan-wish' || message.type === 'request-loan' || message.type === 'request-return';
}

function createEntry(customer: Customer, unheldSince: number | undefined, now: number): CustomerState {
	return {
		customer, unallocatedSince: unheldSince, quota: createCustomerQuota(now), basis: undefined, arrivals: 0, demandPerSecond: 0, lastShortageAt: Number.NEGATIVE_INFINITY, waiters: [], cancelWake: undefined,
	};
}

function raiseEntry(entry: CustomerState, now: number): void {
	const {basis: shares, unallocatedSince: unheldSince} = entry;
	if (!shares) {
		return;
	}

	entry.quota = setTokenAllocation(entry.quota, getTokenAllocation(entry.customer, shares.incarnation, shares.members), now);
	if (unheldSince !== undefined) {
		const {rate, burst} = entry.quota.allocation;
		const grown = rate * (now - unheldSince) / millisecondsPerSecond;
		entry.quota = {...entry.quota, tokens: Math.min(burst, grown)};
		entry.unallocatedSince = undefined;
	}
}

/** Requests beyond what the customer's rate can bring within the patience are refused at once. */
function isWorthWaiting(entry: CustomerState, patience: number): boolean {
	const most = Math.max(leastWaiters, entry.customer.rate * patience / millisecondsPerSecond);
	return patience > 0 && entry.waiters.length < most;
}

/** Refuses those whose time is over; each has a deadline of its own, so that a later one may end first. */
function endWaiters(entry: CustomerState, now: number): void {
	for (let index = entry.waiters.length - 1; index >= 0; index--) {
		const waiter = entry.waiters[index];
		if (waiter && waiter.deadlineAt <= now) {
			entry.waiters.splice(index, 1);
			waiter.cancelTimeout();
			waiter.resolve({kind: 'refused', retryAfterMilliseconds: getCustomerTokenDelay(entry.quota)});
		}
	}
}
