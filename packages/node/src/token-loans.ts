/** The loans of request tokens between this node and the customers' other members. */
import {createIdentifier} from '@catkindale/common';
import {
	borrowTokens, fillCustomerQuota, getCustomerMembers, getFillRate, getUsedTokenLoans, lendTokens, tokenLoanMilliseconds, returnTokenLoan, reclaimTokenLoan,
} from '@catkindale/policy';
import type {RequestLoanMessage, RequestLoanWishMessage, RequestReturnMessage} from '@catkindale/protocol';
import type {CustomerState, RequestQuotasOptions} from './request-quotas.js';

export type TokenLoans = {
	/** Asks the best lender, unless a wish is under way already. */
	requestLoan: (entry: CustomerState) => void;
	/** Renews what the customer's demand at this node still needs. */
	renewLoan: (entry: CustomerState) => void;
	receive: (from: string, message: LoanMessage, entry: CustomerState) => void;
	/** Gives back what was borrowed for requests that have been admitted since. */
	returnUsedLoans: (entry: CustomerState) => void;
	/** Frees the memory of loans that are over. */
	removeEnded: () => void;
	/** The entries of which something is lent. */
	getLendingStates: () => CustomerState[];
};

export type LoanMessage = RequestLoanWishMessage | RequestLoanMessage | RequestReturnMessage;

type Wish = {readonly id: string; readonly attempt: number; readonly askedAt: number; readonly to: string};

const leastWish = 0.05;

type LoanAmount = {readonly rate: number; readonly burst: number};

/** From whom a loan came, until it may have ended. */
type LoanLender = {readonly to: string; readonly attempt: number; readonly endsAt: number};

type Lender = {readonly id: string; readonly region: string; readonly zone: string};

const wishTimeoutMilliseconds = 500;
/** A lender that had nothing is left alone for so long. */
const dryMilliseconds = 100;
/** Renewal starts when a loan has less than this left. */
const renewalMilliseconds = 1200;
/** A node that ran short of its own so recently renews no loan to others. */
const shortMemoryMilliseconds = 1000;
/** What a node keeps or asks for above the demand that it has seen. */
const demandMargin = 1.2;

