/** Messages by which nodes share evidence on rollouts and halt them on sight. */
import * as z from 'zod';
import {rolloutReportSchema} from '@catkindale/policy';

export const rolloutReportMessageSchema = z.object({
	type: z.literal('rollout-report'),
	report: rolloutReportSchema,
});

export type RolloutReportMessage = z.infer<typeof rolloutReportMessageSchema>;
