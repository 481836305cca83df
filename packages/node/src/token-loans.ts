/** Token loans between this node and the other members of each customer. */
import {createIdentifier} from '@catkindale/common';
import {
	borrowTokens, fillCustomerQuota, getCustomerMembers, getFillRate, getUsedTokenLoans, lendTokens, tokenLoanMilliseconds, returnTokenLoan, reclaimTokenLoan,
} from '@catkindale/policy';
import type {TokenGrantMessage, TokenLoanRequestMessage, TokenReturnMessage} from '@catkindale/protocol';
import type {CustomerState, RequestQuotasOptions} from './request-quotas.js';

export type TokenLoans = {
	/** Requests a loan from the nearest available lender unless a loan request is pending. */
	requestLoan: (state: CustomerState) => void;
	/** Renews an expiring loan if the customer's demand at this node still needs it. */
	renewLoan: (state: CustomerState) => void;
	receive: (from: string, message: TokenLoanMessage, state: CustomerState) => void;
	/** Returns the loans without a rate whose tokens are used up. */
	returnUsedLoans: (state: CustomerState) => void;
	/** Removes the records of ended loans and of refusals that no longer count. */
	removeEnded: () => void;
	/** Returns the states of the customers whose tokens are lent. */
	getLendingStates: () => CustomerState[];
};

export type TokenLoanMessage = TokenLoanRequestMessage | TokenGrantMessage | TokenReturnMessage;

type PendingLoanRequest = {readonly id: string; readonly attempt: number; readonly requestedAt: number; readonly lenderId: string};

/** The fewest tokens that a loan request asks for. */
const minimumRequestedBurst = 0.05;

type LoanAmount = {readonly rate: number; readonly burst: number};

/** The lender of a loan, kept until the loan may have ended. */
type LoanLender = {readonly lenderId: string; readonly attempt: number; readonly endsAt: number};

type Lender = {readonly id: string; readonly region: string; readonly zone: string};

const loanRequestTimeoutMilliseconds = 500;
/** Wait before another loan request to a lender that had no tokens. */
const lenderRetryMilliseconds = 100;
/** A loan is renewed when less than this time remains. */
const renewalLeadMilliseconds = 1200;
/** A lender that had a shortage within this time renews no loans. */
const recentShortageMilliseconds = 1000;
/** Factor on the observed demand for the rate that a node keeps or requests. */
const demandMargin = 1.2;

