/**
 * Holds what this gateway knows of the traffic: the configuration, the
 * operator's orders and the registered targets. Each part has a revision that
 * only rises. News comes from the node's own source or, when that is cut off,
 * from a peer that reports a higher revision.
 */
import type {TrafficConfiguration} from '@catkindale/policy';
import type {
	KnowledgeMessage, KnowledgePart, KnowledgeRevisions, RegisteredTargets, TrafficOrders,
} from '@catkindale/protocol';
import {gatewayRole} from './constants.js';
import {nodePlugins} from './node-context.js';

const startOrder = 15;
/** The node's own source gets this long to bring what a peer has already. */
const sourceLeadMilliseconds = 300;
const wishPauseMilliseconds = 500;

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
		const known: Knowledge = {};
		/** Since when a peer has been ahead in any part. */
		let behindSince: number | undefined;
		let wishedAt = Number.NEGATIVE_INFINITY;

		const getRevisions = (): KnowledgeRevisions => ({
			configuration: known.configuration?.version ?? 0,
			orders: known.orders?.revision ?? 0,
			targets: known.targets?.revision ?? 0,
		});

		const publishRevisions = (): void => {
			bus.publish({type: 'knowledge-revised', revisions: getRevisions()});
		};

		const learnConfiguration = (configuration: TrafficConfiguration, source: string): void => {
			const previous = known.configuration?.version ?? 0;
			if (configuration.version <= previous) {
				return;
			}

			known.configuration = configuration;
			logger.info('configuration_in_force', {
				version: configuration.version, previous, source, routes: configuration.routes.length, customers: configuration.customers.length,
			});
			bus.publish({type: 'traffic-configuration-changed', configuration});
			publishRevisions();
		};

		const learnOrders = (orders: TrafficOrders, source: string): void => {
			if (known.orders && orders.revision <= known.orders.revision) {
				return;
			}

			known.orders = orders;
			logger.info('orders_changed', {
				revision: orders.revision, source, versions: orders.versions.map(({service, version}) => `${service}:${version}`).join(','), evacuated: orders.evacuatedZones.join(','),
			});
			bus.publish({type: 'traffic-orders-changed', orders});
			publishRevisions();
		};

		const learnTargets = (targets: RegisteredTargets, source: string): void => {
			if (known.targets && targets.revision <= known.targets.revision) {
				return;
			}

			known.targets = targets;
			logger.info('targets_changed', {
				revision: targets.revision, source, targets: targets.targets.length, leaving: targets.targets.filter(target => target.isLeaving).length,
			});
			bus.publish({type: 'traffic-targets-changed', targets});
			publishRevisions();
		};

		/** Asks a peer that is ahead, once the own source has had its time. */
		const compare = (from: string, theirs: KnowledgeRevisions): void => {
			const own = getRevisions();
			const parts = (Object.keys(own) as KnowledgePart[]).filter(part => theirs[part] > own[part]);
			const now = clock.monotonic();
			if (parts.length === 0) {
				behindSince = undefined;
				return;
			}

			behindSince ??= now;
			if (now - behindSince >= sourceLeadMilliseconds && now - wishedAt >= wishPauseMilliseconds) {
				wishedAt = now;
				logger.info('knowledge_behind', {peer: from, parts: parts.join(','), milliseconds: Math.round(now - behindSince)});
				bus.publish({type: 'traffic-source-behind'});
				bus.publish({type: 'peer-send', to: from, message: {type: 'knowledge-wish', parts}});
			}
		};

		const answerWish = (to: string, parts: readonly KnowledgePart[]): void => {
			const message: KnowledgeMessage = {
				type: 'knowledge',
				...(parts.includes('configuration') && {configuration: known.configuration}),
				...(parts.includes('orders') && {orders: known.orders}),
				...(parts.includes('targets') && {targets: known.targets}),
			};
			bus.publish({type: 'peer-send', to, message});
		};

		const learnFromPeer = ({configuration, orders, targets}: KnowledgeMessage, from: string): void => {
			if (configuration) {
				learnConfiguration(configuration, from);
			}

			if (orders) {
				learnOrders(orders, from);
			}

			if (targets) {
				learnTargets(targets, from);
			}
		};

		const endings = [
			bus.subscribe('traffic-configuration-read', ({configuration}) => {
				learnConfiguration(configuration, 'table');
			}),
			bus.subscribe('traffic-orders-read', ({orders}) => {
				learnOrders(orders, 'table');
			}),
			bus.subscribe('traffic-targets-read', ({targets}) => {
				learnTargets(targets, 'table');
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'gateway-report') {
					compare(from, message.revisions);
				}

				if (message.type === 'knowledge-wish') {
					answerWish(from, message.parts);
				}

				if (message.type === 'knowledge') {
					learnFromPeer(message, from);
				}
			}),
		];
		return {
			async stop() {
				for (const end of endings) {
					end();
				}
			},
		};
	},
});
