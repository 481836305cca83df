/**
 * The other gateways that this gateway knows, and the exchange of this list with
 * peers whose list differs.
 */
import {hashText} from '@catkindale/common';
import {type Member, createKnownGateways, createMemberExchange} from '@catkindale/policy';
import {type NodeContext, getOwnMember} from './node-context.js';

export type FleetMembers = {
	/** The other gateways. */
	readonly getAll: () => readonly Member[];
	/** All gateways, this one included. */
	readonly getFleet: () => readonly Member[];
	readonly getDigest: () => string;
	/** Returns those that were added or have started anew. */
	readonly add: (found: readonly Member[]) => readonly Member[];
	readonly recordContact: (id: string) => void;
	/** Whether the gateway was removed and has neither restarted nor been in contact since. */
	readonly wasRemoved: (member: Member) => boolean;
	/** Removes the gateways without contact for too long. */
	readonly removeExpired: () => void;
	/** Tells a peer that has just connected of this gateway. */
	readonly introduceTo: (peer: string) => void;
	/** Sends the whole list to the peer. */
	readonly sendList: (peer: string) => void;
	/** Returns those that were added or have started anew. */
	readonly receiveList: (peer: string, members: readonly Member[]) => readonly Member[];
	/** Records a peer's digest of its list; undefined if its build reports none. */
	readonly receiveDigest: (peer: string, digest: string | undefined) => void;
	readonly removePeer: (peer: string) => void;
	/** Requests the list of a peer whose list differs, if there is one. */
	readonly requestList: () => void;
};

const digestDigits = 16;

export type FleetMembersEvents = {
	readonly onAdded: () => void;
	/** Called with each gateway that was removed. */
	readonly onExpired: (member: Member) => void;
};

export function createFleetMembers(context: NodeContext, {onAdded, onExpired}: FleetMembersEvents): FleetMembers {
	const {bus, clock, settings} = context;
	const known = createKnownGateways(settings.node.name);
	const exchange = createMemberExchange(count => Math.floor(Math.random() * count));
	let digest: string | undefined;
	/** Peers whose build reports no digest. They have received the list on this connection. */
	const peersWithoutDigest = new Set<string>();

	const getFleet = (): Member[] => [getOwnMember(context), ...known.getAll()];

	const getDigest = (): string => {
		digest ??= hashText(getFleet().map(({id, incarnation}) => `${id} ${incarnation}`).toSorted().join('\n')).slice(0, digestDigits);
		return digest;
	};

	const add = (found: readonly Member[]): readonly Member[] => {
		const added = known.add(found, clock.monotonic());
		if (added.length > 0) {
			digest = undefined;
			// A gateway that starts later is known to the others only once it has connected to them, so its links are needed at once.
			onAdded();
		}

		return added;
	};

	const sendList = (peer: string): void => {
		bus.publish({type: 'peer-send', to: peer, message: {type: 'known-members', members: getFleet()}});
	};

	return {
		getAll: known.getAll,
		getFleet,
		getDigest,
		add,
		recordContact(id) {
			known.recordContact(id, clock.monotonic());
		},
		wasRemoved: known.wasRemoved,
		removeExpired() {
			const expired = known.removeExpired(clock.monotonic());
			for (const member of expired) {
				onExpired(member);
			}

			if (expired.length > 0) {
				digest = undefined;
			}
		},
		introduceTo(peer) {
			known.recordContact(peer, clock.monotonic());
			bus.publish({type: 'peer-send', to: peer, message: {type: 'known-members', members: [getOwnMember(context)]}});
		},
		sendList,
		receiveList(peer, members) {
			const added = add(members);
			if (members.length > 1) {
				exchange.recordList(peer, getDigest());
			}

			return added;
		},
		receiveDigest(peer, peerDigest) {
			if (peerDigest !== undefined) {
				exchange.recordDigest(peer, peerDigest);
			} else if (!peersWithoutDigest.has(peer)) {
				peersWithoutDigest.add(peer);
				sendList(peer);
			}
		},
		removePeer(peer) {
			exchange.removePeer(peer);
			peersWithoutDigest.delete(peer);
		},
		requestList() {
			const peer = exchange.choosePeer(getDigest(), clock.monotonic());
			if (peer !== undefined) {
				bus.publish({type: 'peer-send', to: peer, message: {type: 'members-request'}});
			}
		},
	};
}
