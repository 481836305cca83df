/**
 * `POST /v1/keys/grant` and `POST /v1/keys/withdraw`: a grant takes effect only
 * through the table, a withdrawal immediately on all reachable nodes.
 */
import * as z from 'zod';
import {createIdentifier, fail, succeed} from '@catkindale/common';
import {
	type Configuration, type CustomerKey, type Restriction, keySchema,
} from '@catkindale/policy';
import {reportChange} from './change-report.js';
import {type ConfigurationEdit, editConfiguration} from './configuration-change.js';
import {registerJsonAction} from './json-action.js';
import {applyRestriction} from './apply-restriction.js';

const author = z.string().default('operator');
const grantSchema = z.strictObject({...keySchema.shape, author});
const withdrawSchema = z.strictObject({hash: keySchema.shape.hash, author});

registerJsonAction({
	name: 'key-grant',
	path: '/v1/keys/grant',
	schema: grantSchema,
	async run(context, state, {customer, hash, author: grantedBy}) {
		const withdrawal = state.restrictions.find(restriction => restriction.kind === 'key-withdrawn' && restriction.hash === hash);
		if (withdrawal) {
			return {status: 409, body: {result: 'refused', detail: describeWithdrawal(withdrawal), restriction: withdrawal.id}};
		}

		const outcome = await editConfiguration(context, addKey({customer, hash}), {author: grantedBy});
		context.logger.info('key_grant', {customer, outcome: outcome.kind});
		return reportChange(context, state, outcome);
	},
});

registerJsonAction({
	name: 'key-withdraw',
	path: '/v1/keys/withdraw',
	schema: withdrawSchema,
	run: async (context, state, body) => applyRestriction(context, state, {id: createIdentifier(), kind: 'key-withdrawn', ...body}),
});

function describeWithdrawal({id, author}: Restriction): string {
	return `the key was withdrawn by ${author} (${id}), and the table doesn't hold this yet; nothing was changed. `
		+ 'The withdrawal is recorded by itself within seconds once the table can be written. '
		+ 'Wait until "catkindale status" no longer lists it, then grant the key again; if it stays there, restore the table service';
}

function addKey(key: CustomerKey): ConfigurationEdit {
	return (current: Configuration) => {
		if (current.customers.every(customer => customer.name !== key.customer)) {
			return fail(`there is no customer "${key.customer}"`);
		}

		if (current.keys.some(existing => existing.hash === key.hash)) {
			return fail('the key is granted already');
		}

		return succeed({...current, keys: [...current.keys, key]});
	};
}
