/** The configuration and its history, as stored in the table's row and sent between nodes. */
import * as z from 'zod';
import {configurationSchema} from './configuration.js';

/** A committed change. The history shows whether a change was committed whose response was lost, and which change won a race. */
export const committedChangeSchema = z.object({
	version: z.int().positive(),
	changeId: z.string(),
	author: z.string(),
	/** The identifier of the restriction that the change recorded. */
	restriction: z.string().optional(),
});

export const configurationRecordSchema = z.object({
	/** The latest changes, preceded by earlier ones that recorded a restriction; oldest first. The last one wrote this version. */
	history: z.array(committedChangeSchema),
	configuration: configurationSchema,
});

export type CommittedChange = z.infer<typeof committedChangeSchema>;
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

/** A record with the version of its row. */
export type VersionedConfigurationRecord = ConfigurationRecord & {readonly version: number};

const maximumHistory = 64;
/**
 * Changes that recorded a restriction are kept longer: without them, a node
 * that was unreachable for some time would record the restriction again.
 */
const maximumRestrictionHistory = 128;

/** Appends a change to the history and drops what exceeds its bounds. */
export function appendChange(history: readonly CommittedChange[], change: CommittedChange): CommittedChange[] {
	const all = [...history, change];
	const earlier = all.slice(0, -maximumHistory).filter(({restriction}) => restriction !== undefined);
	return [...earlier.slice(-maximumRestrictionHistory), ...all.slice(-maximumHistory)];
}
