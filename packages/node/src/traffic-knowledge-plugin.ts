/**
 * Holds the traffic configuration, the operator's orders and the registered
 * targets of this gateway. Each of them has a revision that only increases.
 * Updates come from the node's own source or, if that is cut off, from a peer
 * that reports a higher revision.
 */
import type {TrafficConfiguration} from '@catkindale/policy';
import type {
	KnowledgeMessage, KnowledgePart, KnowledgeRevisions, RegisteredTargets, TrafficOrders,
} from '@catkindale/protocol';
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';

const startOrder = 15;
/** How long the node's own source may take to deliver a revision that a peer has already. */
const sourceLeadMilliseconds = 300;
const requestIntervalMilliseconds = 500;

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
		const {bus, clock, logger} = context;
		const current: Knowledge = {};
		/** Monotonic time since which a peer has had a higher revision. */
		let behindSince: number | undefined;
		let requestedAt = Number.NEGATIVE_INFINITY;

		const getRevisions = (): KnowledgeRevisions => ({
			configuration: current.configuration?.version ?? 0,
			orders: current.orders?.revision ?? 0,
			targets: current.targets?.revision ?? 0,
		});

		const publishRevisions = (): void => {
			bus.publish({type: 'knowledge-revised', revisions: getRevisions()});
		};

		const applyConfiguration = (configuration: TrafficConfiguration, source: string): void => {
			const previous = current.configuration?.version ?? 0;
			if (configuration.version <= previous) {
				return;
			}

			current.configuration = configuration;
			logger.info('configuration_in_force', {
				version: configuration.version, previous, source, routes: configuration.routes.length, customers: configuration.customers.length,
			});
			bus.publish({type: 'traffic-configuration-changed', configuration});
			publishRevisions();
		};

		const applyOrders = (orders: TrafficOrders, source: string): void => {
			if (current.orders && orders.revision <= current.orders.revision) {
				return;
			}

			current.orders = orders;
			logger.info('orders_changed', {
				revision: orders.revision, source, versions: orders.versions.map(({service, version}) => `${service}:${version}`).join(','), evacuated: orders.evacuatedZones.join(','),
			});
			bus.publish({type: 'traffic-orders-changed', orders});
			publishRevisions();
		};

		const applyTargets = (targets: RegisteredTargets, source: string): void => {
			if (current.targets && targets.revision <= current.targets.revision) {
				return;
			}

			current.targets = targets;
			logger.info('targets_changed', {
				revision: targets.revision, source, targets: targets.targets.length, leaving: targets.targets.filter(target => target.isLeaving).length,
			});
			bus.publish({type: 'traffic-targets-changed', targets});
			publishRevisions();
		};

		/** Requests the newer revisions from a peer that is ahead, once this node's source has had time to deliver them. */
		const compareRevisions = (from: string, peerRevisions: KnowledgeRevisions): void => {
			const ownRevisions = getRevisions();
			const parts = (Object.keys(ownRevisions) as KnowledgePart[]).filter(part => peerRevisions[part] > ownRevisions[part]);
			const now = clock.monotonic();
			if (parts.length === 0) {
				behindSince = undefined;
				return;
			}

			behindSince ??= now;
			if (now - behindSince >= sourceLeadMilliseconds && now - requestedAt >= requestIntervalMilliseconds) {
				requestedAt = now;
				logger.info('knowledge_behind', {peer: from, parts: parts.join(','), milliseconds: Math.round(now - behindSince)});
				bus.publish({type: 'traffic-source-behind'});
				bus.publish({type: 'peer-send', to: from, message: {type: 'knowledge-wish', parts}});
			}
		};

		const sendKnowledge = (to: string, parts: readonly KnowledgePart[]): void => {
			const message: KnowledgeMessage = {
				type: 'knowledge',
				...(parts.includes('configuration') && {configuration: current.configuration}),
				...(parts.includes('orders') && {orders: current.orders}),
				...(parts.includes('targets') && {targets: current.targets}),
			};
			bus.publish({type: 'peer-send', to, message});
		};

		const applyPeerKnowledge = ({configuration, orders, targets}: KnowledgeMessage, from: string): void => {
			if (configuration) {
				applyConfiguration(configuration, from);
			}

			if (orders) {
				applyOrders(orders, from);
			}

			if (targets) {
				applyTargets(targets, from);
			}
		};

		const unsubscribers = [
			bus.subscribe('traffic-configuration-read', ({configuration}) => {
				applyConfiguration(configuration, 'table');
			}),
			bus.subscribe('traffic-orders-read', ({orders}) => {
				applyOrders(orders, 'table');
			}),
			bus.subscribe('traffic-targets-read', ({targets}) => {
				applyTargets(targets, 'table');
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'gateway-report') {
					compareRevisions(from, message.revisions);
					if (message.sourceMissingMilliseconds !== undefined) {
						bus.publish({type: 'traffic-source-regained', missingMilliseconds: message.sourceMissingMilliseconds, from});
					}
				}

				if (message.type === 'knowledge-wish') {
					sendKnowledge(from, message.parts);
				}

				if (message.type === 'knowledge') {
					applyPeerKnowledge(message, from);
				}
			}),
		];
		return {
			async stop() {
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}
			},
		};
	},
});
