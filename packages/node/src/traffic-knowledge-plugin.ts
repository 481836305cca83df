/**
 * Holds the traffic configuration, the operator's orders and the registered
 * targets of this gateway. Each of them has a revision that only increases, within
 * an era of the source; a later era is later whatever its revisions.
 * Updates come from the node's own source or from a peer that reports a higher
 * revision: at once if this node leaves following the source to others,
 * otherwise if its own source is slower.
 */
import {
	type SourceRevision, type TrafficConfiguration, isLaterRevision, isSameRevision, noRevision,
} from '@catkindale/policy';
import {
	type KnowledgeMessage, type KnowledgePart, type KnowledgeRequest, type KnowledgeRevisions, type RegisteredTargets, type TargetChanges, type TrafficOrders, knowledgeParts,
} from '@catkindale/protocol';
import {gatewayRole} from './constants.js';
import type {FleetLinks} from './fleet-links.js';
import {createKnowledgeIntroduction} from './knowledge-introduction.js';
import {nodePlugins} from './node-context.js';
import {createSourceRestoration} from './source-restoration.js';
import {createTargetHistory} from './target-history.js';

const startOrder = 15;
/** How long the node's own source may take to deliver a revision that a peer has already. */
const sourceLeadMilliseconds = 300;
const requestIntervalMilliseconds = 500;
/** How this node's own source is called in the log. */
const ownSource = 'table';

type Knowledge = {
	configuration?: TrafficConfiguration;
	orders?: TrafficOrders;
	targets?: RegisteredTargets;
};

