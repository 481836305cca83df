/**
 * Keeps the client blocks for the directory: the snapshot that the
 * configuration names in the object store, then the configuration's own
 * blocks. Work is done in short steps so that look-ups go on.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {decode} from 'cbor-x';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {
	type ClientBlockTable, type Configuration, type SiteChange, type VersionedConfiguration, changeClientBlocks, createClientBlockTable, parseClientBlockSnapshot, parseSiteChange,
} from '@catkindale/policy';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 18;
/** After this time a snapshot that couldn't be read is tried again. */
const retryMilliseconds = 2000;

nodePlugins.register({
	name: 'client-blocks',
	roles: ['directory'],
	order: startOrder,
	async start(context) {
		let pending: VersionedConfiguration | undefined;
		const update = async (): Promise<void> => {
			const wanted = pending;
			if (!wanted) {
				return;
			}

			const base = await loadSnapshot(context, wanted.configuration.clientBlockSnapshot);
			if (!base.ok) {
				context.logger.error('client_blocks_unreadable', {version: wanted.version, reason: base.error});
				return;
			}

			const table = await applyChanges(base.value, getChanges(wanted.configuration));
			if (pending === wanted) {
				pending = undefined;
				context.bus.publish({type: 'client-blocks-changed', table});
			}
		};

		const work = startPeriodicWork(update, retryMilliseconds);
		const end = context.bus.subscribe('configuration-changed', ({version, configuration}) => {
			pending = {version, configuration};
			work.runSoon();
		});
		return {
			async stop() {
				end();
				await work.stop();
			},
		};
	},
});

async function loadSnapshot(context: NodeContext, name: string | undefined): Promise<Result<ClientBlockTable, string>> {
	if (name === undefined) {
		return succeed(createClientBlockTable());
	}

	const object = await context.platform.objects.get(name);
	if (object.kind !== 'done') {
		return fail(object.reason);
	}

	if (!object.value) {
		return fail(`the object store has no object "${name}"`);
	}

	try {
		return parseClientBlockSnapshot(decode(object.value));
	} catch (error) {
		return fail(`object "${name}" is no snapshot: ${getErrorMessage(error)}`);
	}
}

function getChanges(configuration: Configuration): SiteChange[] {
	return configuration.clientBlocks.flatMap(({prefix, region}) => {
		const change = parseSiteChange(prefix, [{site: region, weight: 1}]);
		return change.ok ? [change.value] : [];
	});
}

async function applyChanges(table: ClientBlockTable, changes: readonly SiteChange[]): Promise<ClientBlockTable> {
	const work = changeClientBlocks(table, changes);
	for (;;) {
		const step = work.next();
		if (step.done) {
			return step.value;
		}

		await nextTurn();
	}
}
