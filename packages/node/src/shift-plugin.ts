/**
 * Keeps the rows of the shifts between regions: when each began to move and
 * from which share. Any node may write them by compare-and-set; the share of a
 * moment follows from the row alone, so that all directories agree. Whoever
 * writes a row tells its peers, so that a directory that is cut off from the
 * table moves with the others.
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

type ReadShift = {readonly shift: ShiftRow; readonly rowVersion: number};

export type ShiftContext = Pick<NodeContext, 'bus' | 'clock' | 'logger' | 'metrics'> & {
	readonly settings: {readonly timing: Pick<NodeContext['settings']['timing'], 'tablePollMilliseconds'>};
	readonly platform: Pick<NodeContext['platform'], 'table'>;
};

type ShiftTask = {
	readonly context: ShiftContext;
	readonly share: Gauge<'shift'>;
	wanted: ReadonlyMap<string, Shift>;
	configurationVersion: number;
	/** Whether a shift is declared or has a row, whose state each directory must know. */
	hasShifts: boolean;
	/** The latest rows, read or told. */
	rows: Map<string, ReadShift>;
};

nodePlugins.register({
	name: 'shifts',
	roles: ['control', 'directory'],
	order: startOrder,
	start: async context => startShifts(context),
});

/** Keeps the rows until it is stopped. */
export function startShifts(context: ShiftContext): {stop: () => Promise<void>} {
	const task: ShiftTask = {
		context, share: createShareGauge(context), wanted: new Map(), configurationVersion: 0, hasShifts: true, rows: new Map(),
	};
	const work = startPeriodicWork(async () => pollShifts(task), context.settings.timing.tablePollMilliseconds);
	const endings = [
		context.bus.subscribe('configuration-changed', ({configuration, version}: VersionedConfiguration) => {
			task.wanted = new Map(configuration.shifts.map(shift => [shift.name, shift]));
			task.configurationVersion = version;
			task.hasShifts = true;
			work.runSoon();
		}),
		context.bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'shift-row') {
				hearRow(task, from, {shift: message.row, rowVersion: message.rowVersion});
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

	const rows = getReadableRows(context, outcome.value);
	for (const name of new Set([...rows.keys(), ...task.wanted.keys()])) {
		await writeShift(task, name, rows.get(name));
	}

	task.hasShifts = rows.size > 0 || task.wanted.size > 0;
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

function hearRow(task: ShiftTask, from: string, heard: ReadShift): void {
	const {name} = heard.shift;
	if (heard.rowVersion <= (task.rows.get(name)?.rowVersion ?? 0)) {
		return;
	}

	task.rows.set(name, heard);
	task.context.logger.info('shift_heard', {shift: name, source: from, row_version: heard.rowVersion});
	publishShifts(task);
}

/** The rows by the names of their shifts; a row that something else wrote is left out, and nothing is written over it. */
function getReadableRows(context: ShiftContext, rows: readonly Row[]): Map<string, ReadShift> {
	const readable = new Map<string, ReadShift>();
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

/** Writes the row if the configuration asks for another one. A conflict is read at the next poll. */
async function writeShift(task: ShiftTask, name: string, row: ReadShift | undefined): Promise<void> {
	const {context, configurationVersion} = task;
	const known = row?.shift;
	const now = context.clock.wall();
	const value = getWantedRow(known, task.wanted.get(name), configurationVersion, now) ?? (known && renewShift(known, now));
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

function getWantedRow(known: ShiftRow | undefined, shift: Shift | undefined, configurationVersion: number, now: number): ShiftRow | undefined {
	if (!known) {
		return shift && startShift(shift, {configurationVersion, timeToLiveMilliseconds: maximumLookupAgeMilliseconds}, now);
	}

	return configurationVersion > known.configurationVersion ? changeShift(known, shift, configurationVersion, now) : undefined;
}

function createShareGauge(context: ShiftContext): Gauge<'shift'> {
	return new Gauge({
		name: 'catkindale_shift_share', help: 'Share of a region\'s callers that look-ups send to the other region', labelNames: ['shift'], registers: [context.metrics],
	});
}
