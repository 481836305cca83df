/** Messages that spread configurations and restrictions from node to node. */
import {z} from 'zod';
import {configurationSchema} from '@catkindale/policy';

export const configurationMessageSchema = z.object({
	type: z.literal('configuration'),
	version: z.int(),
	configuration: configurationSchema,
});

export type ConfigurationMessage = z.infer<typeof configurationMessageSchema>;
