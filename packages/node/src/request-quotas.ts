/** The request tokens that this node holds for each customer. */
import type {Clock} from '@catkindale/common';
import {
	type Customer, type Member, type TokenBucket, createTokenBucket, fillTokenBucket, getTokenDelay, takeToken,
} from '@catkindale/policy';

export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

export type RequestQuotas = {
	setCustomers: (customers: readonly Customer[]) => void;
	setMembers: (members: readonly Member[]) => void;
	admit: (customer: string) => Admission;
};

export function createRequestQuotas(ownId: string, clock: Clock): RequestQuotas {
	let customers: readonly Customer[] = [];
	let members: readonly Member[] = [];
	const buckets = new Map<string, TokenBucket>();

	const rebuild = (): void => {
		const isMember = members.some(member => member.id === ownId);
		const part = isMember ? 1 / members.length : 0;
		for (const {name, rate, burst} of customers) {
			const tokens = buckets.get(name)?.tokens ?? 0;
			buckets.set(name, createTokenBucket(rate * part, burst * part, tokens, clock.monotonic()));
		}
	};

	return {
		setCustomers(next) {
			customers = next;
			rebuild();
		},
		setMembers(next) {
			members = next;
			rebuild();
		},
		admit(customer) {
			const bucket = buckets.get(customer);
			if (!bucket) {
				return {kind: 'refused', retryAfterMilliseconds: 0};
			}

			const filled = fillTokenBucket(bucket, clock.monotonic());
			const taken = takeToken(filled);
			buckets.set(customer, taken ?? filled);
			return taken ? {kind: 'admitted'} : {kind: 'refused', retryAfterMilliseconds: getTokenDelay(filled)};
		},
	};
}
