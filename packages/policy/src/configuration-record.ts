/** The configuration as the table's row and the messages between nodes keep it. */
import * as z from 'zod';
import {configurationSchema} from './configuration.js';

/** One committed change, kept so that lost answers and lost races can be explained. */
export const committedChangeSchema = z.object({
	version: z.int().positive(),
	changeId: z.string(),
	author: z.string(),
	/** The identifier of the restriction that the change recorded. */
	restriction: z.string().optional(),
});

export const configurationRecordSchema = z.object({
	/** The latest changes and, further back, those that recorded a restriction; oldest first. The last one wrote this version. */
	history: z.array(committedChangeSchema),
	configuration: configurationSchema,
});

export type CommittedChange = z.infer<typeof committedChangeSchema>;
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

/** A record with the version of its row. */
export type VersionedRecord = ConfigurationRecord & {readonly version: number};

const maximumHistory = 64;
/**
 * Changes that recorded a restriction are kept for longer: a node that was
 * away would otherwise record the restriction once more.
 */
const maximumRestrictionHistory = 128;

/** The history after one more change. */
export function appendChange(history: readonly CommittedChange[], change: CommittedChange): CommittedChange[] {
	const all = [...history, change];
	const earlier = all.slice(0, -maximumHistory).filter(({restriction}) => restriction !== undefined);
	return [...earlier.slice(-maximumRestrictionHistory), ...all.slice(-maximumHistory)];
}
