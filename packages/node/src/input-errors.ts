/**
 * Errors that a value from outside has caused in the code that handles it. The
 * value is dropped and the process goes on; only a broken invariant ends it.
 */
import {Counter} from 'prom-client';
import {
	InvariantError, type LogFields, getErrorMessage,
} from '@catkindale/common';
import type {NodeContext} from './node-context.js';

export type InputKind = 'request' | 'lookup' | 'peer-message' | 'operator-action';

export type InputErrors = {
	/** Logs and counts the error. Throws it again if it is a broken invariant. */
	readonly record: (kind: InputKind, error: unknown, fields?: LogFields) => void;
};

const events = {
	request: 'request_failed', lookup: 'lookup_failed', 'peer-message': 'peer_message_failed', 'operator-action': 'operator_action_failed',
} as const satisfies Record<InputKind, string>;

export function createInputErrors({logger, metrics}: Pick<NodeContext, 'logger' | 'metrics'>): InputErrors {
	const counter = new Counter({
		name: 'catkindale_input_errors_total',
		help: 'Errors in the handling of requests, lookups, messages of peers and actions of operators',
		labelNames: ['input'],
		registers: [metrics],
	});
	return {
		record(kind, error, fields = {}) {
			if (error instanceof InvariantError) {
				throw error;
			}

			counter.inc({input: kind});
			logger.error(events[kind], {...fields, reason: getErrorMessage(error)});
		},
	};
}
