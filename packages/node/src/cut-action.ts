/**
 * `POST /v1/testing/cuts`: disconnects this node from the named peers and from
 * the table without notifying either side, to test network partitions. Refused
 * unless the settings allow it.
 */
import * as z from 'zod';
import type {TableService} from '@catkindale/ports';
import {registerJsonAction} from './json-action.js';
import type {Cuts} from './node-context.js';

const cutsSchema = z.strictObject({peers: z.array(z.string()).default([]), table: z.boolean().default(false)});

const cutReason = 'the connection is cut';

registerJsonAction({
	name: 'cuts',
	path: '/v1/testing/cuts',
	schema: cutsSchema,
	async run(context, _state, {peers, table}) {
		if (!context.settings.testing.allowCuts) {
			return {status: 403, body: {result: 'refused', detail: 'the settings don\'t allow cuts'}};
		}

		context.cuts.peers = new Set(peers);
		context.cuts.isTableCut = table;
		return {status: 200, body: {result: 'done'}};
	},
});

/** Wraps the table so that its calls fail while the connection is cut. */
export function createDisconnectableTable(table: TableService, cuts: Cuts): TableService {
	return {
		get: async key => cuts.isTableCut ? {kind: 'not-done', reason: cutReason} : table.get(key),
		list: async prefix => cuts.isTableCut ? {kind: 'not-done', reason: cutReason} : table.list(prefix),
		transact: async (changeId, writes) => cuts.isTableCut ? {kind: 'not-done', reason: cutReason} : table.transact(changeId, writes),
		close: async () => table.close(),
	};
}
