/** Messages in which gateways report their state and exchange configuration, version orders and targets. */
import * as z from 'zod';
import {
	sourceRevisionFields, trafficConfigurationSchema, trafficTargetSchema, versionOrderSchema,
} from '@catkindale/policy';

/** Parts of a gateway's traffic data; each has its own revision, which only increases within an era of the source. */
export const knowledgeParts = ['configuration', 'orders', 'targets'] as const;

const revisionsSchema = z.object({
	configuration: z.int(),
	orders: z.int(),
	targets: z.int(),
	/** The eras of the orders and targets; the configuration has a version of its own, which increases in all eras. */
	eras: z.object({orders: sourceRevisionFields.era, targets: sourceRevisionFields.era}).optional(),
});

/** Sent with each heartbeat. */
export const gatewayReportMessageSchema = z.object({
	type: z.literal('gateway-report'),
	/** Whether lookups may return the sender. */
	isServing: z.boolean(),
	/** Utilization of the sender's event loop, from 0 to 1. */
	use: z.number().min(0).max(1),
	revisions: revisionsSchema,
	/** Requests per second on whose admission the sender decides, by customer; customers without requests are omitted. */
	demands: z.record(z.string(), z.number().min(0)),
	/** Requests per second that the sender receives from all customers. */
	requestRate: z.number().min(0).optional(),
	/** Whether the sender answers `admission-request`; nodes of older builds close a link with a message that they don't know. */
	answersAdmissions: z.boolean().optional(),
	/** Digest of the members that the sender knows. Missing from nodes of older builds, which don't answer requests for the list. */
	membersDigest: z.string().optional(),
	/** Whether the sender's calls to the store fail. */
	isSourceFailing: z.boolean().optional(),
	/** Set in the first report after the sender's source answers again: how long ago the answer of its last failed call was due. */
	sourceMissingMilliseconds: z.number().min(0).optional(),
	/** Limits that targets have named to the sender since its previous report; without a rate, the limit has ended. */
	targetLimits: z.array(z.object({target: z.string(), limitPerSecond: z.number().min(0).optional()})).optional(),
});

/** Requests the list of members from a peer that reported another digest. */
export const membersRequestMessageSchema = z.object({type: z.literal('members-request')});

/** Requests these parts from a peer that reported higher revisions. */
export const knowledgeRequestMessageSchema = z.object({
	type: z.literal('knowledge-wish'),
	parts: z.array(z.enum(knowledgeParts)),
	/** The revision of the targets that the sender has, so that it is sent only the later changes; absent if it has none. */
	targetsRevision: z.int().optional(),
	targetsEra: sourceRevisionFields.era,
});

export const trafficOrdersSchema = z.object({
	...sourceRevisionFields,
	versions: z.array(versionOrderSchema),
	evacuatedZones: z.array(z.string()),
});

export const registeredTargetsSchema = z.object({
	...sourceRevisionFields,
	targets: z.array(trafficTargetSchema),
});

/** The changes of the registered targets after one revision up to another of the same era. */
export const targetChangesSchema = z.object({
	...sourceRevisionFields,
	after: z.int(),
	changed: z.array(trafficTargetSchema),
	/** Identifiers of removed targets; those that were registered again since are also in `changed`. */
	removed: z.array(z.string()),
});

/** What a gateway holds while its source has just come back from a copy, and the departures that it would hold after the next return. */
export const heldStateSchema = z.object({
	departed: z.array(trafficTargetSchema.pick({id: true, startedAt: true, address: true})),
	evacuatedZones: z.array(z.string()),
	orders: z.array(versionOrderSchema),
	restoredRevision: z.int(),
	/** Remaining time for which the sender holds this; 0 if it only knows the departures. */
	remainingMilliseconds: z.number().min(0),
});

export const knowledgeMessageSchema = z.object({
	type: z.literal('knowledge'),
	configuration: trafficConfigurationSchema.optional(),
	orders: trafficOrdersSchema.optional(),
	/** All targets. */
	targets: registeredTargetsSchema.optional(),
	/** In place of `targets` for a requester whose revision of the targets the sender can continue. */
	targetChanges: targetChangesSchema.optional(),
	/** Sent with all targets, so that a gateway that starts while a copy is served doesn't take it for the truth. */
	held: heldStateSchema.optional(),
});

