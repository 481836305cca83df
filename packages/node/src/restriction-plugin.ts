/**
 * Keeps the restrictions that no configuration contains yet: spreads them the
 * moment they are known, gives them to peers that connect, and records them
 * in the table as soon as it can be written.
 */
import {type Result, rankMembers, succeed} from '@catkindale/common';
import {
	type Configuration, type Restriction, type VersionedRecord, restrictConfiguration,
} from '@catkindale/policy';
import {editConfiguration} from './configuration-change.js';
import {roles} from './constants.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 21;
const recordPauseMilliseconds = 1000;
/** Pause before the next node in rank tries to record a restriction. */
const rankPauseMilliseconds = 2000;
const maximumRestrictions = 1000;

type Held = {readonly restriction: Restriction; readonly heldSince: number};

nodePlugins.register({
	name: 'restriction',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, clock, settings} = context;
		const held = new Map<string, Held>();
		const settled = new Set<string>();
		let peerIds: readonly string[] = [];

		const publish = (): void => {
			bus.publish({type: 'restrictions-changed', restrictions: [...held.values()].map(({restriction}) => restriction)});
		};

		const take = (restrictions: readonly Restriction[]): void => {
			const unknown = restrictions.filter(({id}) => !held.has(id) && !settled.has(id)).slice(0, maximumRestrictions - held.size);
			if (unknown.length === 0) {
				return;
			}

			for (const restriction of unknown) {
				held.set(restriction.id, {restriction, heldSince: clock.monotonic()});
				context.logger.info('restriction_in_force', {restriction: restriction.id, kind: restriction.kind, author: restriction.author});
			}

			publish();
			bus.publish({type: 'peer-broadcast', message: {type: 'restrictions', restrictions: unknown}});
		};

		const settle = (record: VersionedRecord): void => {
			settled.clear();
			for (const {restriction} of record.history) {
				if (restriction !== undefined) {
					settled.add(restriction);
				}
			}

			const done = [...held.keys()].filter(id => settled.has(id));
			for (const id of done) {
				held.delete(id);
			}

			if (done.length > 0) {
				publish();
			}
		};

		const record = async (): Promise<void> => {
			for (const {restriction, heldSince} of held.values()) {
				const rank = rankMembers(restriction.id, [settings.node.name, ...peerIds].map(id => ({id})))
					.findIndex(({id}) => id === settings.node.name);
				if (clock.monotonic() - heldSince >= recordPauseMilliseconds + (rank * rankPauseMilliseconds)) {
					const outcome = await editConfiguration(context, createRestrictionEdit(restriction), {author: restriction.author, restriction: restriction.id});
					context.logger.info('restriction_recorded', {restriction: restriction.id, outcome: outcome.kind});
				}
			}
		};

		const work = startPeriodicWork(record, recordPauseMilliseconds);
		const endings = [
			bus.subscribe('restriction-issued', ({restriction}) => {
				take([restriction]);
			}),
			bus.subscribe('configuration-known', known => {
				settle(known.record);
			}),
			bus.subscribe('membership-changed', ({members}) => {
				peerIds = members.map(({id}) => id).filter(id => id !== settings.node.name);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				if (held.size > 0) {
					const restrictions = [...held.values()].map(({restriction}) => restriction);
					bus.publish({type: 'peer-send', to: id, message: {type: 'restrictions', restrictions}});
				}
			}),
			bus.subscribe('peer-received', ({message}) => {
				if (message.type === 'restrictions') {
					take(message.restrictions);
				}
			}),
		];
		return {
			async stop() {
				for (const end of endings) {
					end();
				}

				await work.stop();
			},
		};
	},
});

/** The edit that records a restriction in the configuration. */
export function createRestrictionEdit(restriction: Restriction): (current: Configuration) => Result<Configuration, string> {
	return current => succeed(restrictConfiguration(current, [restriction]));
}
