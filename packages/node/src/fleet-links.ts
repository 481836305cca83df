/**
 * Decides with which gateways this one keeps links: with all in a small fleet;
 * otherwise with all relays if it is one, or with its own two relays.
 */
import type {Clock} from '@catkindale/common';
import {
	type Member, chooseOwnRelays, chooseRelays, maximumMeshGateways,
} from '@catkindale/policy';
import type {FleetMembers} from './fleet-members.js';
import type {FleetView} from './fleet-view.js';

export type FleetLinks
	= | {readonly kind: 'mesh'}
		| {
			readonly kind: 'relay';
			readonly relayIds: readonly string[];
			/** The gateways that are attached to this one. */
			readonly attachedIds: readonly string[];
			/** Those of the attached gateways that prefer this relay to their other one. */
			readonly preferringIds: readonly string[];
		}
		/** `ownRelayIds` has the relays in contact, best first. */
		| {readonly kind: 'attached'; readonly relayIds: readonly string[]; readonly ownRelayIds: readonly string[]};

export type LinkChanges = {
	readonly links: FleetLinks;
	/** Gateways to dial unless there is a link. */
	readonly dial: readonly Member[];
	/** Peers whose link isn't needed. */
	readonly close: readonly string[];
};

export type FleetLinksOptions = {
	readonly clock: Clock;
	readonly own: Pick<Member, 'id' | 'region'>;
	readonly members: FleetMembers;
	readonly view: FleetView;
	/** Returns whether this gateway is about to stop. */
	readonly isDraining: () => boolean;
};

/** A gateway that was just learned of counts as present for this time, in which it can be contacted. */
const newMemberMilliseconds = 3000;
/** A link that isn't needed is kept for this time, in which the views of the two gateways become the same. */
const spareLinkMilliseconds = 3000;
/** The gateway with the lower identifier dials a relay at once, the other one if the link is missing for longer. */
const otherSideMilliseconds = 1500;
/** A gateway that can't be dialled within this time is taken for lost. */
const dialMilliseconds = 700;
/** Another relay is used for this time after a link was lost or couldn't be opened. */
const failureMilliseconds = 5000;
/** For how long a gateway without any contact remembers the others. */
const memoryMilliseconds = 15_000;
/** Gateways without contact that are dialled at a time, so that the parts of a fleet find each other after a partition. */
const maximumProbes = 4;
/** Updates follow each other within milliseconds while a fleet starts; with other probes each time, it would become a full mesh. */
const probeMilliseconds = 1000;

export type FleetLinksState = {
	readonly update: () => LinkChanges;
	readonly forget: (id: string) => void;
};

