/** Counts the calls to the table service for `/metrics`. */
import {Counter, type Registry} from 'prom-client';
import type {TableService} from '@catkindale/ports';

export function createInstrumentedTable(table: TableService, metrics: Registry): TableService {
	const calls = new Counter({
		name: 'catkindale_table_calls_total', help: 'Calls of the table service', labelNames: ['operation'], registers: [metrics],
	});
	return {
		async get(key) {
			calls.inc({operation: 'get'});
			return table.get(key);
		},
		async list(prefix) {
			calls.inc({operation: 'list'});
			return table.list(prefix);
		},
		async transact(changeId, writes) {
			calls.inc({operation: 'transact'});
			return table.transact(changeId, writes);
		},
		close: async () => table.close(),
	};
}
