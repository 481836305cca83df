/**
 * `POST /v1/drains`: drains a VM or a target, in force at once. `undo` takes
 * the drain back, which is valid only from the table. `POST /v1/rates` lowers
 * a customer's rate and burst at once.
 */
import {z} from 'zod';
import {createIdentifier, fail, succeed} from '@catkindale/common';
import {type Drain, customerSchema, drainSchema} from '@catkindale/policy';
import {parseActionBody} from './action-body.js';
import {registerAdminAction} from './admin-actions.js';
import {reportChange} from './change-report.js';
import {type ConfigurationEdit, editConfiguration} from './configuration-change.js';
import {restrict} from './restriction-action.js';

const author = z.string().default('operator');
const drainBodySchema = z.strictObject({...drainSchema.shape, author, undo: z.boolean().default(false)});
const rateBodySchema = z.strictObject({
	customer: customerSchema.shape.name, rate: customerSchema.shape.rate, burst: customerSchema.shape.burst, author,
});

registerAdminAction({
	name: 'drain',
	method: 'POST',
	path: '/v1/drains',
	async run(context, state, request) {
		const body = parseActionBody(drainBodySchema, request.body);
		if (!body.ok) {
			return body.error;
		}

		const drain = {kind: body.value.kind, name: body.value.name};
		if (!body.value.undo) {
			return restrict(context, state, {
				id: createIdentifier(), kind: 'drained', drain, author: body.value.author,
			});
		}

		const outcome = await editConfiguration(context, removeDrain(drain), {author: body.value.author});
		return reportChange(context, state, outcome);
	},
});

registerAdminAction({
	name: 'rate-lower',
	method: 'POST',
	path: '/v1/rates',
	async run(context, state, request) {
		const body = parseActionBody(rateBodySchema, request.body);
		return body.ok ? restrict(context, state, {id: createIdentifier(), kind: 'rate-lowered', ...body.value}) : body.error;
	},
});

function removeDrain(drain: Drain): ConfigurationEdit {
	return current => {
		const drains = current.drains.filter(({kind, name}) => kind !== drain.kind || name !== drain.name);
		return drains.length === current.drains.length ? fail(`${drain.kind} "${drain.name}" isn't drained`) : succeed({...current, drains});
	};
}
