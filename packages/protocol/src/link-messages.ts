/** Messages by which two nodes prove membership and show that they live. */
import {z} from 'zod';

export const protocolVersion = 1;

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
	configurationVersion: z.int(),
	/** Milliseconds since the table was read by the sender or its relays. */
	tableAgeMilliseconds: z.number().min(0),
});

export type HelloMessage = z.infer<typeof helloMessageSchema>;
export type ProofMessage = z.infer<typeof proofMessageSchema>;
export type HeartbeatMessage = z.infer<typeof heartbeatMessageSchema>;