/**
 * Objects of requests that targets handled for the sender since its previous
 * message, so that other gateways send requests for an object to the same target.
 */
export const objectPlacementsMessageSchema = z.object({
	type: z.literal('object-placements'),
	placements: z.array(z.object({object: z.string(), target: z.string()})),
	/** Fraction of all objects that fit in each target's cache, by target. */
	keptShares: z.record(z.string(), z.number().min(0).max(1)),
});

export const gatewayPhases = ['starting', 'serving', 'draining'] as const;

/** Sent by a relay to the other relays with each heartbeat: the gateways that it has a link to. */
export const attachedGatewaysMessageSchema = z.object({
	type: z.literal('attached-gateways'),
	/** Identifier, phase and utilization of the event loop in percent. */
	gateways: z.array(z.tuple([z.string(), z.enum(gatewayPhases), z.int().min(0).max(100)])),
});

/** Sent by a relay with each heartbeat to the gateways that are attached to it: the fleet as the relay sees it. */
export const fleetViewMessageSchema = z.object({
	type: z.literal('fleet-view'),
	/** Identifiers of gateways; absent if they are the same as in the previous message on this link. */
	lists: z.object({
		relays: z.array(z.string()),
		serving: z.array(z.string()),
		starting: z.array(z.string()),
	}).optional(),
	/** Mean utilization of the gateways' event loops, from 0 to 1, by zone. */
	zoneUses: z.record(z.string(), z.number().min(0).max(1)),
});

/** Asks another gateway to admit a request of a customer, whose rate it manages for the sender. */
export const admissionRequestMessageSchema = z.object({
	type: z.literal('admission-request'),
	/** Returned in the answer. */
	id: z.int(),
	customer: z.string(),
	/** Time that the caller has left. */
	remainingMilliseconds: z.number(),
});

export const admissionAnswerMessageSchema = z.object({
	type: z.literal('admission-answer'),
	id: z.int(),
	isAdmitted: z.boolean(),
	/** For a request that isn't admitted: after this time, one will be. */
	retryAfterMilliseconds: z.number().min(0),
	/** The sender's share of the customer's rate. */
	share: z.number().min(0),
});

/** Returns the token of an admitted request that no target ran. */
export const admissionReturnMessageSchema = z.object({type: z.literal('admission-return'), customer: z.string()});

export const gatewayMessageSchemas = [
	gatewayReportMessageSchema,
	attachedGatewaysMessageSchema,
	fleetViewMessageSchema,
	membersRequestMessageSchema,
	knowledgeRequestMessageSchema,
	knowledgeMessageSchema,
	objectPlacementsMessageSchema,
	admissionRequestMessageSchema,
	admissionAnswerMessageSchema,
	admissionReturnMessageSchema,
] as const;

export type KnowledgePart = typeof knowledgeParts[number];
export type KnowledgeRequest = z.infer<typeof knowledgeRequestMessageSchema>;
export type KnowledgeRevisions = z.infer<typeof revisionsSchema>;
export type GatewayReport = z.infer<typeof gatewayReportMessageSchema>;
export type TargetLimit = NonNullable<GatewayReport['targetLimits']>[number];
export type TrafficOrders = z.infer<typeof trafficOrdersSchema>;
export type RegisteredTargets = z.infer<typeof registeredTargetsSchema>;
export type ObjectPlacements = z.infer<typeof objectPlacementsMessageSchema>;
export type ObjectPlacement = z.infer<typeof objectPlacementsMessageSchema>['placements'][number];
export type HeldStateMessage = z.infer<typeof heldStateSchema>;
export type TargetChanges = z.infer<typeof targetChangesSchema>;
export type GatewayPhase = typeof gatewayPhases[number];
export type AttachedGateways = z.infer<typeof attachedGatewaysMessageSchema>;
export type RelayView = z.infer<typeof fleetViewMessageSchema>;
export type AdmissionRequest = z.infer<typeof admissionRequestMessageSchema>;
export type AdmissionAnswer = z.infer<typeof admissionAnswerMessageSchema>;
export type KnowledgeMessage = z.infer<typeof knowledgeMessageSchema>;
