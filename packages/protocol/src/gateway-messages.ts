/** Messages by which gateways tell each other their state and pass on news of the traffic. */
import * as z from 'zod';
import {trafficConfigurationSchema, trafficTargetSchema, versionOrderSchema} from '@catkindale/policy';

/** The parts of what a gateway knows, each with a revision that only rises. */
export const knowledgeParts = ['configuration', 'orders', 'targets'] as const;

const revisionsSchema = z.object({
	configuration: z.int(),
	orders: z.int(),
	targets: z.int(),
});

/** Sent in each heartbeat. */
export const gatewayReportMessageSchema = z.object({
	type: z.literal('gateway-report'),
	/** Whether look-ups may name the sender. */
	isServing: z.boolean(),
	/** The part of the time in which the sender's event loop works, from 0 to 1. */
	use: z.number().min(0).max(1),
	revisions: revisionsSchema,
	/** Requests per second that came to the sender, by customer; customers without any are left out. */
	demands: z.record(z.string(), z.number().min(0)),
});

export const knowledgeWishMessageSchema = z.object({
	type: z.literal('knowledge-wish'),
	parts: z.array(z.enum(knowledgeParts)),
});

export const trafficOrdersSchema = z.object({
	revision: z.int(),
	versions: z.array(versionOrderSchema),
	evacuatedZones: z.array(z.string()),
});

export const registeredTargetsSchema = z.object({
	revision: z.int(),
	targets: z.array(trafficTargetSchema),
});

export const knowledgeMessageSchema = z.object({
	type: z.literal('knowledge'),
	configuration: trafficConfigurationSchema.optional(),
	orders: trafficOrdersSchema.optional(),
	targets: registeredTargetsSchema.optional(),
});

/** Objects that targets have handled for the sender since its last message, for gateways whose callers ask for the same ones. */
export const objectPlacementsMessageSchema = z.object({
	type: z.literal('object-placements'),
	placements: z.array(z.object({object: z.string(), target: z.string()})),
	/** The parts of the objects that targets have room for, by target. */
	keptShares: z.record(z.string(), z.number().min(0).max(1)),
});

export const gatewayMessageSchemas = [gatewayReportMessageSchema, knowledgeWishMessageSchema, knowledgeMessageSchema, objectPlacementsMessageSchema] as const;

export type KnowledgePart = typeof knowledgeParts[number];
export type KnowledgeRevisions = z.infer<typeof revisionsSchema>;
export type GatewayReport = z.infer<typeof gatewayReportMessageSchema>;
export type TrafficOrders = z.infer<typeof trafficOrdersSchema>;
export type RegisteredTargets = z.infer<typeof registeredTargetsSchema>;
export type ObjectPlacement = z.infer<typeof objectPlacementsMessageSchema>['placements'][number];
export type KnowledgeMessage = z.infer<typeof knowledgeMessageSchema>;
