/** Messages that spread configurations and restrictions from node to node. */
import {z} from 'zod';
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

export type ConfigurationMessage = z.infer<typeof configurationMessageSchema>;
