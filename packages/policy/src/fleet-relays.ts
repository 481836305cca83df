/**
 * Decides which gateways are linked. A small fleet is a full mesh. In a larger
 * one, some gateways of each region are relays: they are linked with each other,
 * and each other gateway is attached to two of them. With about the square root
 * of twice the gateways as relays, the links of a gateway grow with the square
 * root of the fleet, and so does what it sends and receives.
 *
 * Relays are chosen by rendezvous hashing (see `rankMembers`), so that gateways
 * that know the same fleet choose the same ones without a message, and a gateway
 * that joins or leaves moves few others.
 */
import {rankMembers} from '@catkindale/common';

export type LocatedGateway = {readonly id: string; readonly region: string};

/** Up to this size a fleet is a full mesh. */
export const maximumMeshGateways = 24;
/** A second relay, so that a gateway isn't cut off while the loss of the first one is detected. */
const relaysPerGateway = 2;
const minimumRelaysPerRegion = 2;

/** Returns the number of relays; in a full mesh all gateways are relays. */
export function getRelayCount(gatewayCount: number): number {
	return gatewayCount <= maximumMeshGateways ? gatewayCount : Math.ceil(Math.sqrt(relaysPerGateway * gatewayCount));
}

/**
 * Returns the identifiers of the relays, in proportion to the gateways of each region.
 * @param gateways those that may be relays
 * @param gatewayCount all gateways, also those that are gone for the moment
 */
export function chooseRelays(gateways: readonly LocatedGateway[], gatewayCount: number): string[] {
	const byRegion = new Map<string, LocatedGateway[]>();
	for (const gateway of gateways) {
		const members = byRegion.get(gateway.region) ?? [];
		members.push(gateway);
		byRegion.set(gateway.region, members);
	}

	const relayCount = getRelayCount(gatewayCount);
	return [...byRegion].flatMap(([region, members]) => {
		const count = Math.max(minimumRelaysPerRegion, Math.ceil(relayCount * members.length / gateways.length));
		return rankMembers(`relays of ${region}`, members).slice(0, count).map(({id}) => id);
	});
}

/** Returns the identifiers of the relays to which a gateway attaches, best first: those of its region if there are any. */
export function chooseOwnRelays({id: ownId, region}: LocatedGateway, relays: readonly LocatedGateway[]): string[] {
	const local = relays.filter(relay => relay.region === region);
	return rankMembers(ownId, local.length > 0 ? local : relays).slice(0, relaysPerGateway).map(({id}) => id);
}
