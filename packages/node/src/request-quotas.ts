/**
 * The request tokens that this node may give out for each customer. It asks
 * the customer's other members for a loan when it runs short, and lends to
 * them what its own callers don't need.
 */
import {
	type Customer, type CustomerQuota, type Holder, type RequestFloor, createCustomerQuota, emptyFloor, fillCustomerQuota, getCapacity, getFillRate, getRequestFloor, getRequestTokenDelay,
	hasLentBeyondFloor, lowerFloor, setFloor, shortenBorrowed, takeRequestToken,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import {type LoanMessage, createRequestLoans} from './request-loans.js';

export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** The shares of a ledger epoch from the point of view of one incarnation. */
export type LedgerShares = {
	readonly incarnation: string;
	readonly holders: readonly Holder[];
};

export type RequestQuotas = {
	/** Takes the limits of a configuration; the floors follow by `lower` and `raise`. */
	setCustomers: (customers: readonly Customer[]) => void;
	/** Lowers all floors to at most these shares. */
	lower: (shares: LedgerShares) => void;
	/** Raises all floors to the shares of the last call of `lower`. */
	raise: () => void;
	/** Whether more is lent than the floors cover. */
	hasOverhang: () => boolean;
	admit: (customer: string) => Admission;
	/**
	 * Admits within a short time, and by the given monotonic time, if tokens come
	 * by then: by time, from another member, or with the first shares.
	 */
	admitSoon: (customer: string, latestAt?: number) => Promise<Admission>;
	/** What this node may give out now, by its floor and by loans. */
	getUsable: (customer: string) => RequestFloor;
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
export type CustomerEntry = {
	customer: Customer;
	quota: CustomerQuota;
	shares: LedgerShares | undefined;
	/** Nobody has held any of it since this time, if that is known. */
	unheldSince: number | undefined;
	/** Requests since the last tick, and their rate per second. */
	arrivals: number;
	demand: number;
	shortAt: number;
	readonly waiters: Waiter[];
	/** Calls off the look at the waiters that is due when the next token has grown. */
	callOffWake: (() => void) | undefined;
};

export type Waiter = {
	readonly since: number;
	readonly endsAt: number;
	readonly resolve: (admission: Admission) => void;
	readonly callOff: () => void;
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
	const entries = new Map<string, CustomerEntry>();
	const active = new Set<CustomerEntry>();
	let customers = new Map<string, Customer>();
	let raisedAt: number | undefined;
	let isRaised = false;
	let tickedAt = clock.monotonic();
	const loans = createRequestLoans(options, entries);

	// A loan ends for its borrower by the time that was frozen earlier.
	clock.onFrozen(milliseconds => {
		for (const entry of entries.values()) {
			entry.quota = shortenBorrowed(entry.quota, milliseconds);
		}
	});

	const findEntry = (name: string): CustomerEntry | undefined => {
		const entry = entries.get(name);
		if (entry) {
			clock.own();
			entry.quota = fillCustomerQuota(entry.quota, clock.monotonic());
		}

		return entry;
	};

	const take = (entry: CustomerEntry): boolean => {
		// A node without a floor lives on loans, which end by themselves.
		if (entry.quota.floor.burst > 0 && !lease.isValid()) {
			return false;
		}

		const taken = takeRequestToken(entry.quota);
		entry.quota = taken ?? entry.quota;
		return taken !== undefined;
	};

	/** Looks at the waiters again when time will have made the next token. */
	const wakeLater = (entry: CustomerEntry): void => {
		const milliseconds = getRequestTokenDelay(entry.quota);
		entry.callOffWake?.();
		entry.callOffWake = undefined;
		// A whole token that can't be taken waits for the lease, which the tick looks at.
		if (entry.waiters.length > 0 && milliseconds > 0 && milliseconds < patienceMilliseconds) {
			entry.callOffWake = schedule(() => {
				entry.callOffWake = undefined;
				attendWaiters(entry);
			}, Math.max(leastWakeMilliseconds, milliseconds));
		}
	};

	const serveWaiters = (entry: CustomerEntry): void => {
		clock.own();
		entry.quota = fillCustomerQuota(entry.quota, clock.monotonic());
		while (entry.waiters.length > 0 && take(entry)) {
			const waiter = entry.waiters.shift();
			waiter?.callOff();
			waiter?.resolve({kind: 'admitted'});
		}

		loans.giveBack(entry);
		wakeLater(entry);
	};

	const refuse = (entry: CustomerEntry): Admission => {
		entry.shortAt = clock.monotonic();
		if (lease.isValid() || entry.quota.floor.burst === 0) {
			loans.askFor(entry);
		}

		const delay = getRequestTokenDelay(entry.quota);
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

	const attendWaiters = (entry: CustomerEntry): void => {
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
		lower(shares) {
			const now = clock.monotonic();
			isRaised = false;
			for (const entry of entries.values()) {
				// Only the first mark that has the customer may count the time before it.
				entry.unheldSince = entry.shares ? undefined : entry.unheldSince;
				entry.shares = shares;
				const isKnown = customers.has(entry.customer.name);
				const floor = isKnown ? getRequestFloor(entry.customer, shares.incarnation, shares.holders) : emptyFloor;
				entry.quota = lowerFloor(entry.quota, floor, now);
			}
		},
		raise() {
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
		hasOverhang() {
			const now = clock.monotonic();
			return loans.getLenders().some(entry => {
				entry.quota = fillCustomerQuota(entry.quota, now);
				return hasLentBeyondFloor(entry.quota);
			});
		},
		admit,
		async admitSoon(name, latestAt = Number.POSITIVE_INFINITY) {
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
					since, endsAt, resolve, callOff,
				});
				if (!entry.callOffWake) {
					wakeLater(entry);
				}
			});
		},
		getUsable(name) {
			const entry = findEntry(name);
			const isUsable = entry && (entry.quota.floor.burst === 0 || lease.isValid());
			return isUsable ? {rate: getFillRate(entry.quota), burst: getCapacity(entry.quota)} : emptyFloor;
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
			loans.forgetEnded();
			for (const entry of active) {
				entry.quota = fillCustomerQuota(entry.quota, now);
				entry.demand += demandSmoothing * ((entry.arrivals / seconds) - entry.demand);
				entry.arrivals = 0;
				attendWaiters(entry);
				loans.renew(entry);
				if (entry.waiters.length > 0) {
					loans.askFor(entry);
				}

				if (entry.demand < forgottenDemand && entry.waiters.length === 0) {
					active.delete(entry);
				}
			}
		},
	};
}

