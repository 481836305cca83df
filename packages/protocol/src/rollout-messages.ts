/** Message in which nodes share evidence about a rollout. A node that receives a report with a halt stops the rollout immediately, without waiting for the table. */
import * as z from 'zod';
import {rolloutReportSchema} from '@catkindale/policy';

export const rolloutReportMessageSchema = z.object({
	type: z.literal('rollout-report'),
	report: rolloutReportSchema,
});

export type RolloutReportMessage = z.infer<typeof rolloutReportMessageSchema>;
