/** All messages that nodes exchange, as one discriminated union. */
import {z} from 'zod';
import {type Result, fail, succeed} from '@catkindale/common';
import {
	configurationMessageSchema, knownMembersMessageSchema, restrictionsMessageSchema, targetLeavingMessageSchema, targetReportsMessageSchema,
} from './configuration-messages.js';
import {heartbeatMessageSchema, helloMessageSchema, proofMessageSchema} from './link-messages.js';
import {rolloutReportMessageSchema} from './rollout-messages.js';
import {quotaMessageSchemas} from './quota-messages.js';
import {ticketMessageSchemas} from './ticket-messages.js';

export const peerMessageSchema = z.discriminatedUnion('type', [
	helloMessageSchema,
	proofMessageSchema,
	heartbeatMessageSchema,
	configurationMessageSchema,
	rolloutReportMessageSchema,
	restrictionsMessageSchema,
	knownMembersMessageSchema,
	targetLeavingMessageSchema,
	targetReportsMessageSchema,
	...quotaMessageSchemas,
	...ticketMessageSchemas,
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Parses what came in a frame; anything else than a known message is refused. */
export function parsePeerMessage(data: unknown): Result<PeerMessage, string> {
	const parsed = peerMessageSchema.safeParse(data);
	return parsed.success ? succeed(parsed.data) : fail(z.prettifyError(parsed.error));
}
