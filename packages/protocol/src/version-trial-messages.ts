/** Messages about the trial of a service's new version. */
import * as z from 'zod';
import {sourceRevisionFields} from '@catkindale/policy';

const countsSchema = z.object({requests: z.int().min(0), failures: z.int().min(0), slow: z.int().min(0)});

/** Identifies the version order that a message belongs to; a later order for the same service has a later revision. */
const orderFields = {service: z.string(), version: z.string(), ...sourceRevisionFields};

export const trialStates = ['running', 'complete', 'reverted'] as const;

/** State of a trial, sent by the gateway that leads it. Once the trial has ended, any gateway sends it to peers that connect. */
export const trialStageMessageSchema = z.object({
	type: z.literal('trial-stage'),
	...orderFields,
	state: z.enum(trialStates),
	share: z.number().min(0).max(1),
	/** The version of the previous completed trial; absent if there was none. */
	settledVersion: z.string().optional(),
});

/** Counts of all requests that ended at the sender's targets since the order, by route. */
export const trialCountsMessageSchema = z.object({
	type: z.literal('trial-counts'),
	...orderFields,
	routes: z.record(z.string(), z.object({trial: countsSchema, settled: countsSchema})),
});

/** Sent immediately to all gateways by any gateway that detects a faulty version. */
export const trialHaltMessageSchema = z.object({
	type: z.literal('trial-halt'),
	...orderFields,
	reason: z.string(),
});

/** The sender can't reach the store of trial records, so another gateway must lead the trials that it would lead. */
export const trialYieldMessageSchema = z.object({
	type: z.literal('trial-yield'),
});

export const trialMessageSchemas = [trialStageMessageSchema, trialCountsMessageSchema, trialHaltMessageSchema, trialYieldMessageSchema] as const;

export type TrialState = typeof trialStates[number];
export type TrialStageMessage = z.infer<typeof trialStageMessageSchema>;
export type TrialCountsMessage = z.infer<typeof trialCountsMessageSchema>;
