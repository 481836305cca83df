/**
 * The gateways that this one is in contact with: by a link of its own, or through
 * a relay that is. What a relay tells counts while its own reports arrive.
 */
import type {Clock} from '@catkindale/common';
import type {
	AttachedGateways, RelayView, GatewayPhase, GatewayReport,
} from '@catkindale/protocol';

export type GatewayContact = {
	readonly phase: GatewayPhase;
	/** Utilization of its event loop, from 0 to 1. */
	readonly use: number;
};

export type PeerState = {
	report: GatewayReport | undefined;
	receivedAt: number;
	isConnected: boolean;
	/** Monotonic time at which the latest link was lost. */
	lostAt: number | undefined;
};

export type FleetView = {
	readonly peers: ReadonlyMap<string, PeerState>;
	readonly setConnected: (id: string, isConnected: boolean) => void;
	/** Returns the report that it replaces. */
	readonly recordReport: (id: string, report: GatewayReport) => GatewayReport | undefined;
	/** Returns whether gateways have come, gone or changed their phase. */
	readonly recordAttached: (relay: string, message: AttachedGateways) => boolean;
	/** Returns whether the lists have changed. */
	readonly recordRelayView: (relay: string, message: RelayView) => boolean;
	/** Whether the peer's reports have arrived within the given time. */
	readonly isFresh: (id: string, silenceMilliseconds: number) => boolean;
	/** The other gateways in contact. */
	readonly getContacts: () => Map<string, GatewayContact>;
	/** Whether more relays take this gateway for an attached one than for a relay. */
	readonly isAttached: () => boolean;
	/** The relays according to the relays to which this gateway is attached. */
	readonly getRelayIds: () => Set<string>;
	/** Mean utilization of the zones' gateways, from the relays to which this gateway is attached. */
	readonly getZoneUses: () => ReadonlyMap<string, number>;
	readonly forget: (id: string) => void;
};

export const percentPerUnit = 100;

type Received<Message> = {readonly message: Message; readonly receivedAt: number};

export function createFleetView(clock: Clock, silenceMilliseconds: number): FleetView {
	const peers = new Map<string, PeerState>();
	const attachedByRelay = new Map<string, Received<AttachedGateways>>();
	const viewByRelay = new Map<string, Received<RelayView & Required<Pick<RelayView, 'lists'>>>>();

	const getPeer = (id: string): PeerState => {
		const peer = peers.get(id) ?? {
			report: undefined, receivedAt: clock.monotonic(), isConnected: false, lostAt: undefined,
		};
		peers.set(id, peer);
		return peer;
	};

	const isFresh = (id: string, milliseconds: number): boolean => {
		const peer = peers.get(id);
		return peer?.isConnected === true && peer.report !== undefined && clock.monotonic() - peer.receivedAt <= milliseconds;
	};

	const getFresh = <Message>(received: ReadonlyMap<string, Received<Message>>): Message[] => [...received]
		.filter(([relay, {receivedAt}]) => isFresh(relay, silenceMilliseconds) && clock.monotonic() - receivedAt <= silenceMilliseconds)
		.map(([, {message}]) => message);

	const forgetRelay = (id: string): void => {
		attachedByRelay.delete(id);
		viewByRelay.delete(id);
	};

	return {
		peers,
		setConnected(id, isConnected) {
			const peer = getPeer(id);
			peer.isConnected = isConnected;
			if (!isConnected) {
				peer.lostAt = clock.monotonic();
				forgetRelay(id);
			}
		},
		recordReport(id, report) {
			const peer = getPeer(id);
			const previous = peer.report;
			peer.report = report;
			peer.receivedAt = clock.monotonic();
			return previous;
		},
		recordAttached(relay, message) {
			const previous = attachedByRelay.get(relay)?.message.gateways ?? [];
			attachedByRelay.set(relay, {message, receivedAt: clock.monotonic()});
			return previous.length !== message.gateways.length || message.gateways.some(([id, phase], index) => previous[index]?.[0] !== id || previous[index][1] !== phase);
		},
		recordRelayView(relay, message) {
			const lists = message.lists ?? viewByRelay.get(relay)?.message.lists;
			if (lists) {
				viewByRelay.set(relay, {message: {...message, lists}, receivedAt: clock.monotonic()});
			}

			return message.lists !== undefined;
		},
		isFresh,
		getContacts() {
			const contacts = new Map<string, GatewayContact>();
			for (const [id, {report}] of peers) {
				if (report && isFresh(id, silenceMilliseconds)) {
					contacts.set(id, {phase: getPhase(report), use: report.use});
				}
			}

			const addContact = (id: string, contact: GatewayContact): void => {
				if (!contacts.has(id)) {
					contacts.set(id, contact);
				}
			};

			for (const {gateways} of getFresh(attachedByRelay)) {
				for (const [id, phase, percent] of gateways) {
					addContact(id, {phase, use: percent / percentPerUnit});
				}
			}

			for (const {lists} of getFresh(viewByRelay)) {
				for (const id of lists.serving) {
					addContact(id, {phase: 'serving', use: 0});
				}

				for (const id of lists.starting) {
					addContact(id, {phase: 'starting', use: 0});
				}
			}

			return contacts;
		},
		isAttached: () => getFresh(viewByRelay).length > getFresh(attachedByRelay).length,
		getRelayIds: () => new Set(getFresh(viewByRelay).flatMap(({lists}) => lists.relays)),
		getZoneUses: () => new Map(getFresh(viewByRelay).flatMap(({zoneUses}) => Object.entries(zoneUses))),
		forget(id) {
			peers.delete(id);
			forgetRelay(id);
		},
	};
}

/** A gateway that has a configuration and doesn't serve is about to stop. */
export function getPhase({isServing, revisions}: Pick<GatewayReport, 'isServing' | 'revisions'>): GatewayPhase {
	if (isServing) {
		return 'serving';
	}

	return revisions.configuration > 0 ? 'draining' : 'starting';
}
