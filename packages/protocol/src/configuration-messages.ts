/** Messages that spread configurations and restrictions from node to node. */
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

/** The members as the sender knows them, for a peer that can't read the table. */
export const knownMembersMessageSchema = z.object({
	type: z.literal('known-members'),
	members: z.array(memberSchema),
});

/** A target told the sender by its answer that it is leaving. */
export const targetLeavingMessageSchema = z.object({
	type: z.literal('target-leaving'),
	target: z.string(),
});

/** What targets told the sender of their own health. */
export const targetReportsMessageSchema = z.object({
	type: z.literal('target-reports'),
	reports: z.array(z.object({
		target: z.string(),
		isHealthy: z.boolean(),
		load: z.number().min(0),
		/** Milliseconds from the target's answer to the sending of this message. */
		ageMilliseconds: z.number().min(0),
	})),
});

export type ConfigurationMessage = z.infer<typeof configurationMessageSchema>;
