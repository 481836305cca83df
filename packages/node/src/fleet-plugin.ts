/**
 * Connects this gateway with the others: writes its row, discovers other
 * gateways in the table and through peers, reports its state in heartbeats and
 * publishes which gateways lookups may return.
 */
import {createIdentifier, rankMembers} from '@catkindale/common';
import {type Member, createKnownGateways, memberSchema} from '@catkindale/policy';
import type {Row} from '@catkindale/ports';
import type {GatewayReport, KnowledgeRevisions, TargetLimit} from '@catkindale/protocol';
import {gatewayRole, rowKeys} from './constants.js';
import {type NodeContext, getOwnMember, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 12;
/** Rows change only when a gateway starts or leaves, and peers report most changes sooner. */
const readIntervalMilliseconds = 10_000;
const retryIntervalMilliseconds = 500;
const utilizationDigits = 2;
/** Below the size limit of a transaction. */
const maximumRemovedRows = 50;
/** The key that ranks the gateways for the removal of rows. It must be the same on all gateways. */
const removalRankKey = 'rows of gateways that are gone';

type PeerState = {report: GatewayReport | undefined; receivedAt: number; isConnected: boolean};

nodePlugins.register({
	name: 'fleet',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const {bus, clock, logger, settings} = context;
		const {peerSilenceMilliseconds, shareHoldMilliseconds} = settings.gateway;
		const ownId = settings.node.name;
		const knownMembers = createKnownGateways(ownId);
		const peers = new Map<string, PeerState>();
		let revisions: KnowledgeRevisions = {configuration: 0, orders: 0, targets: 0};
		let demands: Readonly<Record<string, number>> = {};
		let isDraining = false;
		let serving: Member[] = [];
		let servingKey = '';
		let isRowWritten = false;
		let utilization = 0;
		/** Limits of targets that the next heartbeat reports. */
		let changedLimits: readonly TargetLimit[] = [];

		const getPeerState = (id: string): PeerState => {
			const state = peers.get(id) ?? {report: undefined, receivedAt: clock.monotonic(), isConnected: false};
			peers.set(id, state);
			return state;
		};

		const publishMembers = (): void => {
			bus.publish({type: 'members-received', members: [getOwnMember(context), ...knownMembers.getAll()]});
		};

		const addMembers = (found: readonly Member[]): void => {
			if (knownMembers.add(found, clock.monotonic())) {
				// A gateway that starts later is known to the others only once it has connected to them, so the mesh needs the members at once.
				publishMembers();
			}
		};

		const removeExpiredGateways = (): void => {
			const expired = knownMembers.removeExpired(clock.monotonic());
			for (const {id, incarnation} of expired) {
				peers.delete(id);
				logger.info('gateway_forgotten', {gateway: id, incarnation});
			}

			if (expired.length > 0) {
				publishMembers();
			}
		};

		const isServing = (): boolean => revisions.configuration > 0 && !isDraining;

		const publishServing = (): void => {
			const now = clock.monotonic();
			serving = knownMembers.getAll().filter(({id}) => {
				const peer = peers.get(id);
				return peer?.isConnected === true && peer.report?.isServing === true && now - peer.receivedAt <= peerSilenceMilliseconds;
			});
			if (isServing()) {
				serving.push(getOwnMember(context));
			}

			// Sorts by code units, because a locale comparison would load its rules while callers wait for a starting gateway.
			const key = serving.map(({id, incarnation}) => `${id} ${incarnation}`).toSorted().join(',');
			if (key !== servingKey) {
				servingKey = key;
				logger.info('serving_gateways', {gateways: serving.map(({id}) => id).join(',')});
				bus.publish({type: 'serving-gateways-changed', members: serving});
			}
		};

		const publishDemands = (): void => {
			const now = clock.monotonic();
			const demandsByGateway = new Map<string, Readonly<Record<string, number>>>([[ownId, demands]]);
			for (const [id, peer] of peers) {
				if (peer.report && now - peer.receivedAt <= shareHoldMilliseconds) {
					demandsByGateway.set(id, peer.report.demands);
				}
			}

			bus.publish({type: 'customer-demands-changed', demands: demandsByGateway, knownGateways: knownMembers.getAll().length + 1});
		};

		const publishUtilizations = (): void => {
			const utilizations = new Map([[ownId, utilization]]);
			for (const [id, {report}] of peers) {
				utilizations.set(id, report?.use ?? 0);
			}

			bus.publish({type: 'gateway-utilizations-changed', utilizations});
		};

		const broadcastReport = (additions: Pick<GatewayReport, 'sourceMissingMilliseconds' | 'targetLimits'> = {}): void => {
			bus.publish({
				type: 'peer-broadcast', message: {
					type: 'gateway-report', isServing: isServing(), use: utilization, revisions, demands, ...additions,
				},
			});
		};

		const sendHeartbeat = async (): Promise<void> => {
			bus.publish({type: 'heartbeat-sending'});
			utilization = Number(context.eventLoopMonitor.takeUtilization().toFixed(utilizationDigits));
			broadcastReport(changedLimits.length > 0 ? {targetLimits: [...changedLimits]} : {});
			changedLimits = [];
			publishUtilizations();
			publishServing();
			publishDemands();
		};

		const readRows = async (): Promise<void> => {
			const outcome = await context.platform.table.list(rowKeys.gatewayPrefix);
			if (outcome.kind !== 'done') {
				logger.warn('table_read_failed', {row: rowKeys.gatewayPrefix, outcome: outcome.kind});
				return;
			}

			const found: Member[] = [];
			const stale: Row[] = [];
			removeExpiredGateways();
			for (const row of outcome.value) {
				const parsed = memberSchema.safeParse(row.value);
				if (parsed.success && knownMembers.wasRemoved(parsed.data)) {
					stale.push(row);
				} else if (parsed.success) {
					found.push(parsed.data);
				} else {
					logger.warn('row_unreadable', {row: row.key, reason: parsed.error.issues[0]?.message});
				}
			}

			addMembers(found);
			const ownRow = outcome.value.find(({key}) => key === getRowKey(context));
			if (!isRowWritten || !ownRow) {
				await writeRow(ownRow?.version ?? 0);
			}

			await removeRows(stale);
		};

		/** Removes rows on the first-ranked gateway only. A row that was rewritten in the meantime stays. */
		const removeRows = async (stale: readonly Row[]): Promise<void> => {
			const [first] = rankMembers(removalRankKey, serving);
			if (stale.length === 0 || first?.id !== ownId) {
				return;
			}

			const removed = stale.slice(0, maximumRemovedRows);
			const outcome = await context.platform.table.transact(createIdentifier(), removed.map(({key, version}) => ({key, expectedVersion: version, value: undefined})));
			logger.info('gateway_rows_removed', {rows: removed.map(({key}) => key).join(','), outcome: outcome.kind});
		};

		const writeRow = async (expectedVersion: number): Promise<void> => {
			const outcome = await context.platform.table.transact(createIdentifier(), [{key: getRowKey(context), expectedVersion, value: getOwnMember(context)}]);
			isRowWritten = outcome.kind === 'done';
			logger.info('gateway_row_written', {outcome: outcome.kind});
		};

		/** Reads the rows again after writing its own, so that of two starting gateways the later writer finds the earlier one. */
		const joinFleet = async (): Promise<void> => {
			await readRows();
			if (isRowWritten) {
				await readRows();
			}
		};

		let rowMaintenance: Promise<void> | undefined;
		let readAt = Number.NEGATIVE_INFINITY;
		const maintainRows = async (): Promise<void> => {
			const pause = isRowWritten ? readIntervalMilliseconds : retryIntervalMilliseconds;
			if (rowMaintenance === undefined && clock.monotonic() - readAt >= pause) {
				rowMaintenance = isRowWritten ? readRows() : joinFleet();
				await rowMaintenance;
				rowMaintenance = undefined;
				readAt = clock.monotonic();
			}
		};

		const subscriptions = [
			bus.subscribe('knowledge-revised', message => {
				const wasServing = isServing();
				revisions = message.revisions;
				if (isServing() !== wasServing) {
					broadcastReport();
					publishServing();
				}
			}),
			bus.subscribe('own-demands-measured', message => {
				demands = message.demands;
			}),
			bus.subscribe('target-limits-changed', message => {
				changedLimits = message.limits;
			}),
			bus.subscribe('peer-connected', ({id}) => {
				getPeerState(id).isConnected = true;
				knownMembers.recordContact(id, clock.monotonic());
				bus.publish({type: 'peer-send', to: id, message: {type: 'known-members', members: [getOwnMember(context), ...knownMembers.getAll()]}});
				broadcastReport();
			}),
			bus.subscribe('peer-disconnected', ({id}) => {
				getPeerState(id).isConnected = false;
				publishServing();
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'known-members') {
					addMembers(message.members);
					publishServing();
				} else if (message.type === 'gateway-report') {
					const state = getPeerState(from);
					const wasServing = state.report?.isServing;
					state.report = message;
					state.receivedAt = clock.monotonic();
					knownMembers.recordContact(from, state.receivedAt);
					if (wasServing !== message.isServing) {
						publishServing();
					}
				}
			}),
			bus.subscribe('traffic-source-regained', ({missingMilliseconds, from}) => {
				if (from === undefined) {
					broadcastReport({sourceMissingMilliseconds: missingMilliseconds});
				}
			}),
			bus.subscribe('drain-started', () => {
				isDraining = true;
				broadcastReport();
				publishServing();
			}),
		];
		const periodicWorks = [
			startPeriodicWork(sendHeartbeat, settings.timing.heartbeatMilliseconds),
			startPeriodicWork(maintainRows, retryIntervalMilliseconds),
		];
		return {
			async onAllStarted() {
				// Serving doesn't wait for the table; the search for peers is repeated.
				void maintainRows();
			},
			async stop() {
				await Promise.all(periodicWorks.map(async work => work.stop()));
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}
			},
		};
	},
});

function getRowKey(context: NodeContext): string {
	return `${rowKeys.gatewayPrefix}${context.settings.node.name}`;
}
