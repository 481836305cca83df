/** Members of the fleet, as the table's membership rows keep them. */
import * as z from 'zod';

export const memberSchema = z.object({
	id: z.string(),
	/** Changes with every start of the process. */
	incarnation: z.string(),
	region: z.string(),
	zone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	state: z.enum(['live', 'draining']),
	/** False for one that serves no callers' requests; it holds no quota and look-ups don't name it. */
	isEntry: z.boolean().optional(),
});

export type Member = z.infer<typeof memberSchema>;

/** Whether the member serves callers' requests. */
export function isEntryMember(member: Pick<Member, 'isEntry'>): boolean {
	return member.isEntry !== false;
}
