/**
 * Tracks the age of the configuration that this node uses and exchanges it
 * with the peers by heartbeats. Publishes until when the configuration may be
 * used and which members a lookup must not return.
 */
import {isDeepStrictEqual} from 'node:util';
import {
	type Attestation, type FreshnessState, type Member, createFreshnessState, getStateAge, getTableAge, isTableReader,
} from '@catkindale/policy';
import type {HeartbeatMessage} from '@catkindale/protocol';
import {roles} from './constants.js';
import {createHeartbeatEchoes} from './heartbeat-echoes.js';
import {type FreshnessValidity, isFresh, expiredValidity} from './freshness-validity.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import {getMaximumRelayedAgeMilliseconds} from './table-poller.js';

const startOrder = 12;

nodePlugins.register({
	name: 'freshness',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, clock, logger, settings} = context;
		const ownId = settings.node.name;
		const freshnessLimit = settings.timing.freshnessLimitMilliseconds;
		const relayedAgeLimit = getMaximumRelayedAgeMilliseconds(context);
		const echoes = createHeartbeatEchoes();
		const attestations = new Map<string, Attestation>();
		const connected = new Set<string>();
		const nonServing = new Set<string>();
		let freshness: FreshnessState = {...createFreshnessState(ownId), attestations};
		let members: readonly Member[] = [];
		let isLedgerRead = false;
		let isDraining = false;
		let drainedVms: ReadonlySet<string> = new Set();
		let leavingVms: ReadonlySet<string> = new Set();
		let wasCurrent = false;
		let isRegionReader = true;
		let isReadingTable = true;
		let validity: FreshnessValidity = expiredValidity;
		let unavailableIds: ReadonlySet<string> = new Set();

		/** Recomputes which members lookups must not return. Called only when one of the inputs has changed, which is rare. */
		const updateUnavailableMembers = (isCurrent: boolean): void => {
			isRegionReader = isTableReader(ownId, members, id => connected.has(id) && !nonServing.has(id));
			const ids = new Set<string>();
			for (const {id} of members) {
				const isUsable = id === ownId ? isCurrent && !isDraining : isPeerUsable(isCurrent, connected.has(id), nonServing.has(id));
				if (!isUsable || drainedVms.has(id) || leavingVms.has(id)) {
					ids.add(id);
				}
			}

			if (!isDeepStrictEqual(ids, unavailableIds)) {
				unavailableIds = ids;
				bus.publish({type: 'unavailable-members-changed', ids});
			}
		};

		/** Publishes whether this node polls the table: on behalf of its region, or because relayed rows are too old. */
		const updateTableReading = (now: number): void => {
			const shouldReadTable = isRegionReader || getTableAge(freshness, now) > relayedAgeLimit;
			if (shouldReadTable !== isReadingTable) {
				isReadingTable = shouldReadTable;
				bus.publish({type: 'table-reading-changed', isReader: shouldReadTable});
			}
		};

		const updateFreshness = (): void => {
			const now = clock.monotonic();
			const remaining = freshnessLimit - getStateAge(freshness, now);
			const isCurrent = remaining > 0;
			if (isCurrent) {
				validity = {untilMonotonic: now + remaining, untilWall: clock.wall() + remaining};
				freshness = {...freshness, isEstablished: true};
				bus.publish({type: 'freshness-changed', validity});
			}

			if (isCurrent !== wasCurrent) {
				wasCurrent = isCurrent;
				logger.info('freshness', {state: isCurrent ? 'current' : 'out-of-date'});
				updateUnavailableMembers(isCurrent);
			}

			updateTableReading(now);
		};

		const updateFreshnessAndMembers = (): void => {
			updateFreshness();
			updateUnavailableMembers(wasCurrent);
		};

		const setNonServing = (peer: string, isNonServing: boolean): void => {
			if (nonServing.has(peer) === isNonServing) {
				return;
			}

			if (isNonServing) {
				nonServing.add(peer);
			} else {
				nonServing.delete(peer);
			}

			updateUnavailableMembers(wasCurrent);
		};

		const createHeartbeat = (sequence: number, peer: string): HeartbeatMessage => {
			const tableAge = getTableAge(freshness, clock.monotonic());
			const echo = echoes.getEcho(peer);
			return {
				type: 'heartbeat',
				sequence,
				configurationVersion: freshness.version,
				isEstablished: freshness.isEstablished,
				isServing: !isDraining && isFresh(validity, clock),
				...(echo !== undefined && {echo}),
				...(Number.isFinite(tableAge) && {tableAgeMilliseconds: Math.max(0, Math.ceil(tableAge))}),
			};
		};

		const sendHeartbeats = (peers: Iterable<string> = connected): void => {
			const sequence = echoes.startHeartbeat(clock.monotonic());
			for (const peer of peers) {
				bus.publish({type: 'peer-send', to: peer, message: createHeartbeat(sequence, peer)});
			}
		};

		const receiveHeartbeat = (peer: string, heartbeat: HeartbeatMessage): void => {
			const sentAt = echoes.recordHeartbeat(peer, heartbeat.sequence, heartbeat.echo);
			setNonServing(peer, !heartbeat.isServing);
			if (sentAt !== undefined) {
				attestations.set(peer, {
					sentAt,
					version: heartbeat.configurationVersion,
					isEstablished: heartbeat.isEstablished,
					tableAgeMilliseconds: heartbeat.tableAgeMilliseconds ?? Number.POSITIVE_INFINITY,
				});
			}

			updateFreshness();
			if (heartbeat.echo === undefined) {
				sendHeartbeats([peer]);
			}
		};

		const setMembers = (newMembers: readonly Member[]): void => {
			members = newMembers;
			freshness = {...freshness, members};
			updateFreshnessAndMembers();
		};

		const heartbeatWork = startPeriodicWork(async () => {
			updateFreshness();
			sendHeartbeats();
			bus.publish({type: 'heartbeat-sending'});
		}, settings.timing.heartbeatMilliseconds);
		const unsubscribers = [
			bus.subscribe('configuration-known', ({record}) => {
				freshness = {...freshness, version: record.version};
				updateFreshness();
			}),
			bus.subscribe('configuration-read', ({startedAt}) => {
				freshness = {...freshness, tableReadAt: startedAt};
				updateFreshness();
			}),
			bus.subscribe('membership-changed', message => {
				isLedgerRead = true;
				setMembers(message.members);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				echoes.removePeer(id);
				attestations.delete(id);
				connected.add(id);
				updateFreshnessAndMembers();
				sendHeartbeats([id]);
				if (members.length > 0) {
					bus.publish({type: 'peer-send', to: id, message: {type: 'known-members', members: [...members]}});
				}
			}),
			bus.subscribe('peer-disconnected', ({id}) => {
				connected.delete(id);
				updateFreshnessAndMembers();
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'heartbeat') {
					receiveHeartbeat(from, message);
				}

				if (message.type === 'configuration') {
					// Confirms the version to the sender after the configuration plugin has applied it.
					queueMicrotask(() => {
						sendHeartbeats([from]);
					});
				}

				if (message.type === 'known-members' && !isLedgerRead) {
					bus.publish({type: 'members-received', members: message.members});
					setMembers(message.members);
				}
			}),
			bus.subscribe('configuration-changed', ({configuration}) => {
				drainedVms = new Set(configuration.drains.filter(({kind}) => kind === 'vm').map(({name}) => name));
				updateFreshnessAndMembers();
			}),
			bus.subscribe('machines-listed', ({machines}) => {
				leavingVms = new Set(machines.filter(({state}) => state === 'leaving').map(({id}) => id));
				updateFreshnessAndMembers();
			}),
			bus.subscribe('drain-started', () => {
				isDraining = true;
				updateFreshnessAndMembers();
				sendHeartbeats();
			}),
		];
		return {
			async stop() {
				await heartbeatWork.stop();
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}
			},
		};
	},
});

/**
 * A node with a current configuration returns the connected members that serve
 * requests. A node that may be partitioned also returns the members that it
 * isn't connected to, as they may still serve.
 */
function isPeerUsable(isOwnCurrent: boolean, isConnected: boolean, isNonServing: boolean): boolean {
	return isOwnCurrent ? isConnected && !isNonServing : !(isConnected && isNonServing);
}
