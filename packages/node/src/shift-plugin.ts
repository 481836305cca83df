/**
 * Maintains the rows of the shifts between regions, which record when each shift
 * began to move and from which share. Any node may write them by compare-and-set.
 * The current share depends only on the row and the time, so all directories
 * agree. The node that writes a row broadcasts it, so that a directory without
 * access to the table follows the shift too.
 */
import {Gauge} from 'prom-client';
import * as z from 'zod';
import {createIdentifier} from '@catkindale/common';
import type {Row} from '@catkindale/ports';
import {
	type Shift, type ShiftRow, type VersionedConfiguration, changeShift, getShiftedShare, renewShift, shiftRowSchema, startShift,
} from '@catkindale/policy';
import {maximumLookupAgeMilliseconds, rowKeys} from './constants.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 56;

type VersionedShift = {readonly shift: ShiftRow; readonly rowVersion: number};

export type ShiftContext = Pick<NodeContext, 'bus' | 'clock' | 'logger' | 'metrics'> & {
	readonly settings: {readonly timing: Pick<NodeContext['settings']['timing'], 'tablePollMilliseconds'>};
	readonly platform: Pick<NodeContext['platform'], 'table'>;
};

type ShiftTask = {
	readonly context: ShiftContext;
	readonly share: Gauge<'shift'>;
	desired: ReadonlyMap<string, Shift>;
	configurationVersion: number;
	/** Whether any shift is declared or has a row. Otherwise the table isn't polled. */
	hasShifts: boolean;
	/** The latest rows, read from the table or received from peers. */
	rows: Map<string, VersionedShift>;
};

nodePlugins.register({
	name: 'shifts',
	roles: ['control', 'directory'],
	order: startOrder,
	start: async context => startShifts(context),
});

/** Maintains the rows until it is stopped. */
export function startShifts(context: ShiftContext): {stop: () => Promise<void>} {
	const task: ShiftTask = {
		context, share: createShareGauge(context), desired: new Map(), configurationVersion: 0, hasShifts: true, rows: new Map(),
	};
	const work = startPeriodicWork(async () => pollShifts(task), context.settings.timing.tablePollMilliseconds);
	const subscriptions = [
		context.bus.subscribe('configuration-changed', ({configuration, version}: VersionedConfiguration) => {
			task.desired = new Map(configuration.shifts.map(shift => [shift.name, shift]));
			task.configurationVersion = version;
			task.hasShifts = true;
			work.runSoon();
		}),
		context.bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'shift-row') {
				receiveRow(task, from, {shift: message.row, rowVersion: message.rowVersion});
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
}

async function pollShifts(task: ShiftTask): Promise<void> {
	const {context} = task;
	if (task.configurationVersion === 0 || !task.hasShifts) {
		return;
	}

	const outcome = await context.platform.table.list(rowKeys.shiftPrefix);
	if (outcome.kind !== 'done') {
		context.logger.warn('table_read_failed', {row: rowKeys.shiftPrefix, outcome: outcome.kind});
		return;
	}

	const rows = parseRows(context, outcome.value);
	for (const name of new Set([...rows.keys(), ...task.desired.keys()])) {
		await writeShift(task, name, rows.get(name));
	}

	task.hasShifts = rows.size > 0 || task.desired.size > 0;
	task.rows = rows;
	publishShifts(task);
}

function publishShifts({context, share, rows}: ShiftTask): void {
	const shifts = [...rows.values()].map(({shift}) => shift);
	for (const row of shifts) {
		share.set({shift: row.name}, getShiftedShare(row, context.clock.wall()));
	}

	context.bus.publish({type: 'shifts-changed', shifts});
}

function receiveRow(task: ShiftTask, from: string, received: VersionedShift): void {
	const {name} = received.shift;
	if (received.rowVersion <= (task.rows.get(name)?.rowVersion ?? 0)) {
		return;
	}

	task.rows.set(name, received);
	task.context.logger.info('shift_heard', {shift: name, source: from, row_version: received.rowVersion});
	publishShifts(task);
}

/**
 * Returns the rows by the names of their shifts. An unreadable row is logged and
 * left out; it isn't overwritten, because the write for a missing row conflicts.
 */
function parseRows(context: ShiftContext, rows: readonly Row[]): Map<string, VersionedShift> {
	const readable = new Map<string, VersionedShift>();
	for (const {key, version, value} of rows) {
		const parsed = shiftRowSchema.safeParse(value);
		if (parsed.success) {
			readable.set(key.slice(rowKeys.shiftPrefix.length), {shift: parsed.data, rowVersion: version});
		} else {
			context.logger.error('shift_unreadable', {row: key, reason: z.prettifyError(parsed.error)});
		}
	}

	return readable;
}

/** Writes the row if the configuration requires another one. After a conflict, the next poll reads the current row. */
async function writeShift(task: ShiftTask, name: string, row: VersionedShift | undefined): Promise<void> {
	const {context, configurationVersion} = task;
	const current = row?.shift;
	const now = context.clock.wall();
	const value = getDesiredShiftRow(current, task.desired.get(name), configurationVersion, now) ?? (current && renewShift(current, now));
	if (!value) {
		return;
	}

	const outcome = await context.platform.table.transact(createIdentifier(), [{key: `${rowKeys.shiftPrefix}${name}`, expectedVersion: row?.rowVersion ?? 0, value}]);
	context.logger.info('shift_write', {shift: name, share: value.wantedShare, outcome: outcome.kind});
	const rowVersion = outcome.kind === 'done' ? outcome.value[0]?.version : undefined;
	if (rowVersion !== undefined) {
		context.bus.publish({type: 'peer-broadcast', message: {type: 'shift-row', row: value, rowVersion}});
	}
}

function getDesiredShiftRow(current: ShiftRow | undefined, shift: Shift | undefined, configurationVersion: number, now: number): ShiftRow | undefined {
	if (!current) {
		return shift && startShift(shift, {configurationVersion, timeToLiveMilliseconds: maximumLookupAgeMilliseconds}, now);
	}

	return configurationVersion > current.configurationVersion ? changeShift(current, shift, configurationVersion, now) : undefined;
}

function createShareGauge(context: ShiftContext): Gauge<'shift'> {
	return new Gauge({
		name: 'catkindale_shift_share', help: 'Share of a region\'s callers that look-ups send to the other region', labelNames: ['shift'], registers: [context.metrics],
	});
}
