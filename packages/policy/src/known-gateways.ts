/**
 * The other gateways that a gateway knows, from the table and from peers. One
 * that is out of touch still counts: it may be cut off and serve on. One that
 * is out of touch for longer than any cut lasts is gone, and must be forgotten,
 * or the gateways that are left would take themselves for cut off once more of
 * them have been replaced than serve.
 */
import type {Member} from './member.js';

/** Regions lose each other for an hour at times; several times that is no cut any more. */
export const gatewayExpiryMilliseconds = 6 * 3_600_000;

export type KnownGateways = {
	/** Takes in what was found or told; whether that is news. */
	add: (found: readonly Member[], now: number) => boolean;
	/** Notes that the gateway was heard from. */
	recordContact: (id: string, now: number) => void;
	/** Forgets those that are gone, and gives them. */
	removeExpired: (now: number) => Member[];
	/** Whether the gateway was forgotten and hasn't started or been heard from since. */
	wasRemoved: (member: Member) => boolean;
	getAll: () => readonly Member[];
};

export function createKnownGateways(ownId: string): KnownGateways {
	const members = new Map<string, Member>();
	const touchedAt = new Map<string, number>();
	/** Incarnations; peers may tell of a gateway for a while after it was forgotten here. */
	const forgotten = new Map<string, string>();

	const isForgotten = ({id, incarnation}: Member): boolean => forgotten.get(id) === incarnation;

	return {
		add(found, now) {
			let isNews = false;
			for (const member of found) {
				const known = members.get(member.id);
				const isKnown = known?.incarnation === member.incarnation && known.peerAddress === member.peerAddress;
				if (member.id !== ownId && !isKnown && !isForgotten(member)) {
					members.set(member.id, member);
					touchedAt.set(member.id, now);
					forgotten.delete(member.id);
					isNews = true;
				}
			}

			return isNews;
		},
		recordContact(id, now) {
			touchedAt.set(id, now);
			forgotten.delete(id);
		},
		removeExpired(now) {
			const gone = [...members.values()].filter(({id}) => now - (touchedAt.get(id) ?? now) > gatewayExpiryMilliseconds);
			for (const {id, incarnation} of gone) {
				members.delete(id);
				touchedAt.delete(id);
				forgotten.set(id, incarnation);
			}

			return gone;
		},
		wasRemoved: isForgotten,
		getAll: () => [...members.values()],
	};
}
