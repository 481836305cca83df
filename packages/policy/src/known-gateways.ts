/**
 * The other gateways that this gateway has found in the table or through peers.
 * A gateway without contact still counts as a member, since it may be behind a
 * network partition and still serve. After more time than any partition lasts
 * it is removed. Otherwise, once more gateways have been replaced than serve,
 * the remaining ones would conclude that they are partitioned themselves.
 */
import type {Member} from './member.js';

/** Regions are sometimes partitioned for an hour; this is several times as long. */
export const gatewayExpiryMilliseconds = 6 * 3_600_000;

export type KnownGateways = {
	/** Adds gateways; returns those that are new or have started anew. */
	add: (found: readonly Member[], now: number) => readonly Member[];
	/** Records that this gateway received something from the other one. */
	recordContact: (id: string, now: number) => void;
	/** Removes and returns the gateways without contact for longer than the expiry time. */
	removeExpired: (now: number) => Member[];
	/** Whether the gateway was removed and has neither restarted nor been in contact since. */
	wasRemoved: (member: Member) => boolean;
	getAll: () => readonly Member[];
};

export function createKnownGateways(ownId: string): KnownGateways {
	const members = new Map<string, Member>();
	const lastContactAt = new Map<string, number>();
	/** Incarnations by gateway; peers may still report a gateway for some time after it was removed here. */
	const removedIncarnations = new Map<string, string>();

	const wasRemoved = ({id, incarnation}: Member): boolean => removedIncarnations.get(id) === incarnation;

	return {
		add(found, now) {
			const added: Member[] = [];
			for (const member of found) {
				const known = members.get(member.id);
				const isKnown = known?.incarnation === member.incarnation && known.peerAddress === member.peerAddress;
				if (member.id !== ownId && !isKnown && !wasRemoved(member)) {
					members.set(member.id, member);
					lastContactAt.set(member.id, now);
					removedIncarnations.delete(member.id);
					added.push(member);
				}
			}

			return added;
		},
		recordContact(id, now) {
			lastContactAt.set(id, now);
			removedIncarnations.delete(id);
		},
		removeExpired(now) {
			const expired = [...members.values()].filter(({id}) => now - (lastContactAt.get(id) ?? now) > gatewayExpiryMilliseconds);
			for (const {id, incarnation} of expired) {
				members.delete(id);
				lastContactAt.delete(id);
				removedIncarnations.set(id, incarnation);
			}

			return expired;
		},
		wasRemoved,
		getAll: () => [...members.values()],
	};
}
