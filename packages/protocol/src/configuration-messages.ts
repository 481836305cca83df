/** Messages that propagate configurations, restrictions, members and the state of targets between nodes. */
import * as z from 'zod';
import {configurationRecordSchema, memberSchema, restrictionSchema} from '@catkindale/policy';

export const configurationMessageSchema = z.object({
	type: z.literal('configuration'),
	version: z.int(),
	...configurationRecordSchema.shape,
});

export const restrictionsMessageSchema = z.object({
	type: z.literal('restrictions'),
	restrictions: z.array(restrictionSchema),
});

/** The sender's list of members, for a peer that can't read the table. */
export const knownMembersMessageSchema = z.object({
	type: z.literal('known-members'),
	members: z.array(memberSchema),
});

/** Sent when a response of a target to the sender showed that the target is leaving. */
export const targetLeavingMessageSchema = z.object({
	type: z.literal('target-leaving'),
	target: z.string(),
});

/** Health that targets reported to the sender. */
export const targetReportsMessageSchema = z.object({
	type: z.literal('target-reports'),
	reports: z.array(z.object({
		target: z.string(),
		isHealthy: z.boolean(),
		load: z.number().min(0),
		/** Milliseconds from the target's report to the sending of this message. */
		ageMilliseconds: z.number().min(0),
	})),
});

export type ConfigurationMessage = z.infer<typeof configurationMessageSchema>;
