/**
 * Keeps the configuration in force: reads it from the table, takes it from
 * peers, and never goes back to a lower version.
 */
import {type VersionedConfiguration, parseConfiguration} from '@catkindale/policy';
import {rowKeys, roles} from './constants.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 20;

nodePlugins.register({
	name: 'configuration',
	roles,
	order: startOrder,
	async start(context) {
		let current: VersionedConfiguration = {
			version: 0, configuration: {
				regions: [], links: [], customers: [], keys: [], services: [], routes: [], targets: [], rollouts: [], shifts: [], drains: [], clientBlocks: [],
			},
		};

		const accept = (candidate: VersionedConfiguration, source: string): void => {
			if (candidate.version <= current.version) {
				return;
			}

			current = candidate;
			context.logger.info('configuration_in_force', {version: candidate.version, source});
			context.bus.publish({type: 'configuration-changed', ...candidate});
		};

		const poll = async (): Promise<void> => {
			const read = await readConfiguration(context);
			if (read) {
				accept(read, 'table');
			}
		};

		const work = startPeriodicWork(poll, context.settings.timing.tablePollMilliseconds);
		const endings = [
			context.bus.subscribe('configuration-committed', work.runSoon),
			context.bus.subscribe('peer-connected', ({id}) => {
				if (current.version > 0) {
					context.bus.publish({type: 'peer-send', to: id, message: {type: 'configuration', ...current}});
				}
			}),
			context.bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'configuration') {
					accept({version: message.version, configuration: message.configuration}, from);
				}
			}),
		];
		await poll();
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

async function readConfiguration(context: NodeContext): Promise<VersionedConfiguration | undefined> {
	const outcome = await context.platform.table.get(rowKeys.configuration);
	if (outcome.kind !== 'done') {
		context.logger.warn('table_read_failed', {row: rowKeys.configuration, outcome: outcome.kind});
		return undefined;
	}

	context.bus.publish({type: 'table-read'});
	if (!outcome.value) {
		return undefined;
	}

	const parsed = parseConfiguration(outcome.value.value);
	if (!parsed.ok) {
		context.logger.error('configuration_unreadable', {version: outcome.value.version, reason: parsed.error[0]?.reason});
		return undefined;
	}

	return {version: outcome.value.version, configuration: parsed.value};
}
