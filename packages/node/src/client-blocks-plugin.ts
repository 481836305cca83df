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
	type ClientBlockTable, type Configuration, type SiteChange, changeClientBlocks, createClientBlockTable, parseClientBlockSnapshot, parseSiteChange,
} from '@catkindale/policy';
import {type NodeContext, nodePlugins} from './node-context.js';

const startOrder = 18;

nodePlugins.register({
	name: 'client-blocks',
	roles: ['directory'],
	order: startOrder,
	async start(context) {
		let newest = 0;
		let work: Promise<void> = Promise.resolve();
		const update = async (version: number, configuration: Configuration): Promise<void> => {
			if (version < newest) {
				return;
			}

			const base = await loadSnapshot(context, configuration.clientBlockSnapshot);
			if (!base.ok) {
				context.logger.error('client_blocks_unreadable', {version, reason: base.error});
				return;
			}

			const table = await applyChanges(base.value, getChanges(configuration));
			context.bus.publish({type: 'client-blocks-changed', table});
		};

		const end = context.bus.subscribe('configuration-changed', ({version, configuration}) => {
			newest = version;
			work = work.then(async () => update(version, configuration));
		});
		return {
			async stop() {
				end();
				await work;
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
