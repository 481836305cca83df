/** Admin actions with a JSON body. An invalid body gets an error response. */
import * as z from 'zod';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {type AdminAction, type AdminResponse, registerAdminAction} from './admin-actions.js';
import type {AdminState} from './admin-state.js';
import type {NodeContext} from './node-context.js';

type JsonAction<Schema extends z.ZodType> = Pick<AdminAction, 'name' | 'path'> & {
	readonly schema: Schema;
	readonly run: (context: NodeContext, state: AdminState, body: z.infer<Schema>) => Promise<AdminResponse>;
};

/** Registers a `POST` action that runs with the validated body. */
export function registerJsonAction<Schema extends z.ZodType>({name, path, schema, run}: JsonAction<Schema>): void {
	registerAdminAction({
		name,
		method: 'POST',
		path,
		async run(context, state, request) {
			const body = parseActionBody(schema, request.body);
			return body.ok ? run(context, state, body.value) : body.error;
		},
	});
}

function parseActionBody<Schema extends z.ZodType>(schema: Schema, body: string): Result<z.infer<Schema>, AdminResponse> {
	let data: unknown;
	try {
		data = JSON.parse(body);
	} catch (error) {
		return fail({status: 400, body: {result: 'refused', detail: getErrorMessage(error)}});
	}

	const parsed = schema.safeParse(data);
	return parsed.success ? succeed(parsed.data) : fail({status: 422, body: {result: 'refused', detail: z.prettifyError(parsed.error)}});
}
