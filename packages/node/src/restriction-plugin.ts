/**
 * Keeps the restrictions that no configuration contains yet: broadcasts them as
 * soon as they are received, sends them to peers that connect, and records them
 * in the table as soon as it can be written.
 */
import {type Result, rankMembers, succeed} from '@catkindale/common';
import {
	type Configuration, type Restriction, type VersionedConfigurationRecord, restrictConfiguration,
} from '@catkindale/policy';
import {editConfiguration} from './configuration-change.js';
import {roles} from './constants.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 21;
const recordIntervalMilliseconds = 1000;
/** Delay per rank before a node tries to record a restriction, so that usually only the first-ranked node does. */
const rankDelayMilliseconds = 2000;
const maximumRestrictions = 1000;

type PendingRestriction = {readonly restriction: Restriction; readonly receivedAt: number};

nodePlugins.register({
	name: 'restriction',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, clock, settings} = context;
		const pending = new Map<string, PendingRestriction>();
		const recordedIds = new Set<string>();
		let peerIds: readonly string[] = [];

		const publish = (): void => {
			bus.publish({type: 'restrictions-changed', restrictions: [...pending.values()].map(({restriction}) => restriction)});
		};

		const receiveRestrictions = (restrictions: readonly Restriction[]): void => {
			const added = restrictions.filter(({id}) => !pending.has(id) && !recordedIds.has(id)).slice(0, maximumRestrictions - pending.size);
			if (added.length === 0) {
				return;
			}

			for (const restriction of added) {
				pending.set(restriction.id, {restriction, receivedAt: clock.monotonic()});
				context.logger.info('restriction_in_force', {restriction: restriction.id, kind: restriction.kind, author: restriction.author});
			}

			publish();
			bus.publish({type: 'peer-broadcast', message: {type: 'restrictions', restrictions: added}});
		};

		const removeRecorded = (record: VersionedConfigurationRecord): void => {
			recordedIds.clear();
			for (const {restriction} of record.history) {
				if (restriction !== undefined) {
					recordedIds.add(restriction);
				}
			}

			const removedIds = [...pending.keys()].filter(id => recordedIds.has(id));
			for (const id of removedIds) {
				pending.delete(id);
			}

			if (removedIds.length > 0) {
				publish();
			}
		};

		const recordPending = async (): Promise<void> => {
			for (const {restriction, receivedAt} of pending.values()) {
				const rank = rankMembers(restriction.id, [settings.node.name, ...peerIds].map(id => ({id})))
					.findIndex(({id}) => id === settings.node.name);
				if (clock.monotonic() - receivedAt >= recordIntervalMilliseconds + (rank * rankDelayMilliseconds)) {
					const outcome = await editConfiguration(context, createRestrictionEdit(restriction), {author: restriction.author, restriction: restriction.id});
					context.logger.info('restriction_recorded', {restriction: restriction.id, outcome: outcome.kind});
				}
			}
		};

		const work = startPeriodicWork(recordPending, recordIntervalMilliseconds);
		const subscriptions = [
			bus.subscribe('restriction-issued', ({restriction}) => {
				receiveRestrictions([restriction]);
			}),
			bus.subscribe('configuration-known', message => {
				removeRecorded(message.record);
			}),
			bus.subscribe('membership-changed', ({members}) => {
				peerIds = members.map(({id}) => id).filter(id => id !== settings.node.name);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				if (pending.size > 0) {
					const restrictions = [...pending.values()].map(({restriction}) => restriction);
					bus.publish({type: 'peer-send', to: id, message: {type: 'restrictions', restrictions}});
				}
			}),
			bus.subscribe('peer-received', ({message}) => {
				if (message.type === 'restrictions') {
					receiveRestrictions(message.restrictions);
				}
			}),
		];
		return {
			async stop() {
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}

				await work.stop();
			},
		};
	},
});

/** Creates the edit that records a restriction in the configuration. */
export function createRestrictionEdit(restriction: Restriction): (current: Configuration) => Result<Configuration, string> {
	return current => succeed(restrictConfiguration(current, [restriction]));
}
