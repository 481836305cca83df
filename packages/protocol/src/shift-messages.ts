/** Message in which a node that wrote a shift's row sends it to nodes that can't read the table. */
import * as z from 'zod';
import {shiftRowSchema} from '@catkindale/policy';

export const shiftRowMessageSchema = z.object({
	type: z.literal('shift-row'),
	row: shiftRowSchema,
	/** Version of the row in the table; increases with each change. */
	rowVersion: z.int().positive(),
});
