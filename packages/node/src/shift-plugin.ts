/**
 * Keeps the rows of the shifts between regions: when each began to move and
 * from which share. Any node may write them by compare-and-set; the share of a
 * moment follows from the row alone, so that all directories agree.
 */
import {Gauge} from 'prom-client';
import {createIdentifier} from '@catkindale/common';
import type {Row} from '@catkindale/platform';
import {
	type HeldShift, type Shift, type ShiftRow, type VersionedConfiguration, changeShift, followShift, resumeShift, shiftRowSchema, startShift,
} from '@catkindale/policy';
import {longestLookupMilliseconds, rowKeys} from './constants.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import type {KnownShift} from './shift-regions.js';

const startOrder = 56;

type ShiftTask = {
	readonly context: NodeContext;
	readonly share: Gauge<'shift'>;
	wanted: ReadonlyMap<string, Shift>;
	configurationVersion: number;
	known: ReadonlyMap<string, KnownShift>;
};

nodePlugins.register({
	name: 'shifts',
	roles: ['control', 'directory'],
	order: startOrder,
	async start(context) {
		const task: ShiftTask = {
			context, share: createShareGauge(context), wanted: new Map(), configurationVersion: 0, known: new Map(),
		};
		const work = startPeriodicWork(async () => pollShifts(task), context.settings.timing.tablePollMilliseconds);
		const end = context.bus.subscribe('configuration-changed', ({configuration, version}: VersionedConfiguration) => {
			task.wanted = new Map(configuration.shifts.map(shift => [shift.name, shift]));
			task.configurationVersion = version;
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

async function pollShifts(task: ShiftTask): Promise<void> {
	const {context} = task;
	if (task.configurationVersion === 0) {
		return;
	}

	const readAt = context.clock.wall();
	const outcome = await context.platform.table.list(rowKeys.shiftPrefix);
	if (outcome.kind !== 'done') {
		context.logger.warn('table_read_failed', {row: rowKeys.shiftPrefix, outcome: outcome.kind});
		return;
	}

	const rows = new Map(outcome.value.map((row: Row) => [row.key.slice(rowKeys.shiftPrefix.length), row]));
	for (const name of new Set([...rows.keys(), ...task.wanted.keys()])) {
		await writeShift(task, name, rows.get(name));
	}

	const now = context.clock.wall();
	task.known = new Map([...rows].map(([name, row]) => {
		const value = shiftRowSchema.parse(row.value);
		const held = followShift(task.known.get(name)?.held, value, readAt, now);
		task.share.set({shift: name}, held.share);
		return [name, {row: value, confirmedAt: readAt, held}];
	}));
	context.bus.publish({type: 'shifts-changed', shifts: [...task.known.values()]});
}

/** Writes the row if the configuration asks for another one. A conflict is read at the next poll. */
async function writeShift(task: ShiftTask, name: string, row: Row | undefined): Promise<void> {
	const {context, configurationVersion} = task;
	const known = row && shiftRowSchema.parse(row.value);
	const now = context.clock.wall();
	const held = task.known.get(name)?.held;
	const value = getWantedRow(known, task.wanted.get(name), configurationVersion, now) ?? (known && held && getResumedRow(task, known, held, now));
	if (!value) {
		return;
	}

	const outcome = await context.platform.table.transact(createIdentifier(), [{key: `${rowKeys.shiftPrefix}${name}`, expectedVersion: row?.version ?? 0, value}]);
	context.logger.info('shift_write', {shift: name, share: value.wantedShare, outcome: outcome.kind});
}

function getWantedRow(known: ShiftRow | undefined, shift: Shift | undefined, configurationVersion: number, now: number): ShiftRow | undefined {
	if (!known) {
		return shift && startShift(shift, {configurationVersion, timeToLiveMilliseconds: longestLookupMilliseconds}, now);
	}

	return configurationVersion > known.configurationVersion ? changeShift(known, shift, configurationVersion, now) : undefined;
}

/** After a standstill, as in an outage of the table, all nodes go on from where they stood. */
function getResumedRow(task: ShiftTask, row: ShiftRow, held: HeldShift, now: number): ShiftRow | undefined {
	const confirmedAt = task.known.get(row.name)?.confirmedAt ?? now;
	return resumeShift(row, followShift(held, row, confirmedAt, now), now);
}

function createShareGauge(context: NodeContext): Gauge<'shift'> {
	return new Gauge({
		name: 'catkindale_shift_share', help: 'Share of a region\'s callers that look-ups send to the other region', labelNames: ['shift'], registers: [context.metrics],
	});
}
