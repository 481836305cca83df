/**
 * Keeps the client blocks for the directory: the snapshot that the
 * configuration names in the object store, then the configuration's own
 * blocks. Work is done in short steps so that look-ups go on.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {type Result, fail, succeed} from '@catkindale/common';
import {
	type ClientBlockTable, type Configuration, type SiteChange, type VersionedConfiguration, changeClientBlocks, createClientBlockTable, parseSiteChange,
} from '@catkindale/policy';
import {decodeClientBlocks} from './client-block-object.js';
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
		let snapshot: Snapshot = {name: undefined, table: createClientBlockTable()};
		let applied: BlockSource | undefined;

		const update = async (): Promise<void> => {
			const wanted = pending;
			if (!wanted) {
				return;
			}

			const source = getSource(wanted.configuration);
			if (isDeepStrictEqual(source, applied)) {
				pending = undefined;
				return;
			}

			const loaded = source.name === snapshot.name ? succeed(snapshot) : await loadSnapshot(context, source.name);
			if (!loaded.ok) {
				context.logger.error('client_blocks_unreadable', {version: wanted.version, reason: loaded.error});
				return;
			}

			snapshot = loaded.value;
			const table = await runInSteps(changeClientBlocks(snapshot.table, getChanges(source)));
			applied = source;
			context.bus.publish({type: 'client-blocks-changed', table});
			if (pending === wanted) {
				pending = undefined;
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

/** What the blocks are made from. An object of the store never changes under its name. */
type BlockSource = {readonly name: string | undefined; readonly blocks: Configuration['clientBlocks']};

type Snapshot = {readonly name: string | undefined; readonly table: ClientBlockTable};

function getSource(configuration: Configuration): BlockSource {
	return {name: configuration.clientBlockSnapshot, blocks: configuration.clientBlocks};
}

async function loadSnapshot(context: NodeContext, name: string | undefined): Promise<Result<Snapshot, string>> {
	if (name === undefined) {
		return succeed({name, table: createClientBlockTable()});
	}

	const object = await context.platform.objects.get(name);
	if (object.kind !== 'done') {
		return fail(object.reason);
	}

	if (!object.value) {
		return fail(`the object store has no object "${name}"`);
	}

	const table = await runInSteps(decodeClientBlocks(object.value));
	return table.ok ? succeed({name, table: table.value}) : fail(`object "${name}" is no snapshot: ${table.error}`);
}

function getChanges({blocks}: BlockSource): SiteChange[] {
	return blocks.flatMap(({prefix, region}) => {
		const change = parseSiteChange(prefix, [{site: region, weight: 1}]);
		return change.ok ? [change.value] : [];
	});
}

async function runInSteps<Value>(work: Generator<void, Value>): Promise<Value> {
	for (;;) {
		const step = work.next();
		if (step.done) {
			return step.value;
		}

		await nextTurn();
	}
}