export function createTokenLoans(options: RequestQuotasOptions, states: ReadonlyMap<string, CustomerState>): TokenLoans {
	const {clock, send, schedule} = options;
	const pendingRequests = new Map<string, PendingLoanRequest>();
	const loanLenders = new Map<string, LoanLender>();
	/** Times until which no loan is requested, by lender and customer. */
	const unavailableUntil = new Map<string, number>();
	const lendingCustomers = new Set<string>();

	const sendLoanRequest = (state: CustomerState, request: Omit<PendingLoanRequest, 'requestedAt'>, amount: LoanAmount): void => {
		pendingRequests.set(state.customer.name, {...request, requestedAt: clock.pauseAdjusted()});
		send(request.lenderId, {
			type: 'request-loan-wish', id: request.id, attempt: request.attempt, customer: state.customer.name, ...amount, waitedMilliseconds: getWaitedMilliseconds(state, clock.monotonic()),
		});
	};

	const hasPendingRequest = (state: CustomerState): boolean => {
		const request = pendingRequests.get(state.customer.name);
		return request !== undefined && clock.pauseAdjusted() - request.requestedAt < loanRequestTimeoutMilliseconds;
	};

	const findLender = (state: CustomerState): Lender | undefined => {
		const now = clock.monotonic();
		const members = getCustomerMembers(state.customer, state.basis?.members ?? []);
		const usableLenders = members.filter(member => member.id !== options.ownId && (unavailableUntil.get(`${member.id} ${state.customer.name}`) ?? 0) <= now);
		return usableLenders.toSorted((left, right) => getDistance(options, left) - getDistance(options, right))[0];
	};

	const lend = (from: string, message: TokenLoanRequestMessage, state: CustomerState): void => {
		const now = clock.monotonic();
		const isRenewal = state.quota.lent.some(loan => loan.id === message.id);
		const isRecentlyShort = now - state.lastShortageAt < recentShortageMilliseconds || state.waiters.length > 0;
		const isRefused = !options.lease.isValid() || (isRenewal ? isRecentlyShort : hasWaitedLonger(state, message.waitedMilliseconds, now));
		const result = isRefused
			? {quota: state.quota, grant: {rate: 0, burst: 0, tokens: 0}}
			: lendTokens(state.quota, message, getSpareRate(state, now), now);
		state.quota = result.quota;
		if (result.grant.burst > 0) {
			lendingCustomers.add(state.customer.name);
		}

		send(from, {
			type: 'request-loan', id: message.id, attempt: message.attempt, customer: state.customer.name, ...result.grant,
		});
	};

	const borrow = (from: string, message: TokenGrantMessage, state: CustomerState): void => {
		const request = pendingRequests.get(state.customer.name);
		if (request?.id !== message.id || request.attempt !== message.attempt) {
			return;
		}

		// Converts the time to the monotonic clock. A pause since the request makes it earlier and so shortens the loan.
		const pausedMilliseconds = clock.pauseAdjusted() - clock.monotonic();
		const requestedAt = request.requestedAt - pausedMilliseconds;
		const now = clock.monotonic();
		pendingRequests.delete(state.customer.name);
		if (message.burst === 0) {
			unavailableUntil.set(`${from} ${state.customer.name}`, now + lenderRetryMilliseconds);
			schedule(() => {
				requestLoanForWaiters(state);
			}, lenderRetryMilliseconds);
		}

		state.quota = borrowTokens(state.quota, {id: message.id, grant: message, requestedAt}, now);
		if (message.burst > 0) {
			loanLenders.set(message.id, {lenderId: from, attempt: request.attempt, endsAt: now + tokenLoanMilliseconds});
		}

		requestLoanForWaiters(state);
	};

	const requestLoanForWaiters = (state: CustomerState): void => {
		if (state.waiters.length > state.quota.tokens) {
			requestLoan(state);
		}
	};

	const requestLoan = (state: CustomerState): void => {
		if (options.isBorrowing === false || hasPendingRequest(state)) {
			return;
		}

		const lender = findLender(state);
		const amount = getNeededAmount(state);
		if (lender) {
			sendLoanRequest(state, {id: createIdentifier(), attempt: 1, lenderId: lender.id}, amount);
		}
	};

	const renewLoan = (state: CustomerState): void => {
		const now = clock.monotonic();
		const expiringLoan = state.quota.borrowed.find(loan => loan.rate > 0 && loan.until - now < renewalLeadMilliseconds);
		const isNeeded = state.demandPerSecond * demandMargin > state.quota.allocation.rate || now - state.lastShortageAt < tokenLoanMilliseconds;
		const loanLender = expiringLoan && loanLenders.get(expiringLoan.id);
		if (!expiringLoan || !loanLender || !isNeeded || hasPendingRequest(state)) {
			return;
		}

		const attempt = loanLender.attempt + 1;
		loanLenders.set(expiringLoan.id, {...loanLender, attempt});
		sendLoanRequest(state, {id: expiringLoan.id, attempt, lenderId: loanLender.lenderId}, {rate: expiringLoan.rate, burst: expiringLoan.burst});
	};

	return {
		requestLoan,
		renewLoan,
		receive(from, message, state) {
			switch (message.type) {
				case 'request-loan-wish': {
					lend(from, message, state);
					break;
				}

				case 'request-loan': {
					borrow(from, message, state);
					break;
				}

				case 'request-return': {
					state.quota = reclaimTokenLoan(state.quota, message.id);
				}
			}
		},
		returnUsedLoans(state) {
			if (state.quota.borrowed.length === 0) {
				return;
			}

			for (const {id} of getUsedTokenLoans(state.quota)) {
				const lender = loanLenders.get(id);
				if (lender) {
					state.quota = returnTokenLoan(state.quota, id);
					loanLenders.delete(id);
					send(lender.lenderId, {type: 'request-return', id, customer: state.customer.name});
				}
			}
		},
		removeEnded() {
			const now = clock.monotonic();
			for (const [id, {endsAt}] of loanLenders) {
				if (endsAt <= now) {
					loanLenders.delete(id);
				}
			}

			for (const [key, until] of unavailableUntil) {
				if (until <= now) {
					unavailableUntil.delete(key);
				}
			}
		},
		getLendingStates() {
			const lendingStates: CustomerState[] = [];
			for (const name of lendingCustomers) {
				const state = states.get(name);
				if (state) {
					state.quota = fillCustomerQuota(state.quota, clock.monotonic());
				}

				if (state && state.quota.lent.length > 0) {
					lendingStates.push(state);
				} else {
					lendingCustomers.delete(name);
				}
			}

			return lendingStates;
		},
	};
}

function getDistance(options: RequestQuotasOptions, lender: Lender): number {
	if (lender.zone === options.zone && lender.region === options.region) {
		return 0;
	}

	return lender.region === options.region ? 1 : 2;
}

/** Whether a local request has waited at least as long, so that members serve requests roughly in order of arrival. */
function hasWaitedLonger(state: CustomerState, waitedMilliseconds: number, now: number): boolean {
	return state.waiters.length > 0 && getWaitedMilliseconds(state, now) >= waitedMilliseconds;
}

function getWaitedMilliseconds({waiters}: CustomerState, now: number): number {
	return waiters[0] ? Math.max(0, now - waiters[0].waitingSince) : 0;
}

/** Returns the tokens for the waiting requests, and all of the other members' rate if the demand exceeds this node's rate. */
function getNeededAmount({customer, demandPerSecond, quota, waiters}: CustomerState): LoanAmount {
	const fillRate = getFillRate(quota);
	return {
		rate: demandPerSecond * demandMargin > fillRate ? customer.rate - fillRate : 0,
		burst: Math.max(minimumRequestedBurst, waiters.length + 1 - quota.tokens),
	};
}

/** Returns the rate that this node's callers haven't needed recently. */
function getSpareRate({demandPerSecond, quota, lastShortageAt}: CustomerState, now: number): number {
	const isRecentlyShort = now - lastShortageAt < recentShortageMilliseconds;
	return isRecentlyShort ? 0 : Math.max(0, quota.allocation.rate - (demandPerSecond * demandMargin));
}
