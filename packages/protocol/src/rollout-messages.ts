/** Message in which nodes share evidence about a rollout; a report can halt the rollout. */
import * as z from 'zod';
import {rolloutReportSchema} from '@catkindale/policy';

export const rolloutReportMessageSchema = z.object({
	type: z.literal('rollout-report'),
	report: rolloutReportSchema,
});

export type RolloutReportMessage = z.infer<typeof rolloutReportMessageSchema>;
