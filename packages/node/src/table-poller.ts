/**
 * Reads rows of the table as often as this node has to: at the full pace if it
 * reads for its region or what is relayed has grown too old, otherwise only
 * when its task wants to know.
 */
import type {NodeContext} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

export type TablePoller = {
	/** Reads at once, whoever else does. */
	readSoon: () => void;
	/** Waits for the read that is under way. */
	stop: () => Promise<void>;
};

/** Share of the freshness limit that relayed knowledge may reach before a node reads for itself. */
const relayedAgeShare = 0.6;

export function getRelayedAgeLimit({settings}: NodeContext): number {
	return relayedAgeShare * settings.timing.freshnessLimitMilliseconds;
}

/** @param isNeeded whether to read now although others do */
export function startTablePoller(context: NodeContext, read: () => Promise<void>, isNeeded = (): boolean => false): TablePoller {
	let isReader = true;
	let isWanted = false;
	const work = startPeriodicWork(async () => {
		if (isReader || isWanted || isNeeded()) {
			isWanted = false;
			await read();
		}
	}, context.settings.timing.tablePollMilliseconds);
	const readSoon = (): void => {
		isWanted = true;
		work.runSoon();
	};

	const end = context.bus.subscribe('table-reading-changed', message => {
		isReader = message.isReader;
		if (isReader) {
			readSoon();
		}
	});
	return {
		readSoon,
		async stop() {
			end();
			await work.stop();
		},
	};
}
