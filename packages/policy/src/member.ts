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

/** One row per availability zone; the epoch rises with each change of its members. */
export const zoneMembershipSchema = z.object({
	epoch: z.int(),
	members: z.array(memberSchema),
});

export type Member = z.infer<typeof memberSchema>;
export type ZoneMembership = z.infer<typeof zoneMembershipSchema>;
