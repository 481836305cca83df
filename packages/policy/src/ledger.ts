/**
 * The membership ledger: one row that says which incarnations may hold parts
 * of the fleet's quotas. Every write of the row is a new epoch. An incarnation
 * leaves the row only when it holds nothing any more: it takes itself out
 * after it has stopped, or it is fenced and taken out later, once its lease
 * has surely ended (see `ledger-view`).
 */
import * as z from 'zod';
import {type Member, isEntryMember, memberSchema} from './member.js';

export const ledgerMemberSchema = memberSchema.extend({
	standing: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('live')}),
		/** It must not use its share again; its lease may still last. */
		z.object({kind: z.literal('fenced'), epoch: z.int()}),
		/** Its lease has ended; its requests may still run at targets. */
		z.object({kind: z.literal('expired')}),
	]),
});

export const ledgerSchema = z.object({
	epoch: z.int().min(0),
	members: z.array(ledgerMemberSchema),
});

export type LedgerMember = z.infer<typeof ledgerMemberSchema>;
export type Ledger = z.infer<typeof ledgerSchema>;

/** A live member with the role of an entry, which holds a share of the quotas. */
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

/** The next epoch with the member in it; an earlier incarnation of the same node is fenced. */
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

/** The next epoch with these fenced incarnations noted as expired. */
export function expireMembers(ledger: Ledger, incarnations: ReadonlySet<string>): Ledger {
	const members = ledger.members.map((member): LedgerMember => incarnations.has(member.incarnation) ? {...member, standing: {kind: 'expired'}} : member);
	return {epoch: ledger.epoch + 1, members};
}

/** The next epoch without these incarnations, which must hold nothing any more. */
export function removeMembers(ledger: Ledger, incarnations: ReadonlySet<string>): Ledger {
	return {
		epoch: ledger.epoch + 1,
		members: ledger.members.filter(member => !incarnations.has(member.incarnation)),
	};
}

/** The holders of an epoch, in the order of their identifiers. */
export function getQuotaMembers(ledger: Ledger): QuotaMember[] {
	const entries = ledger.members.filter(member => isLive(member) && isEntryMember(member));
	const holders = entries.map(({id, incarnation, region, zone}) => ({
		id, incarnation, region, zone,
	}));
	return holders.toSorted((left, right) => left.id < right.id ? -1 : 1);
}

function fence(member: LedgerMember, epoch: number): LedgerMember {
	return isLive(member) ? {...member, standing: {kind: 'fenced', epoch}} : member;
}
