/** The message by which a node that wrote a shift's row tells it to those that can't read the table. */
import * as z from 'zod';
import {shiftRowSchema} from '@catkindale/policy';

export const shiftRowMessageSchema = z.object({
	type: z.literal('shift-row'),
	row: shiftRowSchema,
	/** Of the row in the table; rises with each change. */
	rowVersion: z.int().positive(),
});
