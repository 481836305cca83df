/** Discriminated union of all messages between nodes, with encoding and parsing. */
import type {Buffer} from 'node:buffer';
import * as z from 'zod';
import {type Result, fail, succeed} from '@catkindale/common';
import {compactMessage, expandMessage} from './compact-messages.js';
import {
	configurationMessageSchema, knownMembersMessageSchema, restrictionsMessageSchema, targetLeavingMessageSchema, targetReportsMessageSchema,
} from './configuration-messages.js';
import {encodeFrame} from './frame.js';
import {gatewayMessageSchemas} from './gateway-messages.js';
import {heartbeatMessageSchema, helloMessageSchema, proofMessageSchema} from './link-messages.js';
import {rolloutReportMessageSchema} from './rollout-messages.js';
import {quotaMessageSchemas} from './quota-messages.js';
import {shiftRowMessageSchema} from './shift-messages.js';
import {ticketMessageSchemas} from './ticket-messages.js';
import {trialMessageSchemas} from './version-trial-messages.js';

export const peerMessageSchema = z.discriminatedUnion('type', [
	helloMessageSchema,
	proofMessageSchema,
	heartbeatMessageSchema,
	configurationMessageSchema,
	rolloutReportMessageSchema,
	shiftRowMessageSchema,
	restrictionsMessageSchema,
	knownMembersMessageSchema,
	targetLeavingMessageSchema,
	targetReportsMessageSchema,
	...gatewayMessageSchemas,
	...quotaMessageSchemas,
	...ticketMessageSchemas,
	...trialMessageSchemas,
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Encodes a message as a frame, in its compact form if it has one. */
export function encodeMessage(message: PeerMessage): Buffer {
	return encodeFrame(compactMessage(message));
}

/** Parses the content of a frame. Anything other than a message of the union is an error. */
export function parsePeerMessage(data: unknown): Result<PeerMessage, string> {
	const message = expandMessage(data);
	if (!message.ok) {
		return message;
	}

	const parsed = peerMessageSchema.safeParse(message.value);
	return parsed.success ? succeed(parsed.data) : fail(z.prettifyError(parsed.error));
}
