/** Parses the JSON body of an operator's action; a fault becomes the answer. */
import {z} from 'zod';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import type {AdminAnswer} from './admin-actions.js';

export function parseActionBody<Schema extends z.ZodType>(schema: Schema, body: string): Result<z.infer<Schema>, AdminAnswer> {
	let data: unknown;
	try {
		data = JSON.parse(body);
	} catch (error) {
		return fail({status: 400, body: {result: 'refused', detail: getErrorMessage(error)}});
	}

	const parsed = schema.safeParse(data);
	return parsed.success ? succeed(parsed.data) : fail({status: 422, body: {result: 'refused', detail: z.prettifyError(parsed.error)}});
}
