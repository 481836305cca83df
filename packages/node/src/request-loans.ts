/** The loans of request tokens between this node and the customers' other members. */
import {createIdentifier} from '@catkindale/common';
import {
	type LoanReserve, borrowTokens, fillCustomerQuota, getCapacity, getCustomerMembers, getFillRate, lendTokens, requestLoanMilliseconds,
} from '@catkindale/policy';
import type {PeerMessage, RequestLoanMessage, RequestLoanWishMessage} from '@catkindale/protocol';
import type {CustomerEntry, RequestQuotasOptions} from './request-quotas.js';

export type RequestLoans = {
	/** Asks the best lender, unless a wish is under way already. */
	askFor: (entry: CustomerEntry) => void;
	/** Renews what the customer's demand at this node still needs. */
	renew: (entry: CustomerEntry) => void;
	receive: (from: string, message: PeerMessage, entry: CustomerEntry) => void;
	/** Frees the memory of loans that are over. */
	forgetEnded: () => void;
	/** The entries of which something is lent. */
	getLenders: () => CustomerEntry[];
};

type Wish = {readonly id: string; readonly attempt: number; readonly askedAt: number; readonly to: string};

type LoanAmount = {readonly rate: number; readonly burst: number};

/** From whom a loan came, until it may have ended. */
type LoanLender = {readonly to: string; readonly attempt: number; readonly endsAt: number};

type Lender = {readonly id: string; readonly region: string; readonly zone: string};

const wishTimeoutMilliseconds = 500;
/** A lender that had nothing is left alone for so long. */
const dryMilliseconds = 150;
/** Renewal starts when a loan has less than this left. */
const renewalMilliseconds = 1200;
/** A node that ran short of its own so recently renews no loan to others. */
const shortMemoryMilliseconds = 1000;
/** What a node keeps or asks for above the demand that it has seen. */
const demandMargin = 1.3;

export function createRequestLoans(options: RequestQuotasOptions, entries: ReadonlyMap<string, CustomerEntry>): RequestLoans {
	const {clock, send} = options;
	const wishes = new Map<string, Wish>();
	const loanLenders = new Map<string, LoanLender>();
	const dryUntil = new Map<string, number>();
	const lending = new Set<string>();

	const sendWish = (entry: CustomerEntry, wish: Omit<Wish, 'askedAt'>, amount: LoanAmount): void => {
		wishes.set(entry.customer.name, {...wish, askedAt: clock.own()});
		send(wish.to, {
			type: 'request-loan-wish', id: wish.id, attempt: wish.attempt, customer: entry.customer.name, ...amount,
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
		const isRefused = !options.lease.isValid() || (isRenewal && isShort);
		const result = isRefused
			? {quota: entry.quota, grant: {rate: 0, burst: 0, tokens: 0}}
			: lendTokens(entry.quota, message, getReserve(entry, now), now);
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
		}

		entry.quota = borrowTokens(entry.quota, {id: message.id, grant: message, askedAt}, now);
		if (message.burst > 0) {
			loanLenders.set(message.id, {to: from, attempt: wish.attempt, endsAt: now + requestLoanMilliseconds});
		}

		const isStillShort = entry.waiters.length > Math.floor(entry.quota.tokens);
		if (isStillShort) {
			askFor(entry);
		}
	};

	const askFor = (entry: CustomerEntry): void => {
		if (options.isBorrowing === false || isWishing(entry)) {
			return;
		}

		const lender = findLender(entry);
		const wish = getWish(entry);
		if (lender && wish.burst > 0) {
			sendWish(entry, {id: createIdentifier(), attempt: 1, to: lender.id}, wish);
		}
	};

	const renew = (entry: CustomerEntry): void => {
		const now = clock.monotonic();
		const ending = entry.quota.borrowed.find(loan => loan.until - now < renewalMilliseconds);
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
			if (message.type === 'request-loan-wish') {
				lend(from, message, entry);
			} else if (message.type === 'request-loan') {
				borrow(from, message, entry);
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

function getWish(entry: CustomerEntry): LoanAmount {
	const {customer, demand, quota, waiters} = entry;
	return {
		rate: Math.min(customer.rate, Math.max(0, ((demand + waiters.length + 1) * demandMargin) - getFillRate(quota))),
		burst: customer.burst - getCapacity(quota),
	};
}

/** A node keeps what its own callers have asked for lately. */
function getReserve(entry: CustomerEntry, now: number): LoanReserve {
	const {demand, quota} = entry;
	const {rate, burst} = quota.floor;
	const isIdle = demand < 0.01 && now - entry.shortAt >= shortMemoryMilliseconds;
	if (isIdle || rate === 0) {
		return {rate: 0, burst: 0};
	}

	const share = Math.min(1, demand * demandMargin / rate);
	return {rate: rate * share, burst: Math.ceil(burst * share)};
}
