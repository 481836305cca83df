/** The loans of request tokens between this node and the customers' other members. */
import {createIdentifier} from '@catkindale/common';
import {
	borrowTokens, fillCustomerQuota, getCustomerMembers, getFillRate, getUsedLoans, lendTokens, requestLoanMilliseconds, returnLoan, takeBackLoan,
} from '@catkindale/policy';
import type {RequestLoanMessage, RequestLoanWishMessage, RequestReturnMessage} from '@catkindale/protocol';
import type {CustomerEntry, RequestQuotasOptions} from './request-quotas.js';

export type RequestLoans = {
	/** Asks the best lender, unless a wish is under way already. */
	askFor: (entry: CustomerEntry) => void;
	/** Renews what the customer's demand at this node still needs. */
	renew: (entry: CustomerEntry) => void;
	receive: (from: string, message: LoanMessage, entry: CustomerEntry) => void;
	/** Gives back what was borrowed for requests that have been admitted since. */
	giveBack: (entry: CustomerEntry) => void;
	/** Frees the memory of loans that are over. */
	forgetEnded: () => void;
	/** The entries of which something is lent. */
	getLenders: () => CustomerEntry[];
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

export function createRequestLoans(options: RequestQuotasOptions, entries: ReadonlyMap<string, CustomerEntry>): RequestLoans {
	const {clock, send, schedule} = options;
	const wishes = new Map<string, Wish>();
	const loanLenders = new Map<string, LoanLender>();
	const dryUntil = new Map<string, number>();
	const lending = new Set<string>();

	const sendWish = (entry: CustomerEntry, wish: Omit<Wish, 'askedAt'>, amount: LoanAmount): void => {
		wishes.set(entry.customer.name, {...wish, askedAt: clock.own()});
		send(wish.to, {
			type: 'request-loan-wish', id: wish.id, attempt: wish.attempt, customer: entry.customer.name, ...amount, waitedMilliseconds: getWaited(entry, clock.monotonic()),
		});
	};

	const isWishing = (entry: CustomerEntry): boolean => {
		const wish = wishes.get(entry.customer.name);
		return wish !== undefined && clock.own() - wish.askedAt < wishTimeoutMilliseconds;
	};

	const findLender = (entry: CustomerEntry): Lender | undefined => {
		const now = clock.monotonic();
		const members = getCustomerMembers(entry.customer, entry.shares?.holders ?? []);
		const usable = members.filter(member => member.id !== options.ownId && (dryUntil.get(`${member.id} ${entry.customer.name}`) ?? 0) <= now);
		return usable.toSorted((left, right) => getDistance(options, left) - getDistance(options, right))[0];
	};

	const lend = (from: string, message: RequestLoanWishMessage, entry: CustomerEntry): void => {
		const now = clock.monotonic();
		const isRenewal = entry.quota.lent.some(loan => loan.id === message.id);
		const isShort = now - entry.shortAt < shortMemoryMilliseconds || entry.waiters.length > 0;
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

	const borrow = (from: string, message: RequestLoanMessage, entry: CustomerEntry): void => {
		const wish = wishes.get(entry.customer.name);
		if (wish?.id !== message.id || wish.attempt !== message.attempt) {
			return;
		}

		// Time that was frozen since the wish was sent shortens the loan.
		const frozen = clock.own() - clock.monotonic();
		const askedAt = wish.askedAt - frozen;
		const now = clock.monotonic();
		wishes.delete(entry.customer.name);
		if (message.burst === 0) {
			dryUntil.set(`${from} ${entry.customer.name}`, now + dryMilliseconds);
			schedule(() => {
				askForWaiters(entry);
			}, dryMilliseconds);
		}

		entry.quota = borrowTokens(entry.quota, {id: message.id, grant: message, askedAt}, now);
		if (message.burst > 0) {
			loanLenders.set(message.id, {to: from, attempt: wish.attempt, endsAt: now + requestLoanMilliseconds});
		}

		askForWaiters(entry);
	};

	const askForWaiters = (entry: CustomerEntry): void => {
		if (entry.waiters.length > entry.quota.tokens) {
			askFor(entry);
		}
	};

	const askFor = (entry: CustomerEntry): void => {
		if (options.isBorrowing === false || isWishing(entry)) {
			return;
		}

		const lender = findLender(entry);
		const wish = getWish(entry);
		if (lender) {
			sendWish(entry, {id: createIdentifier(), attempt: 1, to: lender.id}, wish);
		}
	};

	const renew = (entry: CustomerEntry): void => {
		const now = clock.monotonic();
		const ending = entry.quota.borrowed.find(loan => loan.rate > 0 && loan.until - now < renewalMilliseconds);
		const isNeeded = entry.demand * demandMargin > entry.quota.floor.rate || now - entry.shortAt < requestLoanMilliseconds;
		const known = ending && loanLenders.get(ending.id);
		if (!ending || !known || !isNeeded || isWishing(entry)) {
			return;
		}

		const attempt = known.attempt + 1;
		loanLenders.set(ending.id, {...known, attempt});
		sendWish(entry, {id: ending.id, attempt, to: known.to}, {rate: ending.rate, burst: ending.burst});
	};

	return {
		askFor,
		renew,
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
					entry.quota = takeBackLoan(entry.quota, message.id);
				}
			}
		},
		giveBack(entry) {
			if (entry.quota.borrowed.length === 0) {
				return;
			}

			for (const {id} of getUsedLoans(entry.quota)) {
				const lender = loanLenders.get(id);
				if (lender) {
					entry.quota = returnLoan(entry.quota, id);
					loanLenders.delete(id);
					send(lender.to, {type: 'request-return', id, customer: entry.customer.name});
				}
			}
		},
		forgetEnded() {
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
		getLenders() {
			const lenders: CustomerEntry[] = [];
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
function hasWaitedLonger(entry: CustomerEntry, waitedMilliseconds: number, now: number): boolean {
	return entry.waiters.length > 0 && getWaited(entry, now) >= waitedMilliseconds;
}

function getWaited({waiters}: CustomerEntry, now: number): number {
	return waiters[0] ? Math.max(0, now - waiters[0].since) : 0;
}

/** Tokens for what waits now; all of the rate that others can spare if the demand outgrows this node's. */
function getWish({customer, demand, quota, waiters}: CustomerEntry): LoanAmount {
	const fillRate = getFillRate(quota);
	return {
		rate: demand * demandMargin > fillRate ? customer.rate - fillRate : 0,
		burst: Math.max(leastWish, waiters.length + 1 - quota.tokens),
	};
}

/** What the node's own callers haven't asked for lately. */
function getSpareRate({demand, quota, shortAt}: CustomerEntry, now: number): number {
	const isShort = now - shortAt < shortMemoryMilliseconds;
	return isShort ? 0 : Math.max(0, quota.floor.rate - (demand * demandMargin));
}
