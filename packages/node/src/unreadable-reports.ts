/** Reports the entries of the store that can't be used: one log line and one count for each, however often it is read. */
import {Counter} from 'prom-client';
import {hashText} from '@catkindale/common';
import type {NodeContext} from './node-context.js';

/** Called with the name of each entry that can't be used, and the reason. */
export type OnUnreadable = (entry: string, reason: string) => void;

const maximumRemembered = 1000;
const maximumReasonLength = 500;

export function createUnreadableReports({logger, metrics}: Pick<NodeContext, 'logger' | 'metrics'>): OnUnreadable {
	/** Hashes of the entries and reasons that were reported last, in the order of their reports. */
	const reported = new Set<string>();
	const counter = new Counter({
		name: 'catkindale_entries_unreadable_total', help: 'Entries of the store that can\'t be used; what was in force before stays', registers: [metrics],
	});
	return (entry, reason) => {
		const hash = hashText(`${entry}\n${reason}`);
		if (reported.has(hash)) {
			return;
		}

		reported.add(hash);
		const [oldest] = reported;
		if (reported.size > maximumRemembered && oldest !== undefined) {
			reported.delete(oldest);
		}

		counter.inc();
		logger.warn('entry_unreadable', {entry: entry.slice(0, maximumReasonLength), reason: reason.slice(0, maximumReasonLength).replaceAll('\n', ' ')});
	};
}
