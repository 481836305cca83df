/** Members of the fleet, as the table's membership rows keep them. */
import {z} from 'zod';

export const memberSchema = z.object({
	id: z.string(),
	/** Changes with every start of the process. */
	incarnation: z.string(),
	region: z.string(),
	zone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	state: z.enum(['live', 'draining']),
});

export type Member = z.infer<typeof memberSchema>;
