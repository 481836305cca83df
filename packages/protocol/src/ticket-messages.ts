/** Messages in which a stopping entry hands over its stored request outcomes to a successor. */
import * as z from 'zod';
import {maximumStatus, minimumFinalStatus} from '@catkindale/common';

const outcomeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ran'),
		answer: z.object({
			status: z.int().min(minimumFinalStatus).max(maximumStatus),
			headers: z.array(z.string()),
			body: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional(),
		}),
	}),
	z.object({kind: z.literal('unknown')}),
]);

const rememberedRequestSchema = z.object({
	id: z.string(),
	customer: z.string(),
	fingerprint: z.string(),
	/** When the outcome expires, on the stopping entry's ticket clock. */
	forgetAt: z.number(),
	outcome: outcomeSchema,
});

/** One chunk of the outcomes. The handover is complete once all chunks up to the one with `isLast` have been received. */
export const ticketHandoverMessageSchema = z.object({
	type: z.literal('ticket-handover'),
	incarnation: z.string(),
	/** The stopping entry's ticket clock at the time of sending. */
	clock: z.number(),
	/** Index of the chunk, from 0. */
	part: z.int().min(0),
	isLast: z.boolean(),
	requests: z.array(rememberedRequestSchema),
});

/** Announces to all nodes the successor that handles the tickets of a stopped incarnation. */
export const ticketHeirMessageSchema = z.object({
	type: z.literal('ticket-heir'),
	incarnation: z.string(),
	heir: z.string(),
});

export const ticketMessageSchemas = [ticketHandoverMessageSchema, ticketHeirMessageSchema] as const;

export type TicketHandoverMessage = z.infer<typeof ticketHandoverMessageSchema>;
export type TicketHeirMessage = z.infer<typeof ticketHeirMessageSchema>;
