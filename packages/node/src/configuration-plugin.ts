/**
 * Maintains the node's effective configuration. Reads it from the table,
 * receives it from peers and forwards it at once. Never returns to a lower
 * version.
 */
import {isDeepStrictEqual} from 'node:util';
import {type VersionedConfiguration, type VersionedConfigurationRecord, parseConfiguration} from '@catkindale/policy';
import {readConfigurationRecord} from './configuration-change.js';
import {createConfigurationMessage, createConfigurationForwarder} from './configuration-forwarder.js';
import {createConfigurationStore} from './configuration-store.js';
import {rowKeys, roles} from './constants.js';
import {isFresh} from './freshness-validity.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {findRouteIssues} from './routing-table.js';
import {startTablePoller} from './table-poller.js';

const startOrder = 20;

nodePlugins.register({
	name: 'configuration',
	roles,
	order: startOrder,
	async start(context) {
		const {bus} = context;
		const store = createConfigurationStore();
		const forwarder = createConfigurationForwarder(context);
		let active: VersionedConfiguration | undefined;
		let refusedVersion: number | undefined;

		const activate = (): void => {
			const effective = store.getEffective();
			if (!effective || isDeepStrictEqual(effective, active)) {
				return;
			}

			if (effective.version !== active?.version) {
				context.logger.info('configuration_in_force', {version: effective.version});
			}

			active = effective;
			bus.publish({type: 'configuration-changed', ...effective});
		};

		/** Whether the node can route by the record; of one that it can't, the version is logged once. */
		const isUsable = ({version, configuration}: VersionedConfigurationRecord, source: string): boolean => {
			const [issue] = findRouteIssues(configuration.routes);
			if (issue && refusedVersion !== version) {
				refusedVersion = version;
				context.logger.error('configuration_unreadable', {version, source, reason: issue.reason});
			}

			return issue === undefined;
		};

		const receiveRecord = (record: VersionedConfigurationRecord, source: string): void => {
			if (record.version > store.getLatest().version && !isUsable(record, source)) {
				return;
			}

			if (!store.update(record)) {
				// A read may return this node's own change before the response to the write arrives. The peers still need the push.
				if (source === 'change' && record.version === store.getLatest().version) {
					forwarder.forward(record, source);
				}

				return;
			}

			context.logger.info('configuration_known', {version: record.version, source});
			forwarder.forward(record, source);
			activate();
			bus.publish({type: 'configuration-known', record});
		};

		const poll = async (): Promise<void> => {
			const startedAt = context.clock.monotonic();
			const record = await readTableRecord(context);
			if (!record) {
				return;
			}

			store.allowActivation();
			receiveRecord(record, 'table');
			activate();
			if (record.version > store.getLatest().version) {
				// The record can't be used. Its restrictions aren't in force, so that what is known counts as out of date.
				return;
			}

			if (record.version < store.getLatest().version) {
				context.logger.warn('table_behind', {version: record.version, known: store.getLatest().version});
				return;
			}

			bus.publish({type: 'configuration-read', startedAt});
			bus.publish({type: 'table-read'});
		};

		const poller = startTablePoller(context, poll);
		const subscriptions = [
			bus.subscribe('configuration-committed', poller.readSoon),
			bus.subscribe('configuration-received', ({record, source}) => {
				receiveRecord(record, source);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				const latest = store.getLatest();
				if (latest.version > 0) {
					bus.publish({type: 'peer-send', to: id, message: createConfigurationMessage(latest)});
				}
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'configuration') {
					receiveRecord(message, from);
				}
			}),
			bus.subscribe('freshness-changed', ({validity}) => {
				if (isFresh(validity, context.clock)) {
					store.allowActivation();
					activate();
				}
			}),
			bus.subscribe('restrictions-changed', ({restrictions}) => {
				store.setRestrictions(restrictions);
				activate();
			}),
			bus.subscribe('leaving-targets-changed', ({targets}) => {
				store.setLeavingTargets(targets);
				activate();
			}),
		];
		return {
			onAllStarted: poll,
			async stop() {
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}

				forwarder.stop();
				await poller.stop();
			},
		};
	},
});

async function readTableRecord(context: NodeContext): Promise<VersionedConfigurationRecord | undefined> {
	const outcome = await readConfigurationRecord(context);
	if (outcome.kind !== 'done') {
		context.logger.warn('table_read_failed', {row: rowKeys.configuration, outcome: outcome.kind});
		return undefined;
	}

	const parsed = outcome.value.version === 0 ? undefined : parseConfiguration(outcome.value.configuration);
	if (parsed && !parsed.ok) {
		context.logger.error('configuration_unreadable', {version: outcome.value.version, reason: parsed.error[0]?.reason});
		return undefined;
	}

	return outcome.value;
}
