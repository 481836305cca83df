/**
 * Knows how old this node's knowledge is, tells its peers by heartbeats, and
 * publishes until when the knowledge may be used and which members look-ups
 * should leave out.
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
import {getRelayedAgeLimit} from './table-poller.js';

const startOrder = 12;

nodePlugins.register({
	name: 'freshness',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, clock, logger, settings} = context;
		const ownId = settings.node.name;
		const limit = settings.timing.freshnessLimitMilliseconds;
		const relayedAgeLimit = getRelayedAgeLimit(context);
		const echoes = createHeartbeatEchoes();
		const attestations = new Map<string, Attestation>();
		const connected = new Set<string>();
		const refusing = new Set<string>();
		let knowledge: FreshnessState = {...createFreshnessState(ownId), attestations};
		let members: readonly Member[] = [];
		let isLedgerRead = false;
		let isDraining = false;
		let drained: ReadonlySet<string> = new Set();
		let leaving: ReadonlySet<string> = new Set();
		let wasCurrent = false;
		let isReader = true;
		let isReadingDue = true;
		let validity: FreshnessValidity = expiredValidity;
		let unavailable: ReadonlySet<string> = new Set();

		/** Called when one of the things has changed by which members are judged, which is seldom. */
		const judgeMembers = (isCurrent: boolean): void => {
			isReader = isTableReader(ownId, members, id => connected.has(id) && !refusing.has(id));
			const ids = new Set<string>();
			for (const {id} of members) {
				const isUsable = id === ownId ? isCurrent && !isDraining : isPeerUsable(isCurrent, connected.has(id), refusing.has(id));
				if (!isUsable || drained.has(id) || leaving.has(id)) {
					ids.add(id);
				}
			}

			if (!isDeepStrictEqual(ids, unavailable)) {
				unavailable = ids;
				bus.publish({type: 'unavailable-members-changed', ids});
			}
		};

		/** Tells the tasks that read the table whether this node reads for its region or has to for itself. */
		const reportReading = (now: number): void => {
			const isDue = isReader || getTableAge(knowledge, now) > relayedAgeLimit;
			if (isDue !== isReadingDue) {
				isReadingDue = isDue;
				bus.publish({type: 'table-reading-changed', isReader: isDue});
			}
		};

		const evaluate = (): void => {
			const now = clock.monotonic();
			const left = limit - getStateAge(knowledge, now);
			const isCurrent = left > 0;
			if (isCurrent) {
				validity = {untilMonotonic: now + left, untilWall: clock.wall() + left};
				knowledge = {...knowledge, isEstablished: true};
				bus.publish({type: 'freshness-changed', validity});
			}

			if (isCurrent !== wasCurrent) {
				wasCurrent = isCurrent;
				logger.info('freshness', {state: isCurrent ? 'current' : 'out-of-date'});
				judgeMembers(isCurrent);
			}

			reportReading(now);
		};

		const evaluateMembers = (): void => {
			evaluate();
			judgeMembers(wasCurrent);
		};

		const setRefusing = (peer: string, isRefusing: boolean): void => {
			if (refusing.has(peer) === isRefusing) {
				return;
			}

			if (isRefusing) {
				refusing.add(peer);
			} else {
				refusing.delete(peer);
			}

			judgeMembers(wasCurrent);
		};

		const createHeartbeat = (sequence: number, peer: string): HeartbeatMessage => {
			const tableAge = getTableAge(knowledge, clock.monotonic());
			const echo = echoes.getEcho(peer);
			return {
				type: 'heartbeat',
				sequence,
				configurationVersion: knowledge.version,
				isEstablished: knowledge.isEstablished,
				isServing: !isDraining && isFresh(validity, clock),
				...(echo !== undefined && {echo}),
				...(Number.isFinite(tableAge) && {tableAgeMilliseconds: Math.max(0, Math.ceil(tableAge))}),
			};
		};

		const beat = (peers: Iterable<string> = connected): void => {
			const sequence = echoes.startHeartbeat(clock.monotonic());
			for (const peer of peers) {
				bus.publish({type: 'peer-send', to: peer, message: createHeartbeat(sequence, peer)});
			}
		};

		const receive = (peer: string, heartbeat: HeartbeatMessage): void => {
			const sentAt = echoes.recordHeartbeat(peer, heartbeat.sequence, heartbeat.echo);
			setRefusing(peer, !heartbeat.isServing);
			if (sentAt !== undefined) {
				attestations.set(peer, {
					sentAt,
					version: heartbeat.configurationVersion,
					isEstablished: heartbeat.isEstablished,
					tableAgeMilliseconds: heartbeat.tableAgeMilliseconds ?? Number.POSITIVE_INFINITY,
				});
			}

			evaluate();
			if (heartbeat.echo === undefined) {
				beat([peer]);
			}
		};

		const setMembers = (next: readonly Member[]): void => {
			members = next;
			knowledge = {...knowledge, members};
			evaluateMembers();
		};

		const work = startPeriodicWork(async () => {
			evaluate();
			beat();
			bus.publish({type: 'heartbeat-sending'});
		}, settings.timing.heartbeatMilliseconds);
		const endings = [
			bus.subscribe('configuration-known', ({record}) => {
				knowledge = {...knowledge, version: record.version};
				evaluate();
			}),
			bus.subscribe('configuration-read', ({startedAt}) => {
				knowledge = {...knowledge, tableReadAt: startedAt};
				evaluate();
			}),
			bus.subscribe('membership-changed', message => {
				isLedgerRead = true;
				setMembers(message.members);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				echoes.removePeer(id);
				attestations.delete(id);
				connected.add(id);
				evaluateMembers();
				beat([id]);
				if (members.length > 0) {
					bus.publish({type: 'peer-send', to: id, message: {type: 'known-members', members: [...members]}});
				}
			}),
			bus.subscribe('peer-disconnected', ({id}) => {
				connected.delete(id);
				evaluateMembers();
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'heartbeat') {
					receive(from, message);
				}

				if (message.type === 'configuration') {
					// Confirms the version to the sender once the configuration's task has taken it.
					queueMicrotask(() => {
						beat([from]);
					});
				}

				if (message.type === 'known-members' && !isLedgerRead) {
					bus.publish({type: 'members-received', members: message.members});
					setMembers(message.members);
				}
			}),
			bus.subscribe('configuration-changed', ({configuration}) => {
				drained = new Set(configuration.drains.filter(({kind}) => kind === 'vm').map(({name}) => name));
				evaluateMembers();
			}),
			bus.subscribe('machines-listed', ({machines}) => {
				leaving = new Set(machines.filter(({state}) => state === 'leaving').map(({id}) => id));
				evaluateMembers();
			}),
			bus.subscribe('drain-started', () => {
				isDraining = true;
				evaluateMembers();
				beat();
			}),
		];
		return {
			async stop() {
				await work.stop();
				for (const end of endings) {
					end();
				}
			},
		};
	},
});

/**
 * A node whose knowledge is current trusts what it hears. One that may be cut
 * off sends callers to the members that it doesn't hear.
 */
function isPeerUsable(isOwnCurrent: boolean, isConnected: boolean, isRefusing: boolean): boolean {
	return isOwnCurrent ? isConnected && !isRefusing : !(isConnected && isRefusing);
}