function isLoanMessage(message: PeerMessage): message is LoanMessage {
	return message.type === 'request-loan-wish' || message.type === 'request-loan' || message.type === 'request-return';
}

function createEntry(customer: Customer, unheldSince: number | undefined, now: number): CustomerEntry {
	return {
		customer, unheldSince, quota: createCustomerQuota(now), shares: undefined, arrivals: 0, demand: 0, shortAt: Number.NEGATIVE_INFINITY, waiters: [], callOffWake: undefined,
	};
}

function raiseEntry(entry: CustomerEntry, now: number): void {
	const {shares, unheldSince} = entry;
	if (!shares) {
		return;
	}

	entry.quota = setFloor(entry.quota, getRequestFloor(entry.customer, shares.incarnation, shares.holders), now);
	if (unheldSince !== undefined) {
		const {rate, burst} = entry.quota.floor;
		const grown = rate * (now - unheldSince) / millisecondsPerSecond;
		entry.quota = {...entry.quota, tokens: Math.min(burst, grown)};
		entry.unheldSince = undefined;
	}
}

/** Requests beyond what the customer's rate can bring within the patience are refused at once. */
function isWorthWaiting(entry: CustomerEntry, patience: number): boolean {
	const most = Math.max(leastWaiters, entry.customer.rate * patience / millisecondsPerSecond);
	return patience > 0 && entry.waiters.length < most;
}

/** Refuses those whose time is over; each has a deadline of its own, so that a later one may end first. */
function endWaiters(entry: CustomerEntry, now: number): void {
	for (let index = entry.waiters.length - 1; index >= 0; index--) {
		const waiter = entry.waiters[index];
		if (waiter && waiter.endsAt <= now) {
			entry.waiters.splice(index, 1);
			waiter.callOff();
			waiter.resolve({kind: 'refused', retryAfterMilliseconds: getRequestTokenDelay(entry.quota)});
		}
	}
}