nodePlugins.register({
	name: 'traffic-knowledge',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const {
			bus, clock, logger, metrics, settings,
		} = context;
		const {name: ownId, region: ownRegion} = settings.node;
		/** As received, which is what peers are told; `restoration` says what of it to follow. */
		const current: Knowledge = {};
		const targetHistory = createTargetHistory();
		const introduction = createKnowledgeIntroduction({clock, logger, hasPeers: settings.peers.length > 0});
		const restoration = createSourceRestoration({
			clock,
			logger,
			metrics,
			onRestored(era) {
				bus.publish({type: 'traffic-source-restored', era});
			},
			onReleased({orders, targets}) {
				if (orders) {
					bus.publish({type: 'traffic-orders-changed', orders});
				}

				if (targets) {
					bus.publish({type: 'traffic-targets-changed', targets});
				}
			},
		});
		let isSourceReader = true;
		/** Peers of this node's region; a change is cheapest from there. */
		let regionPeers: ReadonlySet<string> = new Set();
		let links: FleetLinks = {kind: 'mesh'};
		/** The revisions of this node that a peer was ahead of, and the monotonic times at which that was first noticed. */
		const behindByPart = new Map<KnowledgePart, {readonly ownRevision: SourceRevision; readonly since: number}>();
		const requestedAt = new Map<KnowledgePart, number>();

		const getRevisions = (): KnowledgeRevisions => ({
			configuration: current.configuration?.version ?? 0,
			orders: current.orders?.revision ?? 0,
			targets: current.targets?.revision ?? 0,
			eras: {orders: current.orders?.era ?? 0, targets: current.targets?.era ?? 0},
		});

		const publishRevisions = (): void => {
			bus.publish({type: 'knowledge-revised', revisions: getRevisions()});
		};

		/** A state that is the one in force is dropped without a report: several ways bring it. */
		const reportDropped = (part: KnowledgePart, dropped: SourceRevision, inForce: SourceRevision, source: string): void => {
			if (isSameRevision(dropped, inForce)) {
				return;
			}

			const fields = {
				part, era: dropped.era, revision: dropped.revision, inForceEra: inForce.era, inForce: inForce.revision, source,
			};
			if (source === ownSource) {
				logger.warn('revision_dropped', fields);
			} else {
				logger.info('peer_state_old', fields);
			}
		};

		const applyConfiguration = (configuration: TrafficConfiguration, source: string): void => {
			const previous = current.configuration?.version ?? 0;
			if (configuration.version <= previous) {
				reportDropped('configuration', {era: 0, revision: configuration.version}, {era: 0, revision: previous}, source);
				return;
			}

			current.configuration = configuration;
			logger.info('configuration_in_force', {
				version: configuration.version, previous, source, routes: configuration.routes.length, customers: configuration.customers.length,
			});
			bus.publish({type: 'traffic-configuration-changed', configuration});
			// In a mesh, each gateway asks one of the readers, so that it gets the configuration once.
			if (links.kind === 'relay') {
				pushChange({type: 'knowledge', configuration}, source);
			}

			publishRevisions();
		};

		/** Returns the gateways that hear of a change from this one first. */
		const getChangeReceivers = (source: string): readonly string[] => {
			const isFirst = source === ownSource && isSourceReader;
			if (links.kind !== 'relay') {
				return isFirst ? [...regionPeers] : [];
			}

			return [...(isFirst ? links.relayIds.filter(id => regionPeers.has(id)) : []), ...links.preferringIds];
		};

		/** Spares the gateways that don't follow the source a request for a change. The next report would cause one, so it must come later. */
		const pushChange = (message: KnowledgeMessage, source: string): void => {
			const to = getChangeReceivers(source);
			if (to.length > 0) {
				bus.publish({type: 'peer-broadcast', message, to});
			}
		};

		const applyOrders = (orders: TrafficOrders, source: string): void => {
			if (current.orders && !isLaterRevision(orders, current.orders)) {
				reportDropped('orders', orders, current.orders, source);
				return;
			}

			current.orders = orders;
			logger.info('orders_changed', {
				era: orders.era,
				revision: orders.revision,
				source,
				versions: orders.versions.map(({service, version}) => `${service}:${version}`).join(','),
				evacuated: orders.evacuatedZones.join(','),
			});
			bus.publish({type: 'traffic-orders-changed', orders: restoration.receiveOrders(orders)});
			pushChange({type: 'knowledge', orders}, source);
			publishRevisions();
		};

		const applyTargets = (targets: RegisteredTargets, source: string): void => {
			if (current.targets && !isLaterRevision(targets, current.targets)) {
				reportDropped('targets', targets, current.targets, source);
				return;
			}

			const previous = current.targets;
			targetHistory.record(current.targets, targets);
			current.targets = targets;
			const followed = restoration.receiveTargets(targets);
			logger.info('targets_changed', {
				era: targets.era, revision: targets.revision, source, targets: targets.targets.length, leaving: followed.targets.filter(target => target.isLeaving).length,
			});
			bus.publish({type: 'traffic-targets-changed', targets: followed});
			const targetChanges = previous && targetHistory.getChanges(targets, previous);
			if (targetChanges) {
				pushChange({type: 'knowledge', targetChanges}, source);
			}

			publishRevisions();
		};

		/** Returns how long to wait for another way to a revision that the peer has. */
		const getLeadMilliseconds = (from: string): number => {
			if (introduction.isWaiting()) {
				return 0;
			}

			const isSentByOtherRelay = links.kind === 'attached' && links.ownRelayIds[0] !== from;
			return isSourceReader || isSentByOtherRelay || !regionPeers.has(from) ? sourceLeadMilliseconds : 0;
		};

		/** Requests the newer revisions from a peer that is ahead, once the better ways to them have had their time. */
		const compareRevisions = (from: string, peerRevisions: KnowledgeRevisions): void => {
			const ownRevisions = getRevisions();
			const now = clock.monotonic();
			const parts = knowledgeParts.filter(part => {
				const ownRevision = getPartRevision(ownRevisions, part, 0);
				const behind = behindByPart.get(part);
				if (!isLaterRevision(getPartRevision(peerRevisions, part, ownRevision.era), ownRevision)) {
					return false;
				}

				// Peers that aren't ahead say nothing about how long this node has been behind.
				const since = behind && isSameRevision(behind.ownRevision, ownRevision) ? behind.since : now;
				behindByPart.set(part, {ownRevision, since});
				return now - since >= getLeadMilliseconds(from) && now - (requestedAt.get(part) ?? Number.NEGATIVE_INFINITY) >= requestIntervalMilliseconds;
			});
			if (parts.length === 0) {
				return;
			}

			for (const part of parts) {
				requestedAt.set(part, now);
			}

			logger.info('knowledge_behind', {peer: from, parts: parts.join(','), milliseconds: Math.round(Math.max(...parts.map(part => now - (behindByPart.get(part)?.since ?? now))))});
			bus.publish({type: 'traffic-source-behind'});
			bus.publish({
				type: 'peer-send', to: from, message: {
					type: 'knowledge-wish', parts, targetsEra: current.targets?.era ?? noRevision.era, ...(current.targets && {targetsRevision: current.targets.revision}),
				},
			});
		};

		const sendKnowledge = (to: string, {parts, targetsEra: era, targetsRevision: revision}: KnowledgeRequest): void => {
			const targetChanges = current.targets && revision !== undefined ? targetHistory.getChanges(current.targets, {era, revision}) : undefined;
			const message: KnowledgeMessage = {
				type: 'knowledge',
				...(parts.includes('configuration') && {configuration: current.configuration}),
				...(parts.includes('orders') && {orders: current.orders}),
				...(parts.includes('targets') && (targetChanges ? {targetChanges} : {targets: current.targets})),
				...(revision === undefined && {held: restoration.getHeld()}),
			};
			bus.publish({type: 'peer-send', to, message});
		};

		/** Ignores changes after a revision that this node doesn't have; it requests all targets with the peer's next report. */
		const applyTargetChanges = ({era, after, revision, changed, removed}: TargetChanges, from: string): void => {
			if (current.targets?.era !== era || after > current.targets.revision || revision <= current.targets.revision) {
				return;
			}

			const targets = new Map(current.targets.targets.map(target => [target.id, target]));
			for (const id of removed) {
				targets.delete(id);
			}

			for (const target of changed) {
				targets.set(target.id, target);
			}

			applyTargets({era, revision, targets: [...targets.values()]}, from);
		};

		const applyPeerKnowledge = ({configuration, orders, targets, targetChanges, held}: KnowledgeMessage, from: string): void => {
			if (held) {
				restoration.addHeld(held);
			}

			if (configuration) {
				applyConfiguration(configuration, from);
			}

			if (orders) {
				applyOrders({...orders, era: getNamedEra(orders, current.orders)}, from);
			}

			if (targets) {
				applyTargets({...targets, era: getNamedEra(targets, current.targets)}, from);
			}

			if (targetChanges) {
				applyTargetChanges({...targetChanges, era: getNamedEra(targetChanges, current.targets)}, from);
			}

			// A peer without a configuration starts, too.
			if (held && configuration) {
				introduction.end(from);
			}
		};

		const unsubscribers = [
			bus.subscribe('traffic-configuration-read', ({configuration}) => {
				introduction.apply(() => {
					applyConfiguration(configuration, ownSource);
				});
			}),
			bus.subscribe('traffic-orders-read', ({orders}) => {
				introduction.apply(() => {
					applyOrders(orders, ownSource);
				});
			}),
			bus.subscribe('traffic-targets-read', ({targets}) => {
				introduction.apply(() => {
					applyTargets(targets, ownSource);
				});
			}),
			bus.subscribe('source-readers-changed', message => {
				isSourceReader = message.isReader;
			}),
			bus.subscribe('fleet-links-changed', message => {
				links = message.links;
			}),
			bus.subscribe('serving-gateways-changed', ({members}) => {
				regionPeers = new Set(members.filter(({id, region}) => id !== ownId && region === ownRegion).map(({id}) => id));
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'gateway-report') {
					compareRevisions(from, message.revisions);
					if (message.sourceMissingMilliseconds !== undefined) {
						bus.publish({type: 'traffic-source-regained', missingMilliseconds: message.sourceMissingMilliseconds, from});
					}
				}

				if (message.type === 'knowledge-wish') {
					sendKnowledge(from, message);
				}

				if (message.type === 'knowledge') {
					applyPeerKnowledge(message, from);
				}
			}),
		];
		return {
			async stop() {
				introduction.stop();
				restoration.stop();
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}
			},
		};
	},
});

/** @param ownEra taken for a peer of an older build, which names none */
function getPartRevision(revisions: KnowledgeRevisions, part: KnowledgePart, ownEra: number): SourceRevision {
	return {era: part === 'configuration' ? 0 : revisions.eras?.[part] ?? ownEra, revision: revisions[part]};
}

/** Returns the era of a peer's state; one of an older build, which names none, counts as of the era of what this node has. */
function getNamedEra(state: SourceRevision, own: SourceRevision | undefined): number {
	return state.era === 0 && own ? own.era : state.era;
}
