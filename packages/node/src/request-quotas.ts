/**
 * Admits requests by the tokens that this node may use for each customer. When
 * it has too few, it requests a loan from the customer's other members; it
 * lends them the tokens that its own callers don't need.
 */
import {
	type Customer, type CustomerQuota, type QuotaMember, type TokenAllocation, createCustomerQuota, emptyTokenAllocation, fillCustomerQuota, getCapacity,
	getCustomerTokenDelay, getFillRate, getTokenAllocation, isOverLent, reduceTokenAllocation, setTokenAllocation, shortenTokenLoans, takeCustomerToken,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import {type TokenLoanMessage, createTokenLoans} from './token-loans.js';

export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** The members of a ledger epoch from which the allocations of one incarnation are computed. */
export type AllocationBasis = {
	readonly incarnation: string;
	readonly members: readonly QuotaMember[];
};

export type RequestQuotas = {
	/** Applies the limits of a configuration. Allocations change by `reduceAllocations` and `increaseAllocations`. */
	setCustomers: (customers: readonly Customer[]) => void;
	/** Reduces all allocations to at most those of this basis. */
	reduceAllocations: (basis: AllocationBasis) => void;
	/** Increases all allocations to those of the last basis. */
	increaseAllocations: () => void;
	/** Whether more tokens are lent than allocated. */
	isOverAllocated: () => boolean;
	admit: (customer: string) => Admission;
	/**
	 * Like `admit`, but waits a few seconds, and at most until the given monotonic
	 * time, for a token from a refill, a loan or the first allocation.
	 */
	admitOrWait: (customer: string, requestDeadlineAt?: number) => Promise<Admission>;
	/** Refuses all requests that wait for a token. */
	refuseWaiters: () => void;
	/** Returns the rate and burst that this node may use at present, including loans. */
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
	/** Runs the function after the given time; returns a function that cancels it. */
	readonly schedule: (run: () => void, milliseconds: number) => () => void;
	/** False in experiments that measure the benefit of loans. */
	readonly isBorrowing?: boolean;
};

/** The state of one customer's quota at this node. */
export type CustomerState = {
	customer: Customer;
	quota: CustomerQuota;
	basis: AllocationBasis | undefined;
	/** Monotonic time since which no member has had an allocation, if known. */
	unallocatedSince: number | undefined;
	/** Requests since the last tick. */
	arrivals: number;
	/** Smoothed rate of the requests. */
	demandPerSecond: number;
	lastShortageAt: number;
	readonly waiters: TokenWaiter[];
	/** Cancels the timer that checks the waiters when the next token is available. */
	cancelWake: (() => void) | undefined;
};

export type TokenWaiter = {
	readonly waitingSince: number;
	readonly deadlineAt: number;
	readonly resolve: (admission: Admission) => void;
	readonly cancelTimeout: () => void;
};

/** The maximum wait of a request for a token. */
const maximumWaitMilliseconds = 3000;
/** The maximum wait while the members haven't agreed on the allocations. */
const maximumAgreementWaitMilliseconds = 2000;
const minimumWaiters = 4;
/** Without a minimum, the fraction of a token that rounding leaves would cause a series of immediate timers. */
const minimumWakeMilliseconds = 1;
const demandSmoothing = 0.1;
const idleDemandPerSecond = 0.01;
const millisecondsPerSecond = 1000;

export function createRequestQuotas(options: RequestQuotasOptions): RequestQuotas {
	const {clock, lease, schedule} = options;
	const states = new Map<string, CustomerState>();
	const activeStates = new Set<CustomerState>();
	let customers = new Map<string, Customer>();
	let increasedAt: number | undefined;
	let isIncreaseApplied = false;
	let lastTickAt = clock.monotonic();
	const tokenLoans = createTokenLoans(options, states);

	// The borrower's loans end earlier by the length of each pause.
	clock.onPause(milliseconds => {
		for (const state of states.values()) {
			state.quota = shortenTokenLoans(state.quota, milliseconds);
		}
	});

	const getRefilledState = (name: string): CustomerState | undefined => {
		const state = states.get(name);
		if (state) {
			// Shortens the loans by any pause before the quota is refilled.
			clock.pauseAdjusted();
			state.quota = fillCustomerQuota(state.quota, clock.monotonic());
		}

		return state;
	};

	const tryTakeToken = (state: CustomerState): boolean => {
		// A node without an allocation uses only loans, which expire by themselves and need no lease.
		if (state.quota.allocation.burst > 0 && !lease.isValid()) {
			return false;
		}

		const taken = takeCustomerToken(state.quota);
		state.quota = taken ?? state.quota;
		return taken !== undefined;
	};

	/** Schedules another check of the waiters at the time of the next token. */
	const scheduleWake = (state: CustomerState): void => {
		const milliseconds = getCustomerTokenDelay(state.quota);
		state.cancelWake?.();
		state.cancelWake = undefined;
		// A full token that can't be taken requires a valid lease, which the tick checks.
		if (state.waiters.length > 0 && milliseconds > 0 && milliseconds < maximumWaitMilliseconds) {
			state.cancelWake = schedule(() => {
				state.cancelWake = undefined;
				updateWaiters(state);
			}, Math.max(minimumWakeMilliseconds, milliseconds));
		}
	};

	const admitWaiters = (state: CustomerState): void => {
		// Shortens the loans by any pause before the quota is refilled.
		clock.pauseAdjusted();
		state.quota = fillCustomerQuota(state.quota, clock.monotonic());
		while (state.waiters.length > 0 && tryTakeToken(state)) {
			const waiter = state.waiters.shift();
			waiter?.cancelTimeout();
			waiter?.resolve({kind: 'admitted'});
		}

		tokenLoans.returnUsedLoans(state);
		scheduleWake(state);
	};

	const refuse = (state: CustomerState): Admission => {
		state.lastShortageAt = clock.monotonic();
		if (lease.isValid() || state.quota.allocation.burst === 0) {
			tokenLoans.requestLoan(state);
		}

		const delay = getCustomerTokenDelay(state.quota);
		return {kind: 'refused', retryAfterMilliseconds: Number.isFinite(delay) ? delay : millisecondsPerSecond};
	};

	const admit = (name: string): Admission => {
		const state = getRefilledState(name);
		if (!state) {
			return {kind: 'refused', retryAfterMilliseconds: 0};
		}

		state.arrivals += 1;
		activeStates.add(state);
		return state.waiters.length === 0 && tryTakeToken(state) ? {kind: 'admitted'} : refuse(state);
	};

	const updateWaiters = (state: CustomerState): void => {
		admitWaiters(state);
		refuseExpiredWaiters(state, clock.monotonic());
	};

	return {
		setCustomers(newCustomers) {
			customers = new Map(newCustomers.map(customer => [customer.name, customer]));
			for (const customer of newCustomers) {
				const state = states.get(customer.name);
				if (state) {
					state.customer = customer;
					continue;
				}

				states.set(customer.name, createCustomerState(customer, increasedAt, clock.monotonic()));
			}
		},
		reduceAllocations(basis) {
			const now = clock.monotonic();
			isIncreaseApplied = false;
			for (const state of states.values()) {
				// Another member may have had an allocation since the first position with this customer, so only that position credits the time before it.
				state.unallocatedSince = state.basis ? undefined : state.unallocatedSince;
				state.basis = basis;
				const isConfigured = customers.has(state.customer.name);
				const allocation = isConfigured ? getTokenAllocation(state.customer, basis.incarnation, basis.members) : emptyTokenAllocation;
				state.quota = reduceTokenAllocation(state.quota, allocation, now);
			}
		},
		increaseAllocations() {
			if (isIncreaseApplied) {
				return;
			}

			const now = clock.monotonic();
			isIncreaseApplied = true;
			increasedAt = now;
			for (const [name, state] of states) {
				if (!customers.has(name)) {
					states.delete(name);
					activeStates.delete(state);
					continue;
				}

				increaseAllocation(state, now);
				admitWaiters(state);
			}
		},
		isOverAllocated() {
			const now = clock.monotonic();
			return tokenLoans.getLendingStates().some(state => {
				state.quota = fillCustomerQuota(state.quota, now);
				return isOverLent(state.quota);
			});
		},
		admit,
		async admitOrWait(name, requestDeadlineAt = Number.POSITIVE_INFINITY) {
			const admission = admit(name);
			const state = states.get(name);
			const waitingSince = clock.monotonic();
			const deadlineAt = Math.min(requestDeadlineAt, waitingSince + (isIncreaseApplied ? maximumWaitMilliseconds : maximumAgreementWaitMilliseconds));
			if (admission.kind === 'admitted' || !state || !isWorthWaiting(state, deadlineAt - waitingSince)) {
				return admission;
			}

			return new Promise(resolve => {
				const cancelTimeout = schedule(() => {
					updateWaiters(state);
				}, deadlineAt - waitingSince);
				state.waiters.push({
					waitingSince, deadlineAt, resolve, cancelTimeout,
				});
				if (!state.cancelWake) {
					scheduleWake(state);
				}
			});
		},
		refuseWaiters() {
			for (const state of states.values()) {
				refuseExpiredWaiters(state, Number.POSITIVE_INFINITY);
			}
		},
		getUsableQuota(name) {
			const state = getRefilledState(name);
			const isUsable = state && (state.quota.allocation.burst === 0 || lease.isValid());
			return isUsable ? {rate: getFillRate(state.quota), burst: getCapacity(state.quota)} : emptyTokenAllocation;
		},
		receive(from, message) {
			const state = isLoanMessage(message) ? getRefilledState(message.customer) : undefined;
			if (state && isLoanMessage(message)) {
				tokenLoans.receive(from, message, state);
				admitWaiters(state);
			}
		},
		tick() {
			const now = clock.monotonic();
			const seconds = Math.max(1, now - lastTickAt) / millisecondsPerSecond;
			lastTickAt = now;
			tokenLoans.removeEnded();
			for (const state of activeStates) {
				state.quota = fillCustomerQuota(state.quota, now);
				state.demandPerSecond += demandSmoothing * ((state.arrivals / seconds) - state.demandPerSecond);
				state.arrivals = 0;
				updateWaiters(state);
				tokenLoans.renewLoan(state);
				if (state.waiters.length > 0) {
					tokenLoans.requestLoan(state);
				}

				if (state.demandPerSecond < idleDemandPerSecond && state.waiters.length === 0) {
					activeStates.delete(state);
				}
			}
		},
	};
}

function isLoanMessage(message: PeerMessage): message is TokenLoanMessage {
	return message.type === 'request-loan-wish' || message.type === 'request-loan' || message.type === 'request-return';
}

function createCustomerState(customer: Customer, unallocatedSince: number | undefined, now: number): CustomerState {
	return {
		customer, unallocatedSince, quota: createCustomerQuota(now), basis: undefined, arrivals: 0, demandPerSecond: 0, lastShortageAt: Number.NEGATIVE_INFINITY, waiters: [], cancelWake: undefined,
	};
}

function increaseAllocation(state: CustomerState, now: number): void {
	const {basis, unallocatedSince} = state;
	if (!basis) {
		return;
	}

	state.quota = setTokenAllocation(state.quota, getTokenAllocation(state.customer, basis.incarnation, basis.members), now);
	if (unallocatedSince !== undefined) {
		const {rate, burst} = state.quota.allocation;
		const accumulatedTokens = rate * (now - unallocatedSince) / millisecondsPerSecond;
		state.quota = {...state.quota, tokens: Math.min(burst, accumulatedTokens)};
		state.unallocatedSince = undefined;
	}
}

/** Whether a request may wait; more requests than the customer's rate can serve in that time are refused at once. */
function isWorthWaiting(state: CustomerState, waitMilliseconds: number): boolean {
	const maximumWaiters = Math.max(minimumWaiters, state.customer.rate * waitMilliseconds / millisecondsPerSecond);
	return waitMilliseconds > 0 && state.waiters.length < maximumWaiters;
}

/** Refuses the waiters whose deadline has passed; the deadlines aren't in the order of arrival. */
function refuseExpiredWaiters(state: CustomerState, now: number): void {
	for (let index = state.waiters.length - 1; index >= 0; index--) {
		const waiter = state.waiters[index];
		if (waiter && waiter.deadlineAt <= now) {
			state.waiters.splice(index, 1);
			waiter.cancelTimeout();
			waiter.resolve({kind: 'refused', retryAfterMilliseconds: getCustomerTokenDelay(state.quota)});
		}
	}
}
