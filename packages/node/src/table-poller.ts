/**
 * Polls rows of the table only as often as this node must: at the full rate if
 * it reads for its region or if the relayed state is too old, otherwise only
 * when the owner of the poller requires a read.
 */
import type {NodeContext} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

export type TablePoller = {
	/** Reads at once, even if other nodes read for this one. */
	readSoon: () => void;
	/** Stops polling and waits for the current read. */
	stop: () => Promise<void>;
};

/** Fraction of the freshness limit that relayed state may reach before a node reads the table itself. */
const relayedAgeFraction = 0.6;

export function getMaximumRelayedAgeMilliseconds({settings}: NodeContext): number {
	return relayedAgeFraction * settings.timing.freshnessLimitMilliseconds;
}

/** @param isNeeded whether to read now even if other nodes read for this one */
export function startTablePoller(context: NodeContext, read: () => Promise<void>, isNeeded = (): boolean => false): TablePoller {
	let isReader = true;
	let isReadRequested = false;
	const work = startPeriodicWork(async () => {
		if (isReader || isReadRequested || isNeeded()) {
			isReadRequested = false;
			await read();
		}
	}, context.settings.timing.tablePollMilliseconds);
	const readSoon = (): void => {
		isReadRequested = true;
		work.runSoon();
	};

	const unsubscribe = context.bus.subscribe('table-reading-changed', message => {
		isReader = message.isReader;
		if (isReader) {
			readSoon();
		}
	});
	return {
		readSoon,
		async stop() {
			unsubscribe();
			await work.stop();
		},
	};
}
