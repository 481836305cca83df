/**
 * `POST /v1/drains`: drains a VM or a target immediately on all reachable nodes.
 * `undo` removes the drain, which takes effect only through the table.
 * `POST /v1/rates`: lowers a customer's rate and burst immediately.
 */
import * as z from 'zod';
import {createIdentifier, fail, succeed} from '@catkindale/common';
import {type Drain, customerSchema, drainSchema} from '@catkindale/policy';
import {registerJsonAction} from './json-action.js';
import {reportChange} from './change-report.js';
import {type ConfigurationEdit, editConfiguration} from './configuration-change.js';
import {applyRestriction} from './apply-restriction.js';

const author = z.string().default('operator');
const drainBodySchema = z.strictObject({...drainSchema.shape, author, undo: z.boolean().default(false)});
const rateBodySchema = z.strictObject({
	customer: customerSchema.shape.name, rate: customerSchema.shape.rate, burst: customerSchema.shape.burst, author,
});

registerJsonAction({
	name: 'drain',
	path: '/v1/drains',
	schema: drainBodySchema,
	async run(context, state, {undo, author: drainedBy, ...drain}) {
		if (!undo) {
			return applyRestriction(context, state, {
				id: createIdentifier(), kind: 'drained', drain, author: drainedBy,
			});
		}

		const outcome = await editConfiguration(context, removeDrain(drain), {author: drainedBy});
		return reportChange(context, state, outcome);
	},
});

registerJsonAction({
	name: 'rate-lower',
	path: '/v1/rates',
	schema: rateBodySchema,
	run: async (context, state, body) => applyRestriction(context, state, {id: createIdentifier(), kind: 'rate-lowered', ...body}),
});

function removeDrain(drain: Drain): ConfigurationEdit {
	return current => {
		const drains = current.drains.filter(({kind, name}) => kind !== drain.kind || name !== drain.name);
		return drains.length === current.drains.length ? fail(`${drain.kind} "${drain.name}" isn't drained`) : succeed({...current, drains});
	};
}
