/**
 * Tells the gateways of the region which targets handled which objects, because
 * the callers of a region request mostly the same objects. A relay passes on what
 * its attached gateways and the other relays tell.
 */
import type {Clock} from '@catkindale/common';
import type {MessageBus} from '@catkindale/kernel';
import {type Member, getObjectExchangeInterval} from '@catkindale/policy';
import type {ObjectPlacement, ObjectPlacements} from '@catkindale/protocol';
import type {FleetLinks} from './fleet-links.js';
import type {GatewayTargetChooser} from './gateway-target-chooser.js';
import type {NodeMessage} from './node-messages.js';

export type PlacementExchange = {
	readonly receive: (message: ObjectPlacements, from: string) => void;
	/** The serving gateways of this region, this one included. */
	readonly setRegionGateways: (gateways: readonly Member[]) => void;
	readonly setLinks: (links: FleetLinks) => void;
	/** Sends what has come since the last message. */
	readonly send: () => void;
	readonly getSendIntervalMilliseconds: () => number;
};

export type PlacementExchangeOptions = {
	readonly bus: MessageBus<NodeMessage>;
	readonly clock: Clock;
	readonly chooser: GatewayTargetChooser;
	readonly ownId: string;
};

/** The shares change slowly, and are as long as many placements. */
const sharesIntervalMilliseconds = 1000;

export function createPlacementExchange({bus, clock, chooser, ownId}: PlacementExchangeOptions): PlacementExchange {
	let links: FleetLinks = {kind: 'mesh'};
	let regionIds: readonly string[] = [];
	/** Placements of attached gateways, for all others, and of relays, for the attached gateways. */
	let fromAttached: ObjectPlacement[] = [];
	let fromRelays: ObjectPlacement[] = [];
	let sharesSentAt = Number.NEGATIVE_INFINITY;

	const publish = (to: readonly string[], placements: readonly ObjectPlacement[], keptShares: Readonly<Record<string, number>>): void => {
		if (to.length > 0 && (placements.length > 0 || Object.keys(keptShares).length > 0)) {
			bus.publish({type: 'peer-broadcast', message: {type: 'object-placements', placements: [...placements], keptShares}, to});
		}
	};

	const getReceivers = (): {readonly peers: readonly string[]; readonly attached: readonly string[]} => {
		switch (links.kind) {
			case 'mesh': {
				return {peers: regionIds, attached: []};
			}

			case 'relay': {
				const relayIds = new Set(links.relayIds);
				return {peers: regionIds.filter(id => relayIds.has(id)), attached: links.attachedIds};
			}

			case 'attached': {
				return {peers: links.ownRelayIds.slice(0, 1), attached: []};
			}
		}
	};

	return {
		receive({placements, keptShares}, from) {
			chooser.receivePlacements(placements, keptShares);
			if (links.kind === 'relay') {
				(links.attachedIds.includes(from) ? fromAttached : fromRelays).push(...placements);
			}
		},
		setRegionGateways(gateways) {
			regionIds = gateways.map(({id}) => id).filter(id => id !== ownId);
		},
		setLinks(next) {
			links = next;
			fromAttached = [];
			fromRelays = [];
		},
		send() {
			const now = clock.monotonic();
			const {peers, attached} = getReceivers();
			const sendsShares = now - sharesSentAt >= sharesIntervalMilliseconds;
			const keptShares = sendsShares ? chooser.getCacheableShares() : {};
			sharesSentAt = sendsShares ? now : sharesSentAt;
			const placements = [...chooser.takePlacements(), ...fromAttached];
			publish(peers, placements, keptShares);
			publish(attached, [...placements, ...fromRelays], keptShares);
			fromAttached = [];
			fromRelays = [];
		},
		getSendIntervalMilliseconds() {
			const {peers, attached} = getReceivers();
			return getObjectExchangeInterval(peers.length + attached.length);
		},
	};
}
