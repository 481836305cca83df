/** Messages for authenticating a link between two nodes and for heartbeats. */
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
	/** HMAC over the sender's identity and both nonces, in hexadecimal. */
	code: z.string(),
});

export const heartbeatMessageSchema = z.object({
	type: z.literal('heartbeat'),
	/** Increases with each heartbeat of the sender. */
	sequence: z.int(),
	/** The receiver's last sequence number that the sender received over this link. */
	echo: z.int().optional(),
	/** The highest configuration version that the sender has received. */
	configurationVersion: z.int(),
	/** Milliseconds since the table was read, by the sender itself or by the peers that relay to it; absent if it never was. */
	tableAgeMilliseconds: z.number().min(0).optional(),
	/** Whether the state of the sender has been current at least once since its start. */
	isEstablished: z.boolean(),
	/** Whether lookups may return the sender. */
	isServing: z.boolean(),
});

export type HelloMessage = z.infer<typeof helloMessageSchema>;
export type ProofMessage = z.infer<typeof proofMessageSchema>;
export type HeartbeatMessage = z.infer<typeof heartbeatMessageSchema>;