export function createTokenLoans(options: RequestQuotasOptions, entries: ReadonlyMap<string, CustomerState>): TokenLoans {
	const {clock, send, schedule} = options;
	const wishes = new Map<string, Wish>();
	const loanLenders = new Map<string, LoanLender>();
	const dryUntil = new Map<string, number>();
	const lending = new Set<string>();

	const sendWish = (entry: CustomerState, wish: Omit<Wish, 'askedAt'>, amount: LoanAmount): void => {
		wishes.set(entry.customer.name, {...wish, askedAt: clock.pauseAdjusted()});
		send(wish.to, {
			type: 'request-loan-wish', id: wish.id, attempt: wish.attempt, customer: entry.customer.name, ...amount, waitedMilliseconds: getWaited(entry, clock.monotonic()),
		});
	};

	const isWishing = (entry: CustomerState): boolean => {
		const wish = wishes.get(entry.customer.name);
		return wish !== undefined && clock.pauseAdjusted() - wish.askedAt < wishTimeoutMilliseconds;
	};

	const findLender = (entry: CustomerState): Lender | undefined => {
		const now = clock.monotonic();
		const members = getCustomerMembers(entry.customer, entry.basis?.members ?? []);
		const usable = members.filter(member => member.id !== options.ownId && (dryUntil.get(`${member.id} ${entry.customer.name}`) ?? 0) <= now);
		return usable.toSorted((left, right) => getDistance(options, left) - getDistance(options, right))[0];
	};

	const lend = (from: string, message: RequestLoanWishMessage, entry: CustomerState): void => {
		const now = clock.monotonic();
		const isRenewal = entry.quota.lent.some(loan => loan.id === message.id);
		const isShort = now - entry.lastShortageAt < shortMemoryMilliseconds || entry.waiters.length > 0;
		const isRefused = !options.lease.isValid() || (isRenewal ? isShort : hasWaitedLonger(entry, message.waitedMilliseconds, now));
		const result = isRefused
			? {quota: entry.quota, grant: {rate: 0, burst: 0, tokens: 0}}
			: lendTokens(entry.quota, message, getSpareRate(entry, now), now);
		entry.quota = result.quota;
		if (result.grant.burst > 0) {
			lending.add(entry.customer.name);
		}

		send(from, {
			type: 'request-loan', id: message.id, attempt: message.attempt, customer: entry.customer.name, ...result.grant,
		});
	};

	const borrow = (from: string, message: RequestLoanMessage, entry: CustomerState): void => {
		const wish = wishes.get(entry.customer.name);
		if (wish?.id !== message.id || wish.attempt !== message.attempt) {
			return;
		}

		// Time that was frozen since the wish was sent shortens the loan.
		const frozen = clock.pauseAdjusted() - clock.monotonic();
		const askedAt = wish.askedAt - frozen;
		const now = clock.monotonic();
		wishes.delete(entry.customer.name);
		if (message.burst === 0) {
			dryUntil.set(`${from} ${entry.customer.name}`, now + dryMilliseconds);
			schedule(() => {
				askForWaiters(entry);
			}, dryMilliseconds);
		}

		entry.quota = borrowTokens(entry.quota, {id: message.id, grant: message, requestedAt: askedAt}, now);
		if (message.burst > 0) {
			loanLenders.set(message.id, {to: from, attempt: wish.attempt, endsAt: now + tokenLoanMilliseconds});
		}

		askForWaiters(entry);
	};

	const askForWaiters = (entry: CustomerState): void => {
		if (entry.waiters.length > entry.quota.tokens) {
			askFor(entry);
		}
	};

	const askFor = (entry: CustomerState): void => {
		if (options.isBorrowing === false || isWishing(entry)) {
			return;
		}

		const lender = findLender(entry);
		const wish = getWish(entry);
		if (lender) {
			sendWish(entry, {id: createIdentifier(), attempt: 1, to: lender.id}, wish);
		}
	};

	const renew = (entry: CustomerState): void => {
		const now = clock.monotonic();
		const ending = entry.quota.borrowed.find(loan => loan.rate > 0 && loan.until - now < renewalMilliseconds);
		const isNeeded = entry.demandPerSecond * demandMargin > entry.quota.allocation.rate || now - entry.lastShortageAt < tokenLoanMilliseconds;
		const known = ending && loanLenders.get(ending.id);
		if (!ending || !known || !isNeeded || isWishing(entry)) {
			return;
		}

		const attempt = known.attempt + 1;
		loanLenders.set(ending.id, {...known, attempt});
		sendWish(entry, {id: ending.id, attempt, to: known.to}, {rate: ending.rate, burst: ending.burst});
	};

	return {
		requestLoan: askFor,
		renewLoan: renew,
		receive(from, message, entry) {
			switch (message.type) {
				case 'request-loan-wish': {
					lend(from, message, entry);
					break;
				}

				case 'request-loan': {
					borrow(from, message, entry);
					break;
				}

				case 'request-return': {
					entry.quota = reclaimTokenLoan(entry.quota, message.id);
				}
			}
		},
		returnUsedLoans(entry) {
			if (entry.quota.borrowed.length === 0) {
				return;
			}

			for (const {id} of getUsedTokenLoans(entry.quota)) {
				const lender = loanLenders.get(id);
				if (lender) {
					entry.quota = returnTokenLoan(entry.quota, id);
					loanLenders.delete(id);
					send(lender.to, {type: 'request-return', id, customer: entry.customer.name});
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

			for (const [key, until] of dryUntil) {
				if (until <= now) {
					dryUntil.delete(key);
				}
			}
		},
		getLendingStates() {
			const lenders: CustomerState[] = [];
			for (const name of lending) {
				const entry = entries.get(name);
				if (entry) {
					entry.quota = fillCustomerQuota(entry.quota, clock.monotonic());
				}

				if (entry && entry.quota.lent.length > 0) {
					lenders.push(entry);
				} else {
					lending.delete(name);
				}
			}

			return lenders;
		},
	};
}

function getDistance(options: RequestQuotasOptions, lender: Lender): number {
	if (lender.zone === options.zone && lender.region === options.region) {
		return 0;
	}

	return lender.region === options.region ? 1 : 2;
}

/** Requests of all members are served about in the order of their arrival. */
function hasWaitedLonger(entry: CustomerState, waitedMilliseconds: number, now: number): boolean {
	return entry.waiters.length > 0 && getWaited(entry, now) >= waitedMilliseconds;
}

function getWaited({waiters}: CustomerState, now: number): number {
	return waiters[0] ? Math.max(0, now - waiters[0].waitingSince) : 0;
}

/** Tokens for what waits now; all of the rate that others can spare if the demand outgrows this node's. */
function getWish({customer, demandPerSecond: demand, quota, waiters}: CustomerState): LoanAmount {
	const fillRate = getFillRate(quota);
	return {
		rate: demand * demandMargin > fillRate ? customer.rate - fillRate : 0,
		burst: Math.max(leastWish, waiters.length + 1 - quota.tokens),
	};
}

/** What the node's own callers haven't asked for lately. */
function getSpareRate({demandPerSecond: demand, quota, lastShortageAt: shortAt}: CustomerState, now: number): number {
	const isShort = now - shortAt < shortMemoryMilliseconds;
	return isShort ? 0 : Math.max(0, quota.allocation.rate - (demand * demandMargin));
}
