/** Messages of a service's move to a new version. */
import * as z from 'zod';

const countsSchema = z.object({requests: z.int().min(0), failures: z.int().min(0), slow: z.int().min(0)});

/** The order that a message belongs to; a later order of the same service has a higher revision. */
const orderSchema = {service: z.string(), version: z.string(), revision: z.int()};

export const trialStates = ['running', 'complete', 'reverted'] as const;

/** How a move stands: from the gateway that leads it, and once it has ended from any that a gateway connects to. */
export const trialStageMessageSchema = z.object({
	type: z.literal('trial-stage'),
	...orderSchema,
	state: z.enum(trialStates),
	share: z.number().min(0).max(1),
	/** The version of the last complete move before this one; absent if there was none. */
	settledVersion: z.string().optional(),
});

/** All that ended at a gateway's targets since the order, by route. */
export const trialCountsMessageSchema = z.object({
	type: z.literal('trial-counts'),
	...orderSchema,
	routes: z.record(z.string(), z.object({trial: countsSchema, settled: countsSchema})),
});

/** Any gateway that sees a bad version tells all others at once. */
export const trialHaltMessageSchema = z.object({
	type: z.literal('trial-halt'),
	...orderSchema,
	reason: z.string(),
});

/** The sender can't reach the records of moves, so that another gateway must lead those that it would. */
export const trialYieldMessageSchema = z.object({
	type: z.literal('trial-yield'),
});

export const trialMessageSchemas = [trialStageMessageSchema, trialCountsMessageSchema, trialHaltMessageSchema, trialYieldMessageSchema] as const;

export type TrialState = typeof trialStates[number];
export type TrialStageMessage = z.infer<typeof trialStageMessageSchema>;
export type TrialCountsMessage = z.infer<typeof trialCountsMessageSchema>;
