/** Messages by which two nodes prove membership and show that they live. */
import * as z from 'zod';

export const protocolVersion = 2;

export const helloMessageSchema = z.object({
	type: z.literal('hello'),
	protocolVersion: z.int(),
	id: z.string().min(1),
	incarnation: z.string().min(1),
	nonce: z.string().min(1),
});

export const proofMessageSchema = z.object({
	type: z.literal('proof'),
	/** HMAC over the sender's identity and both nonces. */
	code: z.string(),
});

export const heartbeatMessageSchema = z.object({
	type: z.literal('heartbeat'),
	/** Rises with each heartbeat of the sender. */
	sequence: z.int(),
	/** The last sequence that the sender got from the receiver over this link. */
	echo: z.int().optional(),
	/** The highest version that the sender knows. */
	configurationVersion: z.int(),
	/** Milliseconds since the table was read by the sender or its relays. */
	tableAgeMilliseconds: z.number().min(0).optional(),
	/** Whether the sender's knowledge has been current since its start. */
	isEstablished: z.boolean(),
	/** Whether look-ups may name the sender. */
	isServing: z.boolean(),
});

export type HelloMessage = z.infer<typeof helloMessageSchema>;
export type ProofMessage = z.infer<typeof proofMessageSchema>;
export type HeartbeatMessage = z.infer<typeof heartbeatMessageSchema>;
