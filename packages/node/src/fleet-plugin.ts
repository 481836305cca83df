/**
 * Keeps this gateway in touch with the others: writes its row, finds theirs
 * in the table or hears of them from peers, tells its state in heartbeats,
 * and publishes which gateways look-ups may name.
 */
import {createIdentifier, rankMembers} from '@catkindale/common';
import {type Member, createKnownGateways, memberSchema} from '@catkindale/policy';
import type {Row} from '@catkindale/ports';
import type {GatewayReport, KnowledgeRevisions} from '@catkindale/protocol';
import {gatewayRole, rowKeys} from './constants.js';
import {type NodeContext, getOwnMember, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 12;
/** Rows change only when a gateway starts or leaves; peers tell of most changes sooner. */
const readPauseMilliseconds = 10_000;
const retryPauseMilliseconds = 500;
const useDigits = 2;
/** Below what one transaction holds. */
const mostRemovedRows = 50;
/** Ranks the gateways for the removal of rows. */
const removalName = 'rows of gateways that are gone';

type PeerState = {report: GatewayReport | undefined; heardAt: number; isConnected: boolean};

nodePlugins.register({
	name: 'fleet',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const {bus, clock, logger, settings} = context;
		const {peerSilenceMilliseconds, shareHoldMilliseconds} = settings.gateway;
		const ownId = settings.node.name;
		const known = createKnownGateways(ownId);
		const peers = new Map<string, PeerState>();
		let revisions: KnowledgeRevisions = {configuration: 0, orders: 0, targets: 0};
		let demands: Readonly<Record<string, number>> = {};
		let isDraining = false;
		let serving: Member[] = [];
		let servingKey = '';
		let isRowWritten = false;
		let use = 0;

		const getState = (id: string): PeerState => {
			const state = peers.get(id) ?? {report: undefined, heardAt: clock.monotonic(), isConnected: false};
			peers.set(id, state);
			return state;
		};

		const publishMembers = (): void => {
			bus.publish({type: 'members-received', members: [getOwnMember(context), ...known.getAll()]});
		};

		const addMembers = (found: readonly Member[]): void => {
			if (known.add(found, clock.monotonic())) {
				// A gateway that starts later is known to the others only once it has dialled them.
				publishMembers();
			}
		};

		const forgetGone = (): void => {
			const gone = known.removeExpired(clock.monotonic());
			for (const {id, incarnation} of gone) {
				peers.delete(id);
				logger.info('gateway_forgotten', {gateway: id, incarnation});
			}

			if (gone.length > 0) {
				publishMembers();
			}
		};

		const isServing = (): boolean => revisions.configuration > 0 && !isDraining;

		const publishServing = (): void => {
			const now = clock.monotonic();
			serving = known.getAll().filter(({id}) => {
				const peer = peers.get(id);
				return peer?.isConnected === true && peer.report?.isServing === true && now - peer.heardAt <= peerSilenceMilliseconds;
			});
			if (isServing()) {
				serving.push(getOwnMember(context));
			}

			// By code units: a comparison by language loads its rules first, while callers wait for a gateway that starts.
			const key = serving.map(({id, incarnation}) => `${id} ${incarnation}`).toSorted().join(',');
			if (key !== servingKey) {
				servingKey = key;
				logger.info('serving_gateways', {gateways: serving.map(({id}) => id).join(',')});
				bus.publish({type: 'serving-gateways-changed', members: serving});
			}
		};

		const publishDemands = (): void => {
			const now = clock.monotonic();
			const all = new Map<string, Readonly<Record<string, number>>>([[ownId, demands]]);
			for (const [id, peer] of peers) {
				if (peer.report && now - peer.heardAt <= shareHoldMilliseconds) {
					all.set(id, peer.report.demands);
				}
			}

			bus.publish({type: 'customer-demands-changed', demands: all, knownGateways: known.getAll().length + 1});
		};

		const publishUses = (): void => {
			const uses = new Map([[ownId, use]]);
			for (const [id, {report}] of peers) {
				uses.set(id, report?.use ?? 0);
			}

			bus.publish({type: 'gateway-utilizations-changed', utilizations: uses});
		};

		const tell = (): void => {
			bus.publish({
				type: 'peer-broadcast', message: {
					type: 'gateway-report', isServing: isServing(), use, revisions, demands,
				},
			});
		};

		const beat = async (): Promise<void> => {
			bus.publish({type: 'heartbeat-sending'});
			use = Number(context.eventLoopMonitor.takeUtilization().toFixed(useDigits));
			tell();
			publishUses();
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
			forgetGone();
			for (const row of outcome.value) {
				const parsed = memberSchema.safeParse(row.value);
				if (parsed.success && known.wasRemoved(parsed.data)) {
					stale.push(row);
				} else if (parsed.success) {
					found.push(parsed.data);
				} else {
					logger.warn('row_unreadable', {row: row.key, reason: parsed.error.issues[0]?.message});
				}
			}

			addMembers(found);
			const own = outcome.value.find(({key}) => key === getRowKey(context));
			if (!isRowWritten || !own) {
				await writeRow(own?.version ?? 0);
			}

			await removeRows(stale);
		};

		/** One gateway does it; a row that was written again meanwhile stays. */
		const removeRows = async (stale: readonly Row[]): Promise<void> => {
			const [first] = rankMembers(removalName, serving);
			if (stale.length === 0 || first?.id !== ownId) {
				return;
			}

			const removed = stale.slice(0, mostRemovedRows);
			const outcome = await context.platform.table.transact(createIdentifier(), removed.map(({key, version}) => ({key, expectedVersion: version, value: undefined})));
			logger.info('gateway_rows_removed', {rows: removed.map(({key}) => key).join(','), outcome: outcome.kind});
		};

		const writeRow = async (expectedVersion: number): Promise<void> => {
			const outcome = await context.platform.table.transact(createIdentifier(), [{key: getRowKey(context), expectedVersion, value: getOwnMember(context)}]);
			isRowWritten = outcome.kind === 'done';
			logger.info('gateway_row_written', {outcome: outcome.kind});
		};

		/** Whoever writes its row later finds those of all others. */
		const join = async (): Promise<void> => {
			await readRows();
			if (isRowWritten) {
				await readRows();
			}
		};

		let joining: Promise<void> | undefined;
		let readAt = Number.NEGATIVE_INFINITY;
		const maintainRows = async (): Promise<void> => {
			const pause = isRowWritten ? readPauseMilliseconds : retryPauseMilliseconds;
			if (joining === undefined && clock.monotonic() - readAt >= pause) {
				joining = isRowWritten ? readRows() : join();
				await joining;
				joining = undefined;
				readAt = clock.monotonic();
			}
		};

		const endings = [
			bus.subscribe('knowledge-revised', message => {
				const wasServing = isServing();
				revisions = message.revisions;
				if (isServing() !== wasServing) {
					tell();
					publishServing();
				}
			}),
			bus.subscribe('own-demands-measured', message => {
				demands = message.demands;
			}),
			bus.subscribe('peer-connected', ({id}) => {
				getState(id).isConnected = true;
				known.recordContact(id, clock.monotonic());
				bus.publish({type: 'peer-send', to: id, message: {type: 'known-members', members: [getOwnMember(context), ...known.getAll()]}});
				tell();
			}),
			bus.subscribe('peer-disconnected', ({id}) => {
				getState(id).isConnected = false;
				publishServing();
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'known-members') {
					addMembers(message.members);
					publishServing();
				} else if (message.type === 'gateway-report') {
					const state = getState(from);
					const wasServing = state.report?.isServing;
					state.report = message;
					state.heardAt = clock.monotonic();
					known.recordContact(from, state.heardAt);
					if (wasServing !== message.isServing) {
						publishServing();
					}
				}
			}),
			bus.subscribe('drain-started', () => {
				isDraining = true;
				tell();
				publishServing();
			}),
		];
		const works = [
			startPeriodicWork(beat, settings.timing.heartbeatMilliseconds),
			startPeriodicWork(maintainRows, retryPauseMilliseconds),
		];
		return {
			async begin() {
				// Serving doesn't wait for the table; peers are found again and again.
				void maintainRows();
			},
			async stop() {
				await Promise.all(works.map(async work => work.stop()));
				for (const end of endings) {
					end();
				}
			},
		};
	},
});

function getRowKey(context: NodeContext): string {
	return `${rowKeys.gatewayPrefix}${context.settings.node.name}`;
}
