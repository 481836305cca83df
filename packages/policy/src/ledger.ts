/**
 * The membership ledger: one row that lists the incarnations among which the
 * fleet's quotas are divided. Every write of the row starts a new epoch. An
 * incarnation is removed only when it no longer uses any quota: it removes
 * itself after it has stopped, or it is fenced and removed later, once its
 * lease and its requests have certainly ended (see `ledger-view`).
 */
import * as z from 'zod';
import {type Member, isEntryMember, memberSchema} from './member.js';

export const ledgerMemberSchema = memberSchema.extend({
	standing: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('live')}),
		/** It must not use its allocations again; its lease may still last. */
		z.object({kind: z.literal('fenced'), epoch: z.int()}),
		/** Its lease has ended; targets may still work on its requests. */
		z.object({kind: z.literal('expired')}),
	]),
});

export const ledgerSchema = z.object({
	epoch: z.int().min(0),
	members: z.array(ledgerMemberSchema),
});

export type LedgerMember = z.infer<typeof ledgerMemberSchema>;
export type Ledger = z.infer<typeof ledgerSchema>;

/** A live member with the entry role, which has a part of the fleet's quotas. */
export type QuotaMember = {
	readonly id: string;
	readonly incarnation: string;
	readonly region: string;
	readonly zone: string;
};

export const emptyLedger: Ledger = {epoch: 0, members: []};

export function isLive(member: LedgerMember): boolean {
	return member.standing.kind === 'live';
}

/** The next epoch with the member added as live; an earlier incarnation of the same node is fenced. */
export function joinLedger(ledger: Ledger, member: Member): Ledger {
	const epoch = ledger.epoch + 1;
	const others = ledger.members
		.filter(other => other.incarnation !== member.incarnation)
		.map(other => other.id === member.id ? fence(other, epoch) : other);
	return {epoch, members: [...others, {...member, standing: {kind: 'live'}}]};
}

/** The next epoch with these incarnations fenced. */
export function fenceMembers(ledger: Ledger, incarnations: ReadonlySet<string>): Ledger {
	const epoch = ledger.epoch + 1;
	const members = ledger.members.map(member => incarnations.has(member.incarnation) ? fence(member, epoch) : member);
	return {epoch, members};
}

/** The next epoch with these fenced incarnations marked as expired. */
export function expireMembers(ledger: Ledger, incarnations: ReadonlySet<string>): Ledger {
	const members = ledger.members.map((member): LedgerMember => incarnations.has(member.incarnation) ? {...member, standing: {kind: 'expired'}} : member);
	return {epoch: ledger.epoch + 1, members};
}

/** The next epoch without these incarnations, which must no longer use any quota. */
export function removeMembers(ledger: Ledger, incarnations: ReadonlySet<string>): Ledger {
	return {
		epoch: ledger.epoch + 1,
		members: ledger.members.filter(member => !incarnations.has(member.incarnation)),
	};
}

/** The members among which the quotas are divided, sorted by identifier. */
export function getQuotaMembers(ledger: Ledger): QuotaMember[] {
	const entryMembers = ledger.members.filter(member => isLive(member) && isEntryMember(member));
	const quotaMembers = entryMembers.map(({id, incarnation, region, zone}) => ({
		id, incarnation, region, zone,
	}));
	return quotaMembers.toSorted((left, right) => left.id < right.id ? -1 : 1);
}

function fence(member: LedgerMember, epoch: number): LedgerMember {
	return isLive(member) ? {...member, standing: {kind: 'fenced', epoch}} : member;
}
