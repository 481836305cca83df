/**
 * Connects this gateway with the others: keeps links to some or all of them,
 * reports its state over these in heartbeats, and publishes which gateways
 * lookups may return, what customers demand, and which of them follow the store.
 */
import type {LogFields} from '@catkindale/common';
import {
	type Member, chooseOwnRelays, getRelayCount, maximumMeshGateways,
} from '@catkindale/policy';
import type {
	AttachedGateways, RelayView, GatewayReport, KnowledgeRevisions, TargetLimit,
} from '@catkindale/protocol';
import {gatewayRole} from './constants.js';
import {type FleetLinks, createFleetLinks} from './fleet-links.js';
import {createFleetMembers} from './fleet-members.js';
import {createFleetReaders} from './fleet-readers.js';
import {startFleetRows} from './fleet-rows.js';
import {createFleetView, getPhase, percentPerUnit} from './fleet-view.js';
import {getOwnMember, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 12;
const utilizationDigits = 2;
const requestRateDigits = 1;
const updateDelayMilliseconds = 20;

type ReportAdditions = Pick<GatewayReport, 'sourceMissingMilliseconds' | 'targetLimits'>;

nodePlugins.register({
	name: 'fleet',
	roles: [gatewayRole],
	order: startOrder,
	async start(context) {
		const {bus, clock, logger, settings} = context;
		const {heartbeatMilliseconds} = settings.timing;
		const {name: ownId} = settings.node;
		const view = createFleetView(clock, settings.gateway.peerSilenceMilliseconds);
		const members = createFleetMembers(context, {
			onAdded() {
				updateSoon();
			},
			onExpired({id, incarnation}) {
				view.forget(id);
				fleetLinks.forget(id);
				logger.info('gateway_forgotten', {gateway: id, incarnation});
			},
		});
		const readers = createFleetReaders(context, view);
		let revisions: KnowledgeRevisions = {configuration: 0, orders: 0, targets: 0};
		let demands: Readonly<Record<string, number>> = {};
		let requestRate = 0;
		let isDraining = false;
		let isSourceFailing = false;
		let links: FleetLinks = {kind: 'mesh'};
		let linksKey = '';
		let serving: Member[] = [];
		let servingIds: readonly string[] = [];
		let servingKey = '';
		let utilization = 0;
		/** Monotonic time of the end of this process's last pause. */
		let resumedAt = Number.NEGATIVE_INFINITY;
		/** Limits of targets that the next heartbeat reports. */
		let changedLimits: readonly TargetLimit[] = [];
		let updateTimer: NodeJS.Timeout | undefined;
		/** The lists that each attached gateway was sent last. */
		const sentLists = new Map<string, string>();
		const fleetLinks = createFleetLinks({
			clock, own: {id: ownId, region: settings.node.region}, members, view, isDraining: () => isDraining,
		});

		const isServing = (): boolean => revisions.configuration > 0 && !isDraining;

		const updateLinks = (): void => {
			const changes = fleetLinks.update();
			({links} = changes);
			bus.publish({type: 'peers-wanted', members: changes.dial});
			for (const id of changes.close) {
				bus.publish({type: 'peer-close', id});
			}

			const key = JSON.stringify(links);
			if (key !== linksKey) {
				linksKey = key;
				logger.info('fleet_links', describeLinks(links));
				bus.publish({type: 'fleet-links-changed', links});
			}
		};

		const publishServing = (): void => {
			const contacts = view.getContacts();
			serving = members.getAll().filter(({id}) => contacts.get(id)?.phase === 'serving');
			if (isServing()) {
				serving.push(getOwnMember(context));
			}

			// Sorts by code units, because a locale comparison would load its rules while callers wait for a starting gateway.
			const key = serving.map(({id, incarnation}) => `${id} ${incarnation}`).toSorted().join(',');
			if (key !== servingKey) {
				servingKey = key;
				const ids = serving.map(({id}) => id);
				logger.info('serving_gateways', {
					count: ids.length, added: ids.filter(id => !servingIds.includes(id)).join(','), removed: servingIds.filter(id => !ids.includes(id)).join(','),
				});
				servingIds = ids;
				bus.publish({type: 'serving-gateways-changed', members: serving});
			}

			readers.update({
				links, serving, isServing: isServing(), isSourceFailing,
			});
		};

		/** Changes that arrive together, as when many gateways start, are handled at once. */
		const updateSoon = (): void => {
			updateTimer ??= setTimeout(() => {
				updateTimer = undefined;
				updateLinks();
				publishServing();
			}, updateDelayMilliseconds);
		};

		const publishDemands = (): void => {
			const now = clock.monotonic();
			const contacts = view.getContacts();
			const demandsByGateway = new Map<string, Readonly<Record<string, number>>>([[ownId, demands]]);
			const requestRates = new Map([[ownId, requestRate]]);
			for (const [id, peer] of view.peers) {
				if (peer.report && peer.receivedAt >= resumedAt && now - peer.receivedAt <= settings.gateway.shareHoldMilliseconds) {
					demandsByGateway.set(id, peer.report.demands);
					requestRates.set(id, peer.report.requestRate ?? 0);
				}
			}

			const fleet = members.getFleet();
			if (fleet.length > maximumMeshGateways) {
				// Only the rates of linked gateways are known, which differ by gateway. Parts of a limit add up only if all gateways use the same rates.
				for (const id of [...contacts.keys(), ...requestRates.keys()]) {
					requestRates.set(id, 0);
				}
			}

			const attached = new Set(links.kind === 'relay' ? links.attachedIds : []);
			bus.publish({
				type: 'customer-demands-changed',
				demands: new Map([...demandsByGateway].filter(([id]) => !attached.has(id))),
				requestRates,
				fleet: {
					known: fleet.length, inContact: Math.max(demandsByGateway.size, contacts.size + 1), deciders: getRelayCount(fleet.length), regions: new Set(fleet.map(({region}) => region)).size,
				},
			});
		};

		/** Utilizations of the serving gateways. An attached gateway knows the mean of each zone. */
		const getUtilizations = (): Map<string, number> => {
			const contacts = view.getContacts();
			const zoneUses = view.getZoneUses();
			const isAttached = links.kind === 'attached';
			return new Map(serving.map(({id, zone}) => [id, id === ownId ? utilization : (isAttached ? zoneUses.get(zone) : contacts.get(id)?.use) ?? 0]));
		};

		const createReport = (additions: ReportAdditions = {}): GatewayReport => ({
			type: 'gateway-report',
			isServing: isServing(),
			use: utilization,
			revisions,
			demands,
			requestRate: Number(requestRate.toFixed(requestRateDigits)),
			answersAdmissions: true,
			membersDigest: members.getDigest(),
			...(isSourceFailing && {isSourceFailing}),
			...additions,
		});

		const broadcastReport = (additions?: ReportAdditions): void => {
			const report = createReport(additions);
			switch (links.kind) {
				case 'mesh':
				case 'attached': {
					bus.publish({type: 'peer-broadcast', message: report});
					break;
				}

				case 'relay': {
					const attached = new Set(links.attachedIds);
					const others = [...view.peers].filter(([id, {isConnected}]) => isConnected && !attached.has(id)).map(([id]) => id);
					bus.publish({type: 'peer-broadcast', message: report, to: others});
					bus.publish({type: 'peer-broadcast', message: {...report, demands: {}}, to: links.attachedIds});
					break;
				}
			}
		};

		const createLists = (relayIds: readonly string[]): NonNullable<RelayView['lists']> => ({
			relays: [...relayIds],
			serving: [...servingIds],
			starting: [...view.getContacts()].filter(([, {phase}]) => phase === 'starting').map(([id]) => id),
		});

		const getMeanUses = (): Record<string, number> => {
			const sums = new Map<string, {use: number; gateways: number}>();
			const utilizations = getUtilizations();
			for (const {id, zone} of serving) {
				const sum = sums.get(zone) ?? {use: 0, gateways: 0};
				sums.set(zone, {use: sum.use + (utilizations.get(id) ?? 0), gateways: sum.gateways + 1});
			}

			return Object.fromEntries([...sums].map(([zone, {use, gateways}]) => [zone, Number((use / gateways).toFixed(utilizationDigits))]));
		};

		/** Tells the other relays of the gateways linked to this one, and the attached gateways of the fleet. */
		const sendRelayMessages = (): void => {
			if (links.kind !== 'relay') {
				sentLists.clear();
				return;
			}

			const gateways = [...view.peers]
				.filter(([id]) => view.isFresh(id, settings.gateway.peerSilenceMilliseconds))
				.map(([id, {report}]): AttachedGateways['gateways'][number] => [id, getPhase(report!), Math.round(report!.use * percentPerUnit)]);
			bus.publish({type: 'peer-broadcast', message: {type: 'attached-gateways', gateways}, to: links.relayIds.filter(id => id !== ownId)});
			const lists = createLists(links.relayIds);
			const listsKey = JSON.stringify(lists);
			const zoneUses = getMeanUses();
			const isCurrent = (id: string): boolean => sentLists.get(id) === listsKey;
			bus.publish({type: 'peer-broadcast', message: {type: 'fleet-view', zoneUses}, to: links.attachedIds.filter(id => isCurrent(id))});
			const outdatedIds = links.attachedIds.filter(id => !isCurrent(id));
			bus.publish({type: 'peer-broadcast', message: {type: 'fleet-view', lists, zoneUses}, to: outdatedIds});
			for (const id of outdatedIds) {
				sentLists.set(id, listsKey);
			}
		};

		const sendHeartbeat = async (): Promise<void> => {
			bus.publish({type: 'heartbeat-sending'});
			utilization = Number(context.eventLoopMonitor.takeUtilization().toFixed(utilizationDigits));
			updateLinks();
			publishServing();
			broadcastReport(changedLimits.length > 0 ? {targetLimits: [...changedLimits]} : {});
			changedLimits = [];
			sendRelayMessages();
			for (const id of view.getContacts().keys()) {
				members.recordContact(id);
			}

			members.requestList();
			bus.publish({type: 'gateway-utilizations-changed', utilizations: getUtilizations()});
			publishDemands();
		};

		/** Spares the gateways linked to this relay a request for the whole list. */
		const forwardMembers = (added: readonly Member[], from: string): void => {
			const {kind} = links;
			if (kind !== 'relay' || added.length === 0) {
				return;
			}

			const {relayIds, attachedIds} = links;
			const message = {type: 'known-members' as const, members: [...added]};
			bus.publish({type: 'peer-broadcast', message, to: attachedIds.filter(id => id !== from)});
			const newcomer = added.find(({id}) => id === from);
			const relays = members.getFleet().filter(({id}) => relayIds.includes(id));
			// Only one of the relays that a newcomer introduces itself to tells the others.
			if (newcomer && chooseOwnRelays(newcomer, relays)[0] === ownId) {
				bus.publish({type: 'peer-broadcast', message: {type: 'known-members', members: [newcomer]}, to: relayIds.filter(id => id !== from)});
			}
		};

		const receiveReport = (from: string, report: GatewayReport): void => {
			const previous = view.recordReport(from, report);
			members.recordContact(from);
			members.receiveDigest(from, report.membersDigest);
			members.requestList();
			if (previous?.isServing !== report.isServing || previous.isSourceFailing !== report.isSourceFailing) {
				updateSoon();
			}
		};

		const subscriptions = [
			bus.subscribe('knowledge-revised', message => {
				const wasServing = isServing();
				const isConfigurationNew = message.revisions.configuration !== revisions.configuration;
				const isEraNew = hasEraRisen(revisions, message.revisions);
				revisions = message.revisions;
				if (isServing() !== wasServing) {
					broadcastReport();
					publishServing();
				} else if ((isConfigurationNew || isEraNew) && (readers.isReader() || links.kind === 'relay')) {
					// The gateways that don't follow the store hear of the configuration and of a later era from this report; other changes are sent to them.
					broadcastReport();
				}
			}),
			bus.subscribe('process-paused', () => {
				resumedAt = clock.monotonic();
				publishDemands();
			}),
			bus.subscribe('traffic-source-state-changed', message => {
				isSourceFailing = message.isFailing;
				broadcastReport();
				publishServing();
			}),
			bus.subscribe('own-demands-measured', message => {
				({demands, requestRate} = message);
			}),
			bus.subscribe('target-limits-changed', message => {
				changedLimits = message.limits;
			}),
			bus.subscribe('peer-connected', ({id}) => {
				view.setConnected(id, true);
				sentLists.delete(id);
				members.introduceTo(id);
				updateSoon();
				bus.publish({type: 'peer-send', to: id, message: createReport()});
			}),
			bus.subscribe('peer-disconnected', ({id}) => {
				view.setConnected(id, false);
				members.removePeer(id);
				updateSoon();
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'known-members') {
					forwardMembers(members.receiveList(from, message.members), from);
				}

				if (message.type === 'members-request') {
					members.sendList(from);
				}

				if (message.type === 'gateway-report') {
					receiveReport(from, message);
				}

				if (message.type === 'attached-gateways' && view.recordAttached(from, message)) {
					updateSoon();
				}

				if (message.type === 'fleet-view' && view.recordRelayView(from, message)) {
					updateSoon();
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
		const heartbeats = startPeriodicWork(sendHeartbeat, heartbeatMilliseconds);
		const rows = startFleetRows(context, members, () => serving);
		return {
			async onAllStarted() {
				// Serving doesn't wait for the table; the search for peers is repeated.
				rows.runSoon();
			},
			async stop() {
				clearTimeout(updateTimer);
				await Promise.all([heartbeats.stop(), rows.stop()]);
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}
			},
		};
	},
});

function describeLinks(links: FleetLinks): LogFields {
	const {kind} = links;
	switch (kind) {
		case 'mesh': {
			return {kind};
		}

		case 'relay': {
			return {kind, relays: links.relayIds.length, attached: links.attachedIds.length};
		}

		case 'attached': {
			return {kind, own: links.ownRelayIds.join(',')};
		}
	}
}

function hasEraRisen(previous: KnowledgeRevisions, next: KnowledgeRevisions): boolean {
	return (['orders', 'targets'] as const).some(part => {
		const era = previous.eras?.[part] ?? 0;
		return era > 0 && (next.eras?.[part] ?? 0) > era;
	});
}
