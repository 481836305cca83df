/**
 * Keeps the configuration in force: reads it from the table, takes it from
 * peers and passes it on at once, and never goes back to a lower version.
 */
import {isDeepStrictEqual} from 'node:util';
import {type VersionedConfiguration, type VersionedRecord, parseConfiguration} from '@catkindale/policy';
import {readConfigurationRecord} from './configuration-change.js';
import {createConfigurationMessage, createConfigurationForwarder} from './configuration-forwarder.js';
import {createConfigurationStore} from './configuration-store.js';
import {rowKeys, roles} from './constants.js';
import {isFresh} from './freshness-validity.js';
import {type NodeContext, nodePlugins} from './node-context.js';
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
		let inForce: VersionedConfiguration | undefined;

		const putInForce = (): void => {
			const effective = store.getEffective();
			if (!effective || isDeepStrictEqual(effective, inForce)) {
				return;
			}

			if (effective.version !== inForce?.version) {
				context.logger.info('configuration_in_force', {version: effective.version});
			}

			inForce = effective;
			bus.publish({type: 'configuration-changed', ...effective});
		};

		const learn = (record: VersionedRecord, source: string): void => {
			if (!store.update(record)) {
				// A read may have shown the own change before its answer came; the peers still wait for the push.
				if (source === 'change' && record.version === store.getLatest().version) {
					forwarder.forward(record, source);
				}

				return;
			}

			context.logger.info('configuration_known', {version: record.version, source});
			forwarder.forward(record, source);
			putInForce();
			bus.publish({type: 'configuration-known', record});
		};

		const poll = async (): Promise<void> => {
			const startedAt = context.clock.monotonic();
			const record = await readTable(context);
			if (!record) {
				return;
			}

			store.allowActivation();
			learn(record, 'table');
			putInForce();
			if (record.version < store.getLatest().version) {
				context.logger.warn('table_behind', {version: record.version, known: store.getLatest().version});
				return;
			}

			bus.publish({type: 'configuration-read', startedAt});
			bus.publish({type: 'table-read'});
		};

		const reading = startTablePoller(context, poll);
		const endings = [
			bus.subscribe('configuration-committed', reading.readSoon),
			bus.subscribe('configuration-received', ({record, source}) => {
				learn(record, source);
			}),
			bus.subscribe('peer-connected', ({id}) => {
				const known = store.getLatest();
				if (known.version > 0) {
					bus.publish({type: 'peer-send', to: id, message: createConfigurationMessage(known)});
				}
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'configuration') {
					learn(message, from);
				}
			}),
			bus.subscribe('freshness-changed', ({validity}) => {
				if (isFresh(validity, context.clock)) {
					store.allowActivation();
					putInForce();
				}
			}),
			bus.subscribe('restrictions-changed', ({restrictions}) => {
				store.setRestrictions(restrictions);
				putInForce();
			}),
			bus.subscribe('leaving-targets-changed', ({targets}) => {
				store.setLeavingTargets(targets);
				putInForce();
			}),
		];
		return {
			begin: poll,
			async stop() {
				for (const end of endings) {
					end();
				}

				forwarder.stop();
				await reading.stop();
			},
		};
	},
});

async function readTable(context: NodeContext): Promise<VersionedRecord | undefined> {
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
