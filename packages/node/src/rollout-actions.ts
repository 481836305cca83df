/**
 * Admin actions on rollouts: status, halt and resume. A halt takes effect on the
 * reachable nodes at once; the response reports whether it is recorded.
 */
import {createIdentifier} from '@catkindale/common';
import {
	type RolloutChange, type RolloutRow, changeRollout, getHighestSuspicion, getRolloutShare, isFinal, rolloutRowSchema,
} from '@catkindale/policy';
import type {TableOutcome} from '@catkindale/ports';
import {type AdminResponse, registerAdminAction} from './admin-actions.js';
import {rowKeys} from './constants.js';
import type {NodeContext} from './node-context.js';
import {getRolloutTasks} from './rollout-registry.js';
import {type RolloutRows, parseRolloutRows} from './rollout-rows.js';

const maximumAttempts = 5;
const statusGatewayTimeout = 504;

registerAdminAction({
	name: 'rollout-status',
	method: 'GET',
	path: '/v1/rollouts',
	async run(context) {
		const outcome = await context.platform.table.list(rowKeys.rolloutPrefix);
		const {rollouts, unreadable} = outcome.kind === 'done' ? parseRolloutRows(outcome.value) : getFollowedRollouts(context);
		const source = outcome.kind === 'done' ? 'table' : 'this node\'s knowledge; the table can\'t be read';
		return {status: 200, body: {source, rollouts: rollouts.map(row => describeRow(context, row)), unreadable}};
	},
});

registerAdminAction({
	name: 'rollout-halt',
	method: 'POST',
	path: '/v1/rollouts/halt',
	async run(context, _state, {query}) {
		const name = query.get('name') ?? '';
		const reason = query.get('reason') ?? 'halted by an operator';
		context.bus.publish({type: 'rollout-halt-requested', rollout: name, reason});
		return changeRow(context, name, {kind: 'halt', reason});
	},
});

registerAdminAction({
	name: 'rollout-resume',
	method: 'POST',
	path: '/v1/rollouts/resume',
	async run(context, _state, {query}) {
		return changeRow(context, query.get('name') ?? '', {kind: 'resume', reason: 'resumed by an operator'});
	},
});

function getFollowedRollouts(context: NodeContext): RolloutRows {
	const rollouts = [...getRolloutTasks(context).values()].flatMap(task => task.follower.row ?? []);
	return {rollouts, unreadable: []};
}

function describeRow(context: NodeContext, row: RolloutRow): Record<string, unknown> {
	const task = getRolloutTasks(context).get(row.name);
	return {
		...row,
		share: getRolloutShare(row),
		deadline: new Date(row.deadlineAt).toISOString(),
		samples: task?.follower.stepRequests,
		suspicion: task ? getHighestSuspicion(task.follower) : undefined,
		halt: task?.follower.halt,
	};
}

/** Changes the row by compare-and-set. Retries if another change is committed in between. */
async function changeRow(context: NodeContext, name: string, change: RolloutChange): Promise<AdminResponse> {
	const key = `${rowKeys.rolloutPrefix}${name}`;
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const read = await context.platform.table.get(key);
		if (read.kind !== 'done') {
			return describeUnreachableTable(change);
		}

		if (!read.value) {
			return {status: 404, body: {result: 'refused', detail: `there is no rollout "${name}"`}};
		}

		const {data: row} = rolloutRowSchema.safeParse(read.value.value);
		if (!row) {
			return {status: 409, body: {result: 'refused', detail: `the row "${key}" of the table is no rollout`}};
		}

		const refusal = getRefusal(row, change);
		if (refusal) {
			return refusal;
		}

		const changed = changeRollout(row, change, context.clock.wall());
		const outcome: TableOutcome<unknown> = await context.platform.table.transact(createIdentifier(), [{key, expectedVersion: read.value.version, value: changed}]);
		if (outcome.kind === 'done') {
			context.logger.info('rollout_change', {rollout: name, change: change.kind, reason: change.reason});
			return {status: 200, body: {result: changed.phase, rollout: name}};
		}
	}

	return {status: statusGatewayTimeout, body: {result: 'unknown', detail: 'the table gave no clear answer; run "catkindale rollout status"'}};
}

/** Returns the response if there is nothing to write. A repeated halt or resume succeeds. */
function getRefusal(row: RolloutRow, change: RolloutChange): AdminResponse | undefined {
	if (isFinal(row)) {
		return {status: 409, body: {result: 'refused', detail: `the rollout is ${row.phase}: ${row.reason}`}};
	}

	const desiredPhase = change.kind === 'halt' ? 'halted' : 'running';
	return row.phase === desiredPhase ? {status: 200, body: {result: row.phase, rollout: row.name}} : undefined;
}

function describeUnreachableTable(change: RolloutChange): AdminResponse {
	const detail = change.kind === 'halt'
		? 'the table can\'t be reached: the nodes that can be reached have halted, and they record it once the table is back'
		: 'the table can\'t be reached; nothing was changed';
	return {status: 503, body: {result: change.kind === 'halt' ? 'halted, not recorded' : 'refused', detail}};
}