export function createFleetLinks({clock, own, members, view, isDraining}: FleetLinksOptions): FleetLinksState {
	const learnedAt = new Map<string, {readonly incarnation: string; readonly at: number}>();
	const missingSince = new Map<string, number>();
	const spareSince = new Map<string, number>();
	const seenAt = new Map<string, number>();
	const failedAt = new Map<string, number>();

	let wantedIds: ReadonlySet<string> = new Set();
	let probes: readonly Member[] = [];
	let probesChosenAt = Number.NEGATIVE_INFINITY;

	const isConnected = (id: string): boolean => view.peers.get(id)?.isConnected === true;

	/** Returns since when the condition has held for the gateway. */
	const getSince = (times: Map<string, number>, id: string, holds: boolean): number => {
		if (!holds) {
			times.delete(id);
			return Number.POSITIVE_INFINITY;
		}

		const since = times.get(id) ?? clock.monotonic();
		times.set(id, since);
		return since;
	};

	const isMissingFor = (id: string, milliseconds: number): boolean => clock.monotonic() - getSince(missingSince, id, !isConnected(id)) >= milliseconds;

	/** Whether a link to the gateway was lost or couldn't be opened a short time ago. */
	const hasFailed = (id: string): boolean => {
		const now = clock.monotonic();
		if (isConnected(id)) {
			failedAt.delete(id);
			return false;
		}

		const {lostAt} = view.peers.get(id) ?? {};
		if (isMissingFor(id, dialMilliseconds) && wantedIds.has(id)) {
			failedAt.set(id, failedAt.get(id) ?? now);
		}

		const since = Math.max(lostAt ?? Number.NEGATIVE_INFINITY, failedAt.get(id) ?? Number.NEGATIVE_INFINITY);
		if (now - since > failureMilliseconds) {
			failedAt.delete(id);
			missingSince.delete(id);
			return false;
		}

		return true;
	};

	const findMembers = (ids: readonly string[]): Member[] => members.getAll().filter(({id}) => ids.includes(id));

	const getProbes = (isInContact: (id: string) => boolean): readonly Member[] => {
		const now = clock.monotonic();
		if (now - probesChosenAt >= probeMilliseconds) {
			const lost = members.getAll().filter(({id}) => !isInContact(id) && !isConnected(id));
			const start = Math.floor(Math.random() * lost.length);
			probes = [...lost.slice(start), ...lost.slice(0, start)].slice(0, maximumProbes);
			probesChosenAt = now;
		}

		return probes;
	};

	const updateMesh = (): LinkChanges => ({
		links: {kind: 'mesh'}, dial: members.getAll(), close: [],
	});

	const updateRelay = (relayIds: readonly string[], isInContact: (id: string) => boolean): LinkChanges => {
		const relays = findMembers(relayIds);
		const attachedIds = [...view.peers.keys()].filter(id => isConnected(id) && !relayIds.includes(id));
		const preferringIds = findMembers(attachedIds).filter(member => chooseOwnRelays(member, [own, ...relays])[0] === own.id).map(({id}) => id);
		const dial = relays.filter(({id}) => own.id < id || isMissingFor(id, otherSideMilliseconds));
		return {
			links: {
				kind: 'relay', relayIds, attachedIds, preferringIds,
			},
			dial: [...dial, ...getProbes(isInContact)],
			close: [],
		};
	};

	const updateAttached = (relayIds: readonly string[], isInContact: (id: string) => boolean, isMinority: boolean): LinkChanges => {
		const relays = findMembers(relayIds);
		const reachable = relays.filter(({id}) => !hasFailed(id));
		const wanted = chooseOwnRelays(own, reachable.length > 0 ? reachable : relays);
		wantedIds = new Set(wanted);
		const ownRelayIds = wanted.filter(id => isConnected(id));
		const spare = [...view.peers.keys()].filter(id => getSince(spareSince, id, isConnected(id) && !wanted.includes(id)) <= clock.monotonic() - spareLinkMilliseconds);
		const hasLinks = ownRelayIds.length === wanted.length;
		return {
			links: {kind: 'attached', relayIds, ownRelayIds},
			dial: [...findMembers(wanted), ...(isMinority ? getProbes(isInContact) : [])],
			close: hasLinks ? spare : [],
		};
	};

	return {
		forget(id) {
			for (const times of [learnedAt, missingSince, spareSince, seenAt, failedAt]) {
				times.delete(id);
			}
		},
		update() {
			const known = members.getAll();
			const now = clock.monotonic();
			for (const {id, incarnation} of known) {
				if (learnedAt.get(id)?.incarnation !== incarnation) {
					learnedAt.set(id, {incarnation, at: now});
				}
			}

			if (known.length + 1 <= maximumMeshGateways) {
				return updateMesh();
			}

			const contacts = view.getContacts();
			for (const [id, {phase}] of contacts) {
				seenAt.set(id, phase === 'draining' ? Number.NEGATIVE_INFINITY : now);
			}

			// Without its relays, an attached gateway relies on what it heard last.
			const isAlone = contacts.size === 0;
			const isPresent = ({id}: Member): boolean => {
				const contact = contacts.get(id);
				if (contact) {
					return contact.phase !== 'draining';
				}

				const isRemembered = isAlone && now - (seenAt.get(id) ?? Number.NEGATIVE_INFINITY) <= memoryMilliseconds;
				return (isRemembered || now - learnedAt.get(id)!.at <= newMemberMilliseconds) && !hasFailed(id);
			};

			const candidates = [...known.filter(member => isPresent(member)), ...(isDraining() ? [] : [own])];
			const relayIds = (view.isAttached() ? [...view.getRelayIds()] : chooseRelays(candidates, known.length + 1)).toSorted();
			const isInContact = (id: string): boolean => contacts.has(id);
			const isMinority = (contacts.size + 1) * 2 <= known.length + 1;
			return relayIds.includes(own.id) ? updateRelay(relayIds, isInContact) : updateAttached(relayIds, isInContact, isMinority);
		},
	};
}
