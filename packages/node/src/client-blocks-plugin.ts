/**
 * Maintains the client blocks of the directory: the snapshot in the object store
 * that the configuration names, overridden by the configuration's own blocks.
 * The work runs in short steps, so that lookups are served in between.
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
/** Pause before a failed read of a snapshot is retried. */
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
			const requested = pending;
			if (!requested) {
				return;
			}

			const source = getSource(requested.configuration);
			if (isDeepStrictEqual(source, applied)) {
				pending = undefined;
				return;
			}

			const loaded = source.name === snapshot.name ? succeed(snapshot) : await loadSnapshot(context, source.name);
			if (!loaded.ok) {
				context.logger.error('client_blocks_unreadable', {version: requested.version, reason: loaded.error});
				return;
			}

			snapshot = loaded.value;
			const table = await runInSteps(changeClientBlocks(snapshot.table, getChanges(source)));
			applied = source;
			context.bus.publish({type: 'client-blocks-changed', table});
			if (pending === requested) {
				pending = undefined;
			}
		};

		const work = startPeriodicWork(update, retryMilliseconds);
		const unsubscribe = context.bus.subscribe('configuration-changed', ({version, configuration}) => {
			pending = {version, configuration};
			work.runSoon();
		});
		return {
			async stop() {
				unsubscribe();
				await work.stop();
			},
		};
	},
});

/** The input of the block table. The object of a name never changes, so the name identifies the snapshot. */
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
	return table.ok ? succeed({name, table: table.value}) : fail(`object "${name}" is not a valid snapshot: ${table.error}`);
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
