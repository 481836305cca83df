/** Members of the fleet, as stored in the membership rows of the table. */
import * as z from 'zod';

export const memberSchema = z.object({
	id: z.string(),
	/** Differs for every start of the process. */
	incarnation: z.string(),
	region: z.string(),
	zone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	state: z.enum(['live', 'draining']),
	/** False for a member that serves no callers; it has no quota, and lookups leave it out. Default is true. */
	isEntry: z.boolean().optional(),
});

export type Member = z.infer<typeof memberSchema>;

/** Whether the member serves callers' requests. */
export function isEntryMember(member: Pick<Member, 'isEntry'>): boolean {
	return member.isEntry !== false;
}
