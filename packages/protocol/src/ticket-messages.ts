/** Messages by which a stopping entry hands the outcomes that it remembers to a neighbour. */
import * as z from 'zod';

const outcomeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ran'),
		answer: z.object({status: z.int(), headers: z.array(z.string()), body: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional()}),
	}),
	z.object({kind: z.literal('unknown')}),
]);

const rememberedRequestSchema = z.object({
	id: z.string(),
	customer: z.string(),
	fingerprint: z.string(),
	/** By the ticket clock of the entry that stops. */
	forgetAt: z.number(),
	outcome: outcomeSchema,
});

/** One part of the outcomes; the last part says that they are all there. */
export const ticketHandoverMessageSchema = z.object({
	type: z.literal('ticket-handover'),
	incarnation: z.string(),
	/** The ticket clock of the entry that stops, now. */
	clock: z.number(),
	part: z.int().min(0),
	isLast: z.boolean(),
	requests: z.array(rememberedRequestSchema),
});

/** Tells all nodes who answers for the tickets of an incarnation that has stopped. */
export const ticketHeirMessageSchema = z.object({
	type: z.literal('ticket-heir'),
	incarnation: z.string(),
	heir: z.string(),
});

export const ticketMessageSchemas = [ticketHandoverMessageSchema, ticketHeirMessageSchema] as const;

export type TicketHandoverMessage = z.infer<typeof ticketHandoverMessageSchema>;
export type TicketHeirMessage = z.infer<typeof ticketHeirMessageSchema>;
