/**
 * Applies an operator's restriction on every reachable node at once, then records
 * it in the table. If the table can't be written, the restriction stays active
 * and is recorded later.
 */
import type {Restriction} from '@catkindale/policy';
import type {AdminResponse} from './admin-actions.js';
import type {AdminState} from './admin-state.js';
import {reportChange} from './change-report.js';
import {editConfiguration} from './configuration-change.js';
import type {NodeContext} from './node-context.js';
import {createRestrictionEdit} from './restriction-plugin.js';

export async function applyRestriction(context: NodeContext, state: AdminState, restriction: Restriction): Promise<AdminResponse> {
	context.bus.publish({type: 'restriction-issued', restriction});
	const outcome = await editConfiguration(context, createRestrictionEdit(restriction), {author: restriction.author, restriction: restriction.id});
	context.logger.info('restrict', {restriction: restriction.id, kind: restriction.kind, outcome: outcome.kind});
	if (outcome.kind === 'committed') {
		return reportChange(context, state, outcome);
	}

	const detail = 'in force on every node that can be reached; not recorded in the table yet, this goes on by itself: see "catkindale status"';
	return {
		status: 202, body: {
			result: 'restricted', restriction: restriction.id, outcome: outcome.kind, detail,
		},
	};
}
